package kvstore

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"strings"

	"github.com/oklog/ulid/v2"
	"github.com/rotisserie/eris"
)

const (
	// maxSeq is far above any real sequence number and keeps sums of sequence numbers from overflowing.
	maxSeq   = 1 << 62
	ringSize = 64
	// snapshotInterval is half of ringSize, so that a snapshot is due well before an entry that it must cover is
	// overwritten.
	snapshotInterval = 32
	snapshotKeyName  = "snapshot"
)

// Errors of a Log.
var (
	// ErrBehind is returned if another writer has appended entries since the log was loaded.
	ErrBehind = eris.New("log has entries that were not loaded")
	// ErrSnapshotDue is returned if the next append would overwrite an entry that no snapshot covers.
	ErrSnapshotDue = eris.New("log needs a snapshot first")
)

// Entry is one element of a Log.
type Entry struct {
	Data json.RawMessage `json:"data"`
	// Nonce is unique to the entry, so that its writer recognises it after a lost response.
	Nonce string `json:"nonce"`
	Seq   int64  `json:"seq"`
}

// Snapshot is the state after all entries up to and including Seq.
type Snapshot struct {
	Data json.RawMessage `json:"data"`
	Seq  int64           `json:"seq"`
}

// Log is an ordered log in a ring buffer of ringSize keys, written by compare-and-swap on one key at a time.
// It is not safe for concurrent use.
type Log struct {
	prefix           string
	lastSeq          int64
	modRevisions     [ringSize]int64 // ModRevision of each key of the ring, 0 if absent
	snapshotRevision int64           // ModRevision of the snapshot's key, 0 if absent
	snapshotSeq      int64           // Seq of the stored snapshot
	store            Store
}

// NewLog returns a log under a key prefix without a trailing slash. Load must be called before other methods.
func NewLog(store Store, prefix string) *Log {
	return &Log{prefix: prefix, store: store}
}

// NewEntry returns an entry to append after the given sequence number.
func NewEntry(after int64, data json.RawMessage) Entry {
	return Entry{Data: data, Nonce: ulid.Make().String(), Seq: after + 1}
}

// Append writes an entry at the end of the log. After ErrUnknownOutcome or ErrUnavailable the same entry may be
// appended again: its nonce ensures that it takes effect at most once. ErrBehind means that another writer has appended
// an entry with this sequence number.
func (l *Log) Append(ctx context.Context, e Entry) error {
	if e.Seq != l.lastSeq+1 {
		return eris.Wrapf(ErrBehind, "%s: entry %d after %d", l.prefix, e.Seq, l.lastSeq)
	}
	if e.Seq-ringSize > l.snapshotSeq {
		return eris.Wrapf(ErrSnapshotDue, "%s at %d", l.prefix, e.Seq)
	}
	value, err := json.Marshal(e)
	if err != nil {
		return eris.Wrapf(err, "%s at %d", l.prefix, e.Seq)
	}
	slot := e.Seq % ringSize
	revision, err := l.store.CompareAndSwap(ctx, l.key(e.Seq), l.modRevisions[slot], value, 0)
	if errors.Is(err, ErrUnknownOutcome) || errors.Is(err, ErrConflict) {
		revision, err = l.resolveUnknownWrite(ctx, e, err)
	}
	if err != nil {
		return err
	}
	l.modRevisions[slot], l.lastSeq = revision, e.Seq
	return nil
}

// Load reads the whole log. The entries follow the snapshot without a gap.
func (l *Log) Load(ctx context.Context) (Snapshot, []Entry, error) {
	kvs, _, err := l.store.Range(ctx, l.prefix+"/")
	if err != nil {
		return Snapshot{}, nil, err
	}
	return l.decode(kvs)
}

