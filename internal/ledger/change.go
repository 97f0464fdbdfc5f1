package ledger

import (
	"encoding/json"
	"time"

	"github.com/rotisserie/eris"
)

// ChangeKind tells changes apart.
type ChangeKind string

// Kinds of changes.
const (
	ChangeAccept     ChangeKind = "a"
	ChangeBind       ChangeKind = "b"
	ChangeCheckpoint ChangeKind = "c"
	ChangeEnd        ChangeKind = "e"
	ChangePark       ChangeKind = "p"
	ChangeTakeOver   ChangeKind = "t"
	ChangeWithdraw   ChangeKind = "w"
)

// Change is one change of the shard's records; its kind says which fields it uses.
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

// Accept records a job and its tasks.
func Accept(j Job) Change { return Change{Kind: ChangeAccept, Job: &j} }

// Bind gives a task to a worker; its attempts there are above attempt and resume from checkpoint.
func Bind(task, worker string, attempt int, checkpoint int64) Change {
	return Change{Kind: ChangeBind, Task: task, Worker: worker, Attempt: attempt, Checkpoint: checkpoint}
}

// Checkpoint records the last checkpoint of a task.
func Checkpoint(task string, checkpoint int64) Change {
	return Change{Kind: ChangeCheckpoint, Task: task, Checkpoint: checkpoint}
}

// End records that a task ended in the given phase and never runs again.
func End(task string, phase Phase, reason string, attempt int) Change {
	return Change{Kind: ChangeEnd, Task: task, Phase: phase, Reason: reason, Attempt: attempt}
}

// Park takes all tasks of a job that have not ended out of the queue.
func Park(job, reason string) Change { return Change{Kind: ChangePark, JobID: job, Reason: reason} }

// TakeOver records a new owner.
func TakeOver(epoch int64, owner string) Change {
	return Change{Kind: ChangeTakeOver, Epoch: epoch, Owner: owner}
}

// Withdraw cancels all tasks of a job: unbound ones at once, bound ones when they are proven to have ended.
func Withdraw(job, reason string) Change {
	return Change{Kind: ChangeWithdraw, JobID: job, Reason: reason}
}

// Batch is the changes of one log entry.
type Batch struct {
	// At is the writer's clock in Unix milliseconds.
	At      int64    `json:"m"`
	Changes []Change `json:"c"`
}

// NewBatch returns a batch written at the given time.
func NewBatch(at time.Time, changes ...Change) Batch {
	return Batch{At: at.UnixMilli(), Changes: changes}
}

// DecodeBatch reads a log entry.
func DecodeBatch(data []byte) (Batch, error) {
	var b Batch
	err := json.Unmarshal(data, &b)
	return b, eris.Wrap(err, "decode ledger entry")
}

// Encode returns the batch as a log entry.
func (b Batch) Encode() ([]byte, error) {
	data, err := json.Marshal(b)
	return data, eris.Wrap(err, "encode ledger entry")
}
