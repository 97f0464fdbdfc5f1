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

// Phases of an attempt; all except PhaseRunning are final.
const (
	PhaseCancelled Phase = "cancelled"
	PhaseDone      Phase = "done"
	PhaseEvicted   Phase = "evicted"
	PhaseFailed    Phase = "failed"
	PhaseRunning   Phase = "running"
)

// ReasonLeaseExpired is the reason of an attempt that the worker evicted because its lease expired.
const ReasonLeaseExpired = "lease_expired"

// IsEnd reports whether the phase is final.
func (p Phase) IsEnd() bool { return p != PhaseRunning }

// AttemptRef identifies an attempt of a task.
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
	// Acks acknowledges ended attempts, which the worker may then discard.
	Acks  []AttemptRef `json:"acks,omitempty"`
	Epoch int64        `json:"epoch"`
	// Full requests a full report instead of the changes since Token was issued.
	Full bool `json:"full,omitempty"`
	// Token is the token of the last report received, so that changes in a lost response are reported again.
	Token string `json:"token"`
}

// InFlight is the number of requests that a worker is running for a workload.
type InFlight struct {
	Count int `json:"count"`
	// LowerEpochs is the number of these requests that carry an epoch below the installed one.
	LowerEpochs int    `json:"lower_epochs,omitempty"`
	Work        string `json:"work"`
}

// LatencySample is the latency of a service on a worker over one sample interval.
type LatencySample struct {
	// Load is the number of requests finished per second.
	Load float64       `json:"load"`
	P99  note.Duration `json:"p99"`
	// TakenAt is the end of the interval, by the worker's clock.
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
	// EpochCapable is true if the worker checks epochs; present in full reports.
	EpochCapable bool `json:"epoch_capable,omitempty"`
	// Full is true if Tasks lists all attempts on the worker, not only the changed ones.
	Full     bool            `json:"full,omitempty"`
	InFlight []InFlight      `json:"in_flight,omitempty"`
	Latency  []LatencySample `json:"latency,omitempty"`
	Leaving  bool            `json:"leaving,omitempty"`
	// SentAt is the time of the report by the worker's clock, present with samples: the age of a sample is SentAt minus
	// TakenAt.
	SentAt time.Time `json:"sent_at,omitzero"`
	// Tasks always includes the ended attempts that were not acknowledged.
	Tasks []Task        `json:"tasks,omitempty"`
	Token string        `json:"token"`
	Usage []UsageSample `json:"usage,omitempty"`
	// Worker is the host id; present in full reports.
	Worker string `json:"worker,omitempty"`
}

// StartRequest starts an attempt of a task.
type StartRequest struct {
	AttemptRef
	// Checkpoint is the one that an earlier attempt reported; with 0 the task starts from the beginning.
	Checkpoint int64           `json:"checkpoint,omitempty"`
	Epoch      int64           `json:"epoch"`
	Kind       note.Kind       `json:"kind"`
	Resources  fleet.Resources `json:"resources"`
	// RunTime is the estimated run time of the whole task; zero for services and feeds.
	RunTime note.Duration `json:"run_time,omitzero"`
	Token   string        `json:"token"`
	Work    string        `json:"work"`
}

// StopRequest ends an attempt, or prevents it from starting later if it has not started.
type StopRequest struct {
	AttemptRef
	// Checkpoint requests a final checkpoint; the attempt then ends in PhaseEvicted instead of PhaseCancelled.
	Checkpoint bool  `json:"checkpoint,omitempty"`
	Epoch      int64 `json:"epoch"`
}

// Task is the state of an attempt on a worker.
type Task struct {
	AttemptRef
	// Checkpoint increases with progress. Its meaning is defined by the worker; entry hosts only compare and store it.
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

// UsageSample is the resource usage of the tasks of one workload on a worker.
type UsageSample struct {
	CPUMilli  int64 `json:"cpu_milli"`
	MemoryMiB int64 `json:"memory_mib"`
	// TakenAt is the time of the sample by the worker's clock.
	TakenAt time.Time `json:"taken_at"`
	Work    string    `json:"work"`
}
