package workflow

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"
)

// State is what callers are told of a job.
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

// Attempt is a run of a task that was given to a worker and has no recorded end.
type Attempt struct {
	_ struct{} `cbor:",toarray"`
	// Born is the worker's lifetime, in Unix milliseconds of its start.
	Born   int64
	Run    int
	Worker string
}

// TaskRecord is what is recorded of a task that has been started or has ended.
type TaskRecord struct {
	_          struct{} `cbor:",toarray"`
	Key        TaskKey
	Attempts   []Attempt
	Checkpoint string
	Done       bool
	// Failures counts the runs that ended by a fault.
	Failures int
	// Run is the highest run number given out.
	Run int
}

// Progress is what the owner of a job has recorded of it.
type Progress struct {
	// DoneThrough is the number of leading occurrences whose tasks are all done; they have no records.
	DoneThrough int          `cbor:"1,keyasint,omitempty"`
	Tasks       []TaskRecord `cbor:"2,keyasint,omitempty"`
}

// Placed says in which shard a job lives, and its state once that is final.
type Placed struct {
	// EndedAt is in Unix milliseconds; 0 means that the job has not ended.
	EndedAt int64 `cbor:"1,keyasint,omitempty"`
	Shard   int   `cbor:"2,keyasint"`
	State   State `cbor:"3,keyasint,omitempty"`
}

// Encode returns a record as bytes.
func Encode(v any) []byte {
	data, err := cbor.Marshal(v)
	if err != nil {
		panic(err) // the records hold no type that cannot be encoded
	}
	return data
}

// Decode reads a record; malformed bytes return an error that matches ErrInvalid.
func Decode[T any](data []byte) (T, error) {
	var v T
	if err := cbor.Unmarshal(data, &v); err != nil {
		return v, eris.Wrap(ErrInvalid, err.Error())
	}
	return v, nil
}
