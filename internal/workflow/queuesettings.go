package workflow

import "time"

// QueueSettings is what a job needs of its queue to finish. It is recorded with the job, since the queue may be removed before.
type QueueSettings struct {
	Advice        *Advice       `cbor:"1,keyasint,omitempty"`
	MaxAttempts   int           `cbor:"2,keyasint,omitempty"`
	Priority      int           `cbor:"3,keyasint,omitempty"`
	Service       string        `cbor:"4,keyasint,omitempty"`
	Stretch       float64       `cbor:"5,keyasint,omitempty"`
	TargetLatency time.Duration `cbor:"6,keyasint,omitempty"`
}

// Settings returns the queue's settings for its jobs.
func (q Queue) Settings() QueueSettings {
	return QueueSettings{
		Advice: q.Advice, MaxAttempts: q.MaxAttempts, Priority: q.Priority, Service: q.Service, Stretch: q.Stretch,
		TargetLatency: q.TargetLatency,
	}
}

// Equal reports whether two settings have equal values.
func (s QueueSettings) Equal(other QueueSettings) bool {
	a, b := s.Advice, other.Advice
	s.Advice, other.Advice = nil, nil
	return s == other && (a == b || a != nil && b != nil && *a == *b)
}

// WithSettings returns the job with the settings of its queue.
func (j Job) WithSettings(s QueueSettings) Job {
	j.Settings = &s
	return j
}
