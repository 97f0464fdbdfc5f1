package worker

import (
	"time"

	"github.com/laburnumridge/laburnumridge/internal/fleet"
	"github.com/laburnumridge/laburnumridge/internal/note"
)

// Paths of the worker's HTTP interface.
const (
	PathCheckpoint = "/v1/tasks/checkpoint"
	PathFence      = "/v1/fence"
	PathHeartbeat  = "/v1/heartbeat"
	PathServe      = "/serve/"
	PathStart      = "/v1/tasks/start"
	PathStop       = "/v1/tasks/stop"
	PathThrottle   = "/v1/tasks/throttle"
)

// Phase is the state of an attempt on a worker.
type Phase string

// Phases of an attempt; all but PhaseRunning are ends.
const (
	PhaseCancelled Phase = "cancelled"
	PhaseDone      Phase = "done"
	PhaseEvicted   Phase = "evicted"
	PhaseFailed    Phase = "failed"
	PhaseRunning   Phase = "running"
)

// ReasonLeaseExpired is the reason of an attempt that the worker evicted because its lease ran out.
const ReasonLeaseExpired = "lease_expired"

// IsEnd reports whether an attempt in this phase runs no more.
func (p Phase) IsEnd() bool { return p != PhaseRunning }

// AttemptRef names one attempt of a task.
type AttemptRef struct {
	Attempt int64  `json:"attempt"`
	Task    string `json:"task"`
}

// CheckpointRequest asks a running attempt to write a checkpoint now.
type CheckpointRequest struct {
	AttemptRef
	Epoch int64 `json:"epoch"`
}

// FenceRequest installs an owner's epoch; the worker refuses lower epochs from then on.
type FenceRequest struct {
	Epoch int64         `json:"epoch"`
	Owner string        `json:"owner"`
	Shard fleet.ShardID `json:"shard"`
}

// HeartbeatRequest renews the leases of all tasks of a worker.
type HeartbeatRequest struct {
	// Acks are ended attempts that the worker may forget.
	Acks  []AttemptRef `json:"acks,omitempty"`
	Epoch int64        `json:"epoch"`
	// Full asks for a full report instead of the changes since Token was issued.
	Full bool `json:"full,omitempty"`
	// Token is the one of the last report received, so changes in a lost response are sent again.
	Token string `json:"token"`
}

// InFlight counts the requests of a work that a worker runs.
type InFlight struct {
	Count int `json:"count"`
	// LowerEpochs counts those that came under an epoch below the installed one.
	LowerEpochs int    `json:"lower_epochs,omitempty"`
	Work        string `json:"work"`
}

// LatencySample is the latency of a service on a worker over one sample interval.
type LatencySample struct {
	// Load is the number of requests finished per second.
	Load float64       `json:"load"`
	P99  note.Duration `json:"p99"`
	// TakenAt is the end of the interval by the worker's clock.
	TakenAt time.Time `json:"taken_at"`
	// Window is the length of the interval.
	Window note.Duration `json:"window"`
	Work   string        `json:"work"`
}

// Report is the response to a fence or a heartbeat.
type Report struct {
	// BootID changes whenever the worker has lost its tasks; present in full reports.
	BootID string `json:"boot_id,omitempty"`
	// Capacity is present in full reports.
	Capacity fleet.Resources `json:"capacity,omitzero"`
	Epoch    int64           `json:"epoch"`
	// EpochCapable is present in full reports.
	EpochCapable bool `json:"epoch_capable,omitempty"`
	// Full says that Tasks lists every attempt the worker holds, not only the changed ones.
	Full     bool            `json:"full,omitempty"`
	InFlight []InFlight      `json:"in_flight,omitempty"`
	Latency  []LatencySample `json:"latency,omitempty"`
	Leaving  bool            `json:"leaving,omitempty"`
	// SentAt is the worker's clock, present with samples: the age of a sample is SentAt less TakenAt.
	SentAt time.Time `json:"sent_at,omitzero"`
	// Tasks always includes the ended attempts that are not acknowledged.
	Tasks []Task        `json:"tasks,omitempty"`
	Token string        `json:"token"`
	Usage []UsageSample `json:"usage,omitempty"`
	// Worker is the host id; present in full reports.
	Worker string `json:"worker,omitempty"`
}

// StartRequest starts an attempt of a task.
type StartRequest struct {
	AttemptRef
	// Checkpoint is what an earlier attempt reported; 0 starts from the beginning.
	Checkpoint int64           `json:"checkpoint,omitempty"`
	Epoch      int64           `json:"epoch"`
	Kind       note.Kind       `json:"kind"`
	Resources  fleet.Resources `json:"resources"`
	// RunTime is the estimate for the whole task; zero for services and feeds.
	RunTime note.Duration `json:"run_time,omitzero"`
	Token   string        `json:"token"`
	Work    string        `json:"work"`
}

// StopRequest ends an attempt, or bars it from starting if it hasn't started.
type StopRequest struct {
	AttemptRef
	// Checkpoint asks for a last checkpoint: the attempt ends evicted instead of cancelled.
	Checkpoint bool  `json:"checkpoint,omitempty"`
	Epoch      int64 `json:"epoch"`
}

// Task is the state of an attempt on a worker.
type Task struct {
	AttemptRef
	// Checkpoint grows with the work done; what it stands for is the worker's business.
	Checkpoint int64  `json:"checkpoint,omitempty"`
	Phase      Phase  `json:"phase"`
	Reason     string `json:"reason,omitempty"`
	Work       string `json:"work,omitempty"`
}

// ThrottleRequest limits an attempt to a fraction of its full speed, above 0 and at most 1.
type ThrottleRequest struct {
	AttemptRef
	Epoch    int64   `json:"epoch"`
	Fraction float64 `json:"fraction"`
}

// UsageSample is what the tasks of one work used on a worker.
type UsageSample struct {
	CPUMilli  int64 `json:"cpu_milli"`
	MemoryMiB int64 `json:"memory_mib"`
	// TakenAt is by the worker's clock.
	TakenAt time.Time `json:"taken_at"`
	Work    string    `json:"work"`
}
