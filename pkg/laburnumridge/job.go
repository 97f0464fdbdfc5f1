package laburnumridge

// JobSpec describes a job to submit. Submitting it again with the same ID creates no second job.
type JobSpec struct {
	ID string `json:"id"`
	// Tasks is the number of tasks, at least 1.
	Tasks int    `json:"tasks"`
	Work  string `json:"work"`
	// Zone is the zone that runs the job; if it is empty, the entry host chooses one.
	Zone string `json:"zone,omitempty"`
}

// JobStatus is the state of a job and of its tasks.
type JobStatus struct {
	Counts       PhaseCounts `json:"counts"`
	ID           string      `json:"id"`
	ParkedReason string      `json:"parked_reason,omitempty"`
	Phase        Phase       `json:"phase"`
	// Shard has the form zone/index.
	Shard string       `json:"shard,omitempty"`
	Tasks []TaskStatus `json:"tasks,omitempty"`
	Work  string       `json:"work"`
	Zone  string       `json:"zone,omitempty"`
}

// Phase is the phase of a task or job.
type Phase string

// Phases of a task or job.
const (
	PhaseBound     Phase = "bound"
	PhaseCancelled Phase = "cancelled"
	PhaseDone      Phase = "done"
	PhaseFailed    Phase = "failed"
	PhaseParked    Phase = "parked"
	PhaseQueued    Phase = "queued"
	PhaseRunning   Phase = "running"
)

// PhaseCounts is the number of tasks of a job in each phase.
type PhaseCounts struct {
	Bound     int `json:"bound"`
	Cancelled int `json:"cancelled"`
	Done      int `json:"done"`
	Failed    int `json:"failed"`
	Parked    int `json:"parked"`
	Queued    int `json:"queued"`
	Running   int `json:"running"`
}

// TaskStatus is the state of one task.
type TaskStatus struct {
	Attempt int    `json:"attempt"`
	ID      string `json:"id"`
	Phase   Phase  `json:"phase"`
	Worker  string `json:"worker,omitempty"`
}
