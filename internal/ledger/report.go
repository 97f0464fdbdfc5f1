package ledger

import (
	"time"

	"github.com/laburnumridge/laburnumridge/internal/fleet"
)

// TaskReport is what a worker says of the last attempt of a task.
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
	// Epoch is the highest epoch that the worker accepted; 0 without epoch support.
	Epoch        int64
	EpochCapable bool
	// Tasks lists running attempts and ends that have not been acknowledged.
	Tasks  []TaskReport
	Token  string
	Worker string
}

// TaskEnd names an end that the worker need not keep any longer.
type TaskEnd struct {
	Attempt int
	Task    string
}

// Contact is a fence or heartbeat that is to be sent.
type Contact struct {
	// Acks are the reported ends that are settled.
	Acks  []TaskEnd
	Epoch int64
	// Fence installs the epoch; it carries no token and renews no lease.
	Fence  bool
	SentAt time.Time
	Seq    int64
	Token  string
	Worker string
}

// Start is an attempt that is to be started.
type Start struct {
	Attempt    int
	Checkpoint int64
	Epoch      int64
	Job        Job
	Task       string
	Token      string
	Worker     string
}

// Stop asks a worker to checkpoint and stop a task and to refuse all attempts up to Attempt from then on.
type Stop struct {
	Attempt int
	Epoch   int64
	Reason  string
	Task    string
	Worker  string
}

// AttemptEnd tells that an attempt ended without the task being done.
type AttemptEnd struct {
	Attempt int
	Phase   Phase
	Reason  string
	Task    string
	Worker  string
}

// Commit is a batch to append to the log.
type Commit struct {
	Batch Batch
	// Resolve says that the batch may be in the log already: read it back before it is appended again.
	Resolve bool
}

// Actions is what an owner wants done.
type Actions struct {
	Commit   *Commit
	Contacts []Contact
	// Ended lists attempts that ended since the last tick.
	Ended  []AttemptEnd
	Starts []Start
	Stops  []Stop
}
