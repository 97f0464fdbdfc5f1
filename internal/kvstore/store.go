package kvstore

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
)

// MaxValueBytes is the size limit of a value in the store.
const MaxValueBytes = 1 << 20

// Errors of the calls of a Store.
var (
	// ErrCompacted is returned if the requested revisions are no longer kept: the keys have to be read again.
	ErrCompacted = eris.New("history is no longer kept")
	// ErrConflict is returned if a key was not at the expected revision, or a lease has expired; nothing was written.
	ErrConflict = eris.New("key is at another revision")
	// ErrRejected is returned if the store refused the request as invalid or not permitted, and did nothing.
	ErrRejected = eris.New("call is rejected")
	// ErrTooLarge is returned if a value exceeds MaxValueBytes; nothing was written.
	ErrTooLarge = eris.New("value is too large")
	// ErrUnavailable is returned if the store did not execute the request, or if a read got no response.
	ErrUnavailable = eris.New("platform store is unavailable")
	// ErrUnknownOutcome is returned if a write was sent and its response was lost: it may have taken effect.
	ErrUnknownOutcome = eris.New("outcome of the write is unknown")
)

// KV is a key with its value, its lease and the store revision of its last change.
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

// Guard is a condition of a transaction: the key must be at the revision, or absent if it is 0.
type Guard struct {
	Key      string
	Revision int64
}

// Put writes a key. The key is deleted when its lease ends; Lease 0 attaches none.
type Put struct {
	Key   string
	Lease int64
	Value []byte
}

// Txn is a transaction: all its writes take effect if all guards hold, otherwise none does.
type Txn struct {
	Deletes []string
	Guards  []Guard
	Puts    []Put
}

// Size returns the number of guards, puts and deletes, which the store limits.
func (t Txn) Size() int { return len(t.Deletes) + len(t.Guards) + len(t.Puts) }

// TxnResult is the result of a transaction.
type TxnResult struct {
	// Current holds the present state of the guarded keys if a guard did not hold; absent keys have ModRevision 0.
	Current []KV
	// Revision is the store revision of the writes.
	Revision int64
}

// Store holds the operations of the key-value store that the scheduler uses.
type Store struct {
	// Get returns a key, with ModRevision 0 if it is absent. Errors match ErrUnavailable.
	Get func(ctx context.Context, key string) (KV, error)
	// Grant creates a lease and returns its id. Clients may round ttl up to whole seconds. Errors match ErrUnavailable.
	Grant func(ctx context.Context, ttl time.Duration) (int64, error)
	// KeepAlive renews a lease. It returns ErrConflict if the lease has expired.
	KeepAlive func(ctx context.Context, lease int64) error
	// Range returns all keys with a prefix, in order, and the revision to watch from. Errors match ErrUnavailable.
	Range func(ctx context.Context, prefix string) ([]KV, int64, error)
	// Revoke ends a lease and deletes its keys.
	Revoke func(ctx context.Context, lease int64) error
	// CompareAndSwap writes a key if its ModRevision equals expect (0: the key is absent) and returns the new
	// ModRevision. An empty value deletes the key. Errors match ErrConflict, ErrTooLarge, ErrUnavailable or
	// ErrUnknownOutcome.
	CompareAndSwap func(ctx context.Context, key string, expect int64, value []byte, lease int64) (int64, error)
	// Txn executes a transaction. Errors match ErrConflict, ErrTooLarge, ErrUnavailable or ErrUnknownOutcome. It is nil
	// for clients that offer compare-and-swap of single keys only.
	Txn func(ctx context.Context, t Txn) (TxnResult, error)
	// Watch calls each with the changes of keys with a prefix after the revision since, until ctx ends or the stream
	// breaks. Errors match ErrCompacted or ErrUnavailable.
	Watch func(ctx context.Context, prefix string, since int64, each func([]Event)) error
}
