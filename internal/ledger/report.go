package ledger

import (
	"time"

	"github.com/laburnumridge/laburnumridge/internal/fleet"
)

// TaskReport is a worker's report of the last attempt of a task.
type TaskReport struct {
	Attempt    int
	Checkpoint int64
	Phase      Phase
	Reason     string
	Task       string
}

// WorkerReport is a worker's response to a fence or a heartbeat.
type WorkerReport struct {
	BootID   string
	Capacity fleet.Resources
	// Epoch is the highest epoch that the worker has accepted; 0 if it does not support epochs.
	Epoch        int64
	EpochCapable bool
	// Tasks lists the running attempts, and the ended ones whose end has not been acknowledged.
	Tasks  []TaskReport
	Token  string
	Worker string
}

// AttemptRef identifies an attempt, for instance one whose end is acknowledged.
type AttemptRef struct {
	Attempt int
	Task    string
}

// Contact is a fence or heartbeat to be sent to a worker.
type Contact struct {
	// Acks are the reported ends that the worker may forget, because they are recorded or need no record.
	Acks  []AttemptRef
	Epoch int64
	// Fence is set for a fence, which installs the epoch but carries no token and renews no lease.
	Fence  bool
	SentAt time.Time
	Seq    int64
	Token  string
	Worker string
}

// Start asks a worker to start an attempt.
type Start struct {
	Attempt    int
	Checkpoint int64
	Epoch      int64
	Job        Job
	Task       string
	Token      string
	Worker     string
}

// Stop asks a worker to checkpoint and stop a task, and to refuse attempts up to and including Attempt from then
// on.
type Stop struct {
	Attempt int
	Epoch   int64
	Reason  string
	Task    string
	Worker  string
}

// AttemptEnd is the end of an attempt that did not complete its task.
type AttemptEnd struct {
	Attempt int
	Phase   Phase
	Reason  string
	Task    string
	Worker  string
}

// Commit asks the host to append a batch to the log.
type Commit struct {
	Batch Batch
	// MayBeInLog is set if an earlier append had an unknown outcome. The batch may already be in the log, so the log
	// must be read back before the batch is appended again.
	MayBeInLog bool
}

// Actions holds what the host is to do for the owner after a tick.
type Actions struct {
	Commit   *Commit
	Contacts []Contact
	// Ended lists the attempts that ended since the last tick without completing their task.
	Ended  []AttemptEnd
	Starts []Start
	Stops  []Stop
}
