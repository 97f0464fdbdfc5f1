package kvstore

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
)

// MaxValueBytes is the largest value that the key-value service holds.
const MaxValueBytes = 1 << 20

// Errors of the calls of a Store.
var (
	// ErrCompacted says that the changes asked for are no longer kept: the keys have to be read anew.
	ErrCompacted = eris.New("history is no longer kept")
	// ErrConflict says that the key was not at the expected revision and nothing was written.
	ErrConflict = eris.New("key is at another revision")
	// ErrRejected says that the service does not accept the call as it is, and did nothing.
	ErrRejected = eris.New("call is rejected")
	// ErrTooLarge says that a value exceeds MaxValueBytes and nothing was sent.
	ErrTooLarge = eris.New("value is too large")
	// ErrUnavailable says that the service did not act, or that a read got no answer.
	ErrUnavailable = eris.New("platform store is unavailable")
	// ErrUnknownOutcome says that a write was sent and its answer was lost: it may have taken effect.
	ErrUnknownOutcome = eris.New("outcome of the write is unknown")
)

// KV is a key with its value and the store revision of its last change.
type KV struct {
	Key         string
	Lease       int64
	ModRevision int64
	Value       []byte
}

// Event is a change of a watched key; a deleted key has a nil value.
type Event struct {
	Deleted bool
	KV      KV
}

// Guard requires a key to be at a revision; 0 requires it to be absent.
type Guard struct {
	Key      string
	Revision int64
}

// Put writes a key; Lease 0 keeps it until it is deleted.
type Put struct {
	Key   string
	Lease int64
	Value []byte
}

// Txn is a group of writes that is carried out if all guards hold, or not at all.
type Txn struct {
	Deletes []string
	Guards  []Guard
	Puts    []Put
}

// Size returns the number of entries of the transaction.
func (t Txn) Size() int { return len(t.Deletes) + len(t.Guards) + len(t.Puts) }

// TxnResult is the answer to a transaction.
type TxnResult struct {
	// Current holds the guarded keys as they are if a guard did not hold; absent keys have ModRevision 0.
	Current []KV
	// Revision is the store's revision of the writes.
	Revision int64
}

// Store is the small part of the key-value service that the scheduler uses.
type Store struct {
	// Get returns a key, or ModRevision 0 if it is absent; errors match ErrUnavailable.
	Get func(ctx context.Context, key string) (KV, error)
	// Grant returns the id of a new lease that lasts for ttl, in whole seconds; errors match ErrUnavailable.
	Grant func(ctx context.Context, ttl time.Duration) (int64, error)
	// KeepAlive renews a lease; a lease that has run out returns ErrConflict.
	KeepAlive func(ctx context.Context, lease int64) error
	// Range returns all keys with a prefix, in order, and the store revision; errors match ErrUnavailable.
	Range func(ctx context.Context, prefix string) ([]KV, int64, error)
	// Revoke ends a lease and deletes its keys.
	Revoke func(ctx context.Context, lease int64) error
	// Swap writes a key if its ModRevision is expect (0: the key is absent) and returns the new one.
	// An empty value deletes the key. Errors match ErrConflict, ErrTooLarge, ErrUnavailable or ErrUnknownOutcome.
	Swap func(ctx context.Context, key string, expect int64, value []byte, lease int64) (int64, error)
	// Txn carries out a transaction. Errors match ErrConflict, ErrTooLarge, ErrUnavailable or ErrUnknownOutcome. It is nil
	// for services that offer compare-and-swap of single keys only.
	Txn func(ctx context.Context, t Txn) (TxnResult, error)
	// Watch calls each for every change of keys with a prefix since a store revision, until ctx ends or
	// the stream breaks. Errors match ErrCompacted or ErrUnavailable.
	Watch func(ctx context.Context, prefix string, since int64, each func([]Event)) error
}
