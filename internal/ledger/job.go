package ledger

import (
	"strconv"

	"github.com/laburnumridge/laburnumridge/internal/fleet"
	"github.com/laburnumridge/laburnumridge/internal/note"
)

// Job is one submission of a work, which runs as one or more identical tasks.
type Job struct {
	// DeadlineAt is in Unix milliseconds; 0 means none.
	DeadlineAt int64     `json:"x,omitempty"`
	ID         string    `json:"i"`
	Kind       note.Kind `json:"k"`
	Priority   int       `json:"p,omitempty"`
	// Resources is the reservation of each task.
	Resources fleet.Resources `json:"r"`
	RunTime   note.Duration   `json:"d,omitzero"`
	// SubmittedAt is in Unix milliseconds.
	SubmittedAt int64  `json:"s,omitempty"`
	Tasks       int    `json:"n"`
	Team        string `json:"g,omitempty"`
	Work        string `json:"w"`
}

// IsLatencyCritical reports whether the tasks are replicas of a service or feed.
func (j Job) IsLatencyCritical() bool { return j.Kind == note.KindService || j.Kind == note.KindFeed }

// TaskIDs returns the ids of the job's tasks, in the order of their index.
func (j Job) TaskIDs() []string {
	ids := make([]string, j.Tasks)
	for i := range ids {
		ids[i] = TaskID(j.ID, i)
	}
	return ids
}

// JobRecord is a job and its state in the log.
type JobRecord struct {
	// EndedAt is when the last task ended, in Unix milliseconds; 0 while a task has not ended.
	EndedAt int64 `json:"e,omitempty"`
	Job     Job   `json:"j"`
	// Open is the number of tasks that have not ended.
	Open      int    `json:"o,omitempty"`
	Parked    bool   `json:"k,omitempty"`
	Reason    string `json:"r,omitempty"`
	Withdrawn bool   `json:"x,omitempty"`
}

// Task is the state of a task in the log.
type Task struct {
	// Attempt is the number that every attempt under the current binding exceeds. Once the task has ended it is
	// the number of the last attempt.
	Attempt    int    `json:"a,omitempty"`
	Checkpoint int64  `json:"c,omitempty"`
	ID         string `json:"t"`
	Job        string `json:"j"`
	// NoEpochs is set if the worker did not support epochs when the task was bound to it.
	NoEpochs bool   `json:"x,omitempty"`
	Phase    Phase  `json:"p"`
	Reason   string `json:"r,omitempty"`
	Worker   string `json:"w,omitempty"`
}

// TaskID returns the id of the job's task with the given index.
func TaskID(job string, index int) string { return job + "/" + strconv.Itoa(index) }

// Phase is the phase of a task or, in a worker's report, of an attempt.
type Phase string

// Phases. PhaseRunning, PhaseStopped and PhaseExpired occur only in reports of attempts. One letter each keeps
// log entries small.
const (
	PhaseBound     Phase = "b"
	PhaseCancelled Phase = "c"
	PhaseDone      Phase = "d"
	// PhaseExpired means that the worker stopped the attempt because the task's lease expired.
	PhaseExpired Phase = "e"
	PhaseFailed  Phase = "f"
	PhaseParked  Phase = "p"
	PhaseQueued  Phase = "q"
	PhaseRunning Phase = "r"
	// PhaseStopped means that the attempt was cancelled, or evicted for any reason other than its lease.
	PhaseStopped Phase = "s"
)

// IsEnd reports whether the phase is final: the task never runs again.
func (p Phase) IsEnd() bool { return p == PhaseCancelled || p == PhaseDone || p == PhaseFailed }

// String returns the full name of the phase.
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