// SaveSnapshot stores a snapshot. If the stored one is as new or newer, it is kept and SaveSnapshot returns no error.
func (l *Log) SaveSnapshot(ctx context.Context, s Snapshot) error {
	value, err := json.Marshal(s)
	if err != nil {
		return eris.Wrapf(err, "%s snapshot", l.prefix)
	}
	key := l.prefix + "/" + snapshotKeyName
	revision, err := l.store.CompareAndSwap(ctx, key, l.snapshotRevision, value, 0)
	if errors.Is(err, ErrConflict) || errors.Is(err, ErrUnknownOutcome) {
		kv, readErr := l.store.Get(ctx, key)
		if readErr != nil {
			return err
		}
		var stored Snapshot
		if kv.ModRevision != 0 {
			if err := json.Unmarshal(kv.Value, &stored); err != nil {
				return eris.Wrapf(err, "%s snapshot", l.prefix)
			}
		}
		l.snapshotRevision, l.snapshotSeq = kv.ModRevision, stored.Seq
		if stored.Seq < s.Seq {
			return err
		}
		return nil
	}
	if err != nil {
		return err
	}
	l.snapshotRevision, l.snapshotSeq = revision, s.Seq
	return nil
}

// Seq returns the sequence number of the last entry that was loaded or appended.
func (l *Log) Seq() int64 { return l.lastSeq }

// SnapshotDue reports whether at least snapshotInterval entries follow the last snapshot.
func (l *Log) SnapshotDue() bool { return l.lastSeq-l.snapshotSeq >= snapshotInterval }

func (l *Log) key(seq int64) string { return fmt.Sprintf("%s/%02d", l.prefix, seq%ringSize) }

func (l *Log) decode(kvs []KV) (Snapshot, []Entry, error) {
	var snap Snapshot
	bySeq := map[int64]Entry{}
	var modRevisions [ringSize]int64
	var snapshotRevision int64
	for _, kv := range kvs {
		name := strings.TrimPrefix(kv.Key, l.prefix+"/")
		if name == snapshotKeyName {
			if err := json.Unmarshal(kv.Value, &snap); err != nil {
				return Snapshot{}, nil, eris.Wrapf(err, "%s", kv.Key)
			}
			if snap.Seq < 0 || snap.Seq > maxSeq {
				return Snapshot{}, nil, eris.Errorf("%s: sequence number %d", kv.Key, snap.Seq)
			}
			snapshotRevision = kv.ModRevision
			continue
		}
		slot, err := strconv.Atoi(name)
		if err != nil || slot < 0 || slot >= ringSize {
			continue // a key of another log below this prefix
		}
		var e Entry
		if err := json.Unmarshal(kv.Value, &e); err != nil {
			return Snapshot{}, nil, eris.Wrapf(err, "%s", kv.Key)
		}
		if e.Seq < 1 || e.Seq > maxSeq || e.Seq%ringSize != int64(slot) {
			return Snapshot{}, nil, eris.Errorf("%s: sequence number %d", kv.Key, e.Seq)
		}
		modRevisions[slot] = kv.ModRevision
		bySeq[e.Seq] = e
	}
	var entries []Entry
	seq := snap.Seq
	for e, ok := bySeq[seq+1]; ok; e, ok = bySeq[seq+1] {
		entries = append(entries, e)
		seq++
	}
	l.modRevisions, l.snapshotRevision, l.snapshotSeq, l.lastSeq = modRevisions, snapshotRevision, snap.Seq, seq
	return snap, entries, nil
}

// resolveUnknownWrite reads the key of an entry back to learn whether its write took effect.
func (l *Log) resolveUnknownWrite(ctx context.Context, e Entry, cause error) (int64, error) {
	kv, err := l.store.Get(ctx, l.key(e.Seq))
	if err != nil {
		return 0, eris.Wrapf(ErrUnknownOutcome, "%s at %d: %s", l.prefix, e.Seq, cause)
	}
	var stored Entry
	if kv.ModRevision != 0 {
		if err := json.Unmarshal(kv.Value, &stored); err != nil {
			return 0, eris.Wrapf(err, "%s", kv.Key)
		}
	}
	switch {
	case stored.Nonce == e.Nonce:
		return kv.ModRevision, nil
	case kv.ModRevision != l.modRevisions[e.Seq%ringSize]:
		return 0, eris.Wrapf(ErrBehind, "%s at %d", l.prefix, e.Seq)
	}
	// The key is unchanged, but the write may still arrive later: only the same entry may be appended again.
	return 0, eris.Wrapf(ErrUnknownOutcome, "%s at %d: %s", l.prefix, e.Seq, cause)
}
