package ledger

import (
	"encoding/json"
	"time"

	"github.com/rotisserie/eris"
)

// ChangeKind is the type of a change.
type ChangeKind string

// Change kinds. They are stored in the log; one letter each keeps log entries small.
const (
	ChangeAccept     ChangeKind = "a"
	ChangeBind       ChangeKind = "b"
	ChangeCheckpoint ChangeKind = "c"
	ChangeEnd        ChangeKind = "e"
	ChangePark       ChangeKind = "p"
	ChangeTakeOver   ChangeKind = "t"
	ChangeWithdraw   ChangeKind = "w"
)

// Change is one change to the shard's records. Which fields are set depends on Kind.
type Change struct {
	Attempt    int        `json:"a,omitempty"`
	Checkpoint int64      `json:"c,omitempty"`
	Epoch      int64      `json:"e,omitempty"`
	Job        *Job       `json:"j,omitempty"`
	JobID      string     `json:"i,omitempty"`
	Kind       ChangeKind `json:"k"`
	NoEpochs   bool       `json:"x,omitempty"`
	Owner      string     `json:"o,omitempty"`
	Phase      Phase      `json:"p,omitempty"`
	Reason     string     `json:"r,omitempty"`
	Task       string     `json:"t,omitempty"`
	Worker     string     `json:"w,omitempty"`
}

// Accept returns a change that records a job and its tasks as queued.
func Accept(j Job) Change { return Change{Kind: ChangeAccept, Job: &j} }

// Bind returns a change that binds a task to a worker. Attempts under this binding have numbers above attempt
// and resume from checkpoint or a later one.
func Bind(task, worker string, attempt int, checkpoint int64) Change {
	return Change{Kind: ChangeBind, Task: task, Worker: worker, Attempt: attempt, Checkpoint: checkpoint}
}

// Checkpoint returns a change that raises the last checkpoint of a task.
func Checkpoint(task string, checkpoint int64) Change {
	return Change{Kind: ChangeCheckpoint, Task: task, Checkpoint: checkpoint}
}

// End returns a change that ends a task for good in the given phase.
func End(task string, phase Phase, reason string, attempt int) Change {
	return Change{Kind: ChangeEnd, Task: task, Phase: phase, Reason: reason, Attempt: attempt}
}

// Park returns a change that parks all tasks of a job that have not ended, so that they are not bound again.
func Park(job, reason string) Change { return Change{Kind: ChangePark, JobID: job, Reason: reason} }

// TakeOver returns a change that records a new owner of the shard.
func TakeOver(epoch int64, owner string) Change {
	return Change{Kind: ChangeTakeOver, Epoch: epoch, Owner: owner}
}

// Withdraw returns a change that cancels all tasks of a job. Unbound tasks end at once; the owner ends a bound
// task once it has proof that no attempt of it runs.
func Withdraw(job, reason string) Change {
	return Change{Kind: ChangeWithdraw, JobID: job, Reason: reason}
}

// Batch holds the changes of one log entry, which are applied in order.
type Batch struct {
	// At is the time of writing by the writer's clock, in Unix milliseconds.
	At      int64    `json:"m"`
	Changes []Change `json:"c"`
}

// NewBatch returns a batch of changes that is written at the given time.
func NewBatch(at time.Time, changes ...Change) Batch {
	return Batch{At: at.UnixMilli(), Changes: changes}
}

// DecodeBatch decodes a log entry written by Batch.Encode.
func DecodeBatch(data []byte) (Batch, error) {
	var b Batch
	err := json.Unmarshal(data, &b)
	return b, eris.Wrap(err, "decode ledger entry")
}

// Encode encodes the batch as a log entry.
func (b Batch) Encode() ([]byte, error) {
	data, err := json.Marshal(b)
	return data, eris.Wrap(err, "encode ledger entry")
}
