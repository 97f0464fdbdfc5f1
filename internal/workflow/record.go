package workflow

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"
)

// State is the state of a job as callers see it.
type State string

// States of a job.
const (
	StateCancelled State = "cancelled"
	StateCompleted State = "completed"
	StateFailed    State = "failed"
	StateQueued    State = "queued"
	StateRunning   State = "running"
)

// IsFinal reports whether a job in this state never changes again.
func (s State) IsFinal() bool {
	return s == StateCancelled || s == StateCompleted || s == StateFailed
}

// Attempt is a run of a task that was assigned to a worker and whose end is not recorded.
type Attempt struct {
	_ struct{} `cbor:",toarray"`
	// Born identifies the worker's incarnation by its start time in Unix milliseconds.
	Born int64
	// Run is the number of the attempt within its task.
	Run    int
	Worker string
}

// TaskRecord is the recorded progress of a task that has started or ended.
type TaskRecord struct {
	_          struct{} `cbor:",toarray"`
	Key        TaskKey
	Attempts   []Attempt
	Checkpoint string
	Done       bool
	// Failures is the number of runs that ended with a fault.
	Failures int
	// Run is the highest run number assigned so far.
	Run int
}

// LateStart is a start of a run that has no response. Its worker may carry it out in a later lifetime, also after the run has ended.
type LateStart struct {
	_   struct{} `cbor:",toarray"`
	Key TaskKey
	// IsSingle is set if no other start of the run was sent, so that the run shows that this one was carried out.
	IsSingle bool
	// LostAt is when the owner stopped waiting for a response, in Unix milliseconds.
	LostAt int64
	Run    int
	Worker string
}

// AnsweredStart is a run whose starts all have responses, so that none of them can be carried out any more.
type AnsweredStart struct {
	_      struct{} `cbor:",toarray"`
	Key    TaskKey
	Run    int
	Worker string
}

// FailedRun is a run of a task that ended with a fault.
type FailedRun struct {
	_   struct{} `cbor:",toarray"`
	Key TaskKey
	Run Attempt
}

// Progress is the recorded progress of a job, written by the owner of its shard.
type Progress struct {
	// DoneThrough is the number of leading occurrences whose tasks are all done; their tasks have no records.
	DoneThrough int          `cbor:"1,keyasint,omitempty"`
	Tasks       []TaskRecord `cbor:"2,keyasint,omitempty"`
	// Guests holds, at the home of a shared job, the other shards that have a record of it.
	Guests []int `cbor:"4,keyasint,omitempty"`
	// Transfers holds the tasks that have moved between shards.
	Transfers []Transfer `cbor:"3,keyasint,omitempty"`
	// Done lists the done tasks that have no record in Tasks; the job's own record is a CompactJob then.
	Done []DoneTasks `cbor:"6,keyasint,omitempty"`
	// LateStarts holds the starts without a response that may still be carried out.
	LateStarts []LateStart `cbor:"7,keyasint,omitempty"`
	// Answered holds the runs whose starts all have responses.
	Answered []AnsweredStart `cbor:"8,keyasint,omitempty"`
	// Failed holds the failed runs that are known by worker and lifetime. TaskRecord.Failures may be higher.
	Failed []FailedRun `cbor:"9,keyasint,omitempty"`
	// Settings holds the last settings of the job's queue if they are not those of the job's record.
	Settings *QueueSettings `cbor:"5,keyasint,omitempty"`
}

// NoShard is the shard in a location that is a tombstone.
const NoShard = -1

// JobLocation records the shard to which a job was assigned, and the final state of the job.
type JobLocation struct {
	// EndedAt is the end of the job in Unix milliseconds; 0 means that the job has not ended.
	EndedAt int64 `cbor:"1,keyasint,omitempty"`
	Shard   int   `cbor:"2,keyasint"`
	State   State `cbor:"3,keyasint,omitempty"`
}

// IsTombstone reports whether the job was cancelled before it was recorded. Such a location keeps the job from being recorded.
func (l JobLocation) IsTombstone() bool { return l.Shard == NoShard }

// Encode returns the CBOR encoding of a record.
func Encode(v any) []byte {
	data, err := cbor.Marshal(v)
	if err != nil {
		panic(err) // every record type can be encoded
	}
	return data
}

// Decode decodes a record from CBOR; errors match ErrInvalid.
func Decode[T any](data []byte) (T, error) {
	var v T
	if err := cbor.Unmarshal(data, &v); err != nil {
		return v, eris.Wrap(ErrInvalid, err.Error())
	}
	return v, nil
}
