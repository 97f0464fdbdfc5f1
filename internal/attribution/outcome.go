package attribution

import "time"

// Result is the state of an attempt.
type Result string

// Results of attempts.
const (
	ResultFailed Result = "failed"
	// ResultRunning is reported repeatedly while an attempt runs.
	ResultRunning   Result = "running"
	ResultSucceeded Result = "succeeded"
)

// Outcome is a report on one attempt of a task.
type Outcome struct {
	// At is when the attempt ended, or when it was observed running.
	At  time.Time
	Job string
	// RanFor is the time from the start of the attempt to At.
	RanFor time.Duration
	// Reason is the worker's description of a failure.
	Reason string
	Result Result
	Task   string
	Work   string
	Worker string
}

func (o Outcome) started() time.Time { return o.At.Add(-o.RanFor) }

// Kind is the kind of a decision.
type Kind string

// Kinds of decisions.
const (
	KindExtend     Kind = "extend_quarantine"
	KindPark       Kind = "park"
	KindQuarantine Kind = "quarantine"
	KindRelease    Kind = "release"
)

// Decision changes the quarantine of a worker, or parks a job.
type Decision struct {
	Job string `json:"job,omitempty"`
	// Jobs lists at most 8 jobs that failed on the worker and succeeded elsewhere.
	Jobs []string `json:"jobs,omitempty"`
	Kind Kind     `json:"kind"`
	// Probe is the time of the next probe of a quarantined worker.
	Probe  time.Time `json:"probe,omitzero"`
	Reason string    `json:"reason"`
	Worker string    `json:"worker,omitempty"`
}
