package workflow

import "time"

// Advice describes the response time and ticket lifetime of a queue's placement advice service.
type Advice struct {
	// PerCall is the fixed part of the time that a call takes.
	PerCall time.Duration `json:"per_call"`
	// PerWorker is the additional time that a call takes for each worker that it names.
	PerWorker time.Duration `json:"per_worker"`
	// ValidFor is how long a ticket can be used.
	ValidFor time.Duration `json:"valid"`
}

// Queue is a named destination of jobs, selected by the host and path of a request.
type Queue struct {
	Advice *Advice `json:"advice,omitempty"`
	Host   string  `json:"host"`
	// MaxAttempts is the number of failed runs after which a task fails permanently; 0 means no limit.
	MaxAttempts int    `json:"max_attempts,omitempty"`
	Name        string `json:"name"`
	Prefix      string `json:"prefix"`
	// Priority orders queues; 0 is the highest priority.
	Priority int    `json:"priority,omitempty"`
	Service  string `json:"service"`
	// Stretch is the accepted ratio of a job's completion time to the duration of its critical path.
	Stretch float64 `json:"stretch,omitempty"`
	// TargetLatency is added to the critical path times Stretch. The sum is the target completion time of a job, counted
	// from its acceptance.
	TargetLatency time.Duration `json:"target_latency,omitempty"`
	Timeout       time.Duration `json:"timeout,omitempty"`
}

// Service is a pool of workers.
type Service struct {
	// EnforcesCapacity means that the workers refuse tasks that exceed their free capacity.
	EnforcesCapacity bool   `json:"guards_capacity,omitempty"`
	HealthPath       string `json:"health_path,omitempty"`
	Name             string `json:"name"`
	// Standby means that the machines of the pool are switched off.
	Standby bool `json:"standby,omitempty"`
}

// Limits bounds the requests of callers.
type Limits struct {
	BodyBytes     int64         `json:"body_bytes,omitempty"`
	HeaderBytes   int           `json:"header_bytes,omitempty"`
	HeaderTimeout time.Duration `json:"header_timeout,omitempty"`
	IdleTimeout   time.Duration `json:"idle_timeout,omitempty"`
}
