package workflow

import "time"

// Advice says how the placement advice service of a queue answers.
type Advice struct {
	// PerCall is the time that one call takes.
	PerCall time.Duration `json:"per_call"`
	// PerWorker is the time that a call takes more for each worker named.
	PerWorker time.Duration `json:"per_worker"`
	// Valid is how long a ticket may be used.
	Valid time.Duration `json:"valid"`
}

// Queue is a named destination of jobs, found by the host and path of a request.
type Queue struct {
	Advice *Advice `json:"advice,omitempty"`
	Host   string  `json:"host"`
	// MaxAttempts is the number of failed runs after which a task fails for good; 0 means no limit.
	MaxAttempts int    `json:"max_attempts,omitempty"`
	Name        string `json:"name"`
	Prefix      string `json:"prefix"`
	// Priority orders queues; 0 comes first.
	Priority int    `json:"priority,omitempty"`
	Service  string `json:"service"`
	// Stretch is the accepted ratio between a job's time and its longest chain of work.
	Stretch float64 `json:"stretch,omitempty"`
	// TargetLatency is added to the stretched chain to form the objective of a job.
	TargetLatency time.Duration `json:"target_latency,omitempty"`
	Timeout       time.Duration `json:"timeout,omitempty"`
}

// Service is a pool of workers.
type Service struct {
	// GuardsCapacity says that the workers refuse what does not fit.
	GuardsCapacity bool   `json:"guards_capacity,omitempty"`
	HealthPath     string `json:"health_path,omitempty"`
	Name           string `json:"name"`
	// Standby says that the pool's machines are off.
	Standby bool `json:"standby,omitempty"`
}

// Limits bounds what callers may send.
type Limits struct {
	BodyBytes     int64         `json:"body_bytes,omitempty"`
	HeaderBytes   int           `json:"header_bytes,omitempty"`
	HeaderTimeout time.Duration `json:"header_timeout,omitempty"`
	IdleTimeout   time.Duration `json:"idle_timeout,omitempty"`
}
