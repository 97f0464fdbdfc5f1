package ledger

import (
	"strconv"

	"github.com/laburnumridge/laburnumridge/internal/fleet"
	"github.com/laburnumridge/laburnumridge/internal/note"
)

// Job is an accepted piece of work that consists of one or more equal tasks.
type Job struct {
	// DeadlineAt is in Unix milliseconds; 0 means none.
	DeadlineAt int64     `json:"x,omitempty"`
	ID         string    `json:"i"`
	Kind       note.Kind `json:"k"`
	Priority   int       `json:"p,omitempty"`
	// Resources is what each task reserves.
	Resources fleet.Resources `json:"r"`
	RunTime   note.Duration   `json:"d,omitzero"`
	// SubmittedAt is in Unix milliseconds.
	SubmittedAt int64 `json:"s,omitempty"`
	// Tasks is the number of tasks.
	Tasks int    `json:"n"`
	Team  string `json:"g,omitempty"`
	Work  string `json:"w"`
}

// IsLatencyCritical reports whether the tasks are replicas of a service or feed.
func (j Job) IsLatencyCritical() bool { return j.Kind == note.KindService || j.Kind == note.KindFeed }

// TaskIDs returns the ids of the job's tasks.
func (j Job) TaskIDs() []string {
	ids := make([]string, j.Tasks)
	for i := range ids {
		ids[i] = TaskID(j.ID, i)
	}
	return ids
}

// JobRecord is a job with what the log says of it.
type JobRecord struct {
	// EndedAt is in Unix milliseconds; 0 means that a task has not ended.
	EndedAt int64 `json:"e,omitempty"`
	Job     Job   `json:"j"`
	// Open is the number of tasks that have not ended.
	Open      int    `json:"o,omitempty"`
	Parked    bool   `json:"k,omitempty"`
	Reason    string `json:"r,omitempty"`
	Withdrawn bool   `json:"x,omitempty"`
}

// Task is one task with what the log says of it.
type Task struct {
	// Attempt is the number that every attempt under the current binding exceeds, or the one that ended the task.
	Attempt    int    `json:"a,omitempty"`
	Checkpoint int64  `json:"c,omitempty"`
	ID         string `json:"t"`
	Job        string `json:"j"`
	// NoEpochs says that the worker did not support epochs when the task was bound to it.
	NoEpochs bool   `json:"x,omitempty"`
	Phase    Phase  `json:"p"`
	Reason   string `json:"r,omitempty"`
	Worker   string `json:"w,omitempty"`
}

// TaskID returns the id of a job's task by its index.
func TaskID(job string, index int) string { return job + "/" + strconv.Itoa(index) }

// Phase is the phase of a task.
type Phase string

// Phases; running, stopped and expired occur in reports only. The short texts keep log entries small.
const (
	PhaseBound     Phase = "b"
	PhaseCancelled Phase = "c"
	PhaseDone      Phase = "d"
	// PhaseExpired is an attempt that its worker stopped because its lease ended.
	PhaseExpired Phase = "e"
	PhaseFailed  Phase = "f"
	PhaseParked  Phase = "p"
	PhaseQueued  Phase = "q"
	PhaseRunning Phase = "r"
	// PhaseStopped is an attempt that was stopped on request.
	PhaseStopped Phase = "s"
)

// IsEnd reports whether a task in this phase never runs again.
func (p Phase) IsEnd() bool { return p == PhaseCancelled || p == PhaseDone || p == PhaseFailed }

// String returns the phase in full.
func (p Phase) String() string {
	names := map[Phase]string{
		PhaseBound: "bound", PhaseCancelled: "cancelled", PhaseDone: "done", PhaseExpired: "expired",
		PhaseFailed: "failed", PhaseParked: "parked", PhaseQueued: "queued", PhaseRunning: "running",
		PhaseStopped: "stopped",
	}
	if name, ok := names[p]; ok {
		return name
	}
	return string(p)
}
