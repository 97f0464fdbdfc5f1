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

// Ring sizes: a snapshot is due well before the entry that it must cover is overwritten.
const (
	// maxSeq is far above what a log reaches and keeps sums of sequence numbers from overflowing.
	maxSeq          = 1 << 62
	ringSlots       = 64
	snapshotEvery   = 32
	snapshotKeyName = "snapshot"
)

// Errors of a Log.
var (
	// ErrBehind says that the log has entries that this handle has not loaded.
	ErrBehind = eris.New("log has entries that were not loaded")
	// ErrSnapshotDue says that the next append would overwrite an entry that no snapshot covers.
	ErrSnapshotDue = eris.New("log needs a snapshot first")
)

// Entry is one element of a Log.
type Entry struct {
	Data json.RawMessage `json:"data"`
	// Nonce is unique to the entry, so that its writer recognises it after a lost answer.
	Nonce string `json:"nonce"`
	Seq   int64  `json:"seq"`
}

// Snapshot stands for all entries up to and including Seq.
type Snapshot struct {
	Data json.RawMessage `json:"data"`
	Seq  int64           `json:"seq"`
}

// Log is an ordered log in a fixed ring of keys, written by compare-and-swap on one key at a time.
// It is not safe for concurrent use.
type Log struct {
	prefix      string
	seq         int64
	slots       [ringSlots]int64 // mod revision of each key
	snapshotMod int64
	snapshotSeq int64
	store       Store
}

// NewLog returns a log under a key prefix without a trailing slash; Load must come first.
func NewLog(store Store, prefix string) *Log {
	return &Log{prefix: prefix, store: store}
}

// NewEntry returns an entry to append after the given sequence number.
func NewEntry(after int64, data json.RawMessage) Entry {
	return Entry{Data: data, Nonce: ulid.Make().String(), Seq: after + 1}
}

// Append writes an entry at the end of the log. After ErrUnknownOutcome or ErrUnavailable the same entry
// may be appended again: it takes effect at most once. ErrBehind says that another entry took its place.
func (l *Log) Append(ctx context.Context, e Entry) error {
	if e.Seq != l.seq+1 {
		return eris.Wrapf(ErrBehind, "%s: entry %d after %d", l.prefix, e.Seq, l.seq)
	}
	if e.Seq-ringSlots > l.snapshotSeq {
		return eris.Wrapf(ErrSnapshotDue, "%s at %d", l.prefix, e.Seq)
	}
	value, err := json.Marshal(e)
	if err != nil {
		return eris.Wrapf(err, "%s at %d", l.prefix, e.Seq)
	}
	slot := e.Seq % ringSlots
	mod, err := l.store.Swap(ctx, l.key(e.Seq), l.slots[slot], value, 0)
	if errors.Is(err, ErrUnknownOutcome) || errors.Is(err, ErrConflict) {
		mod, err = l.resolve(ctx, e, err)
	}
	if err != nil {
		return err
	}
	l.slots[slot], l.seq = mod, e.Seq
	return nil
}

// Load reads the whole log; entries start after the snapshot and are contiguous.
func (l *Log) Load(ctx context.Context) (Snapshot, []Entry, error) {
	kvs, _, err := l.store.Range(ctx, l.prefix+"/")
	if err != nil {
		return Snapshot{}, nil, err
	}
	return l.read(kvs)
}

// SaveSnapshot stores the state after all entries up to seq; a newer snapshot is left in place.
func (l *Log) SaveSnapshot(ctx context.Context, s Snapshot) error {
	value, err := json.Marshal(s)
	if err != nil {
		return eris.Wrapf(err, "%s snapshot", l.prefix)
	}
	key := l.prefix + "/" + snapshotKeyName
	mod, err := l.store.Swap(ctx, key, l.snapshotMod, value, 0)
	if errors.Is(err, ErrConflict) || errors.Is(err, ErrUnknownOutcome) {
		kv, readErr := l.store.Get(ctx, key)
		if readErr != nil {
			return err
		}
		var have Snapshot
		if kv.ModRevision != 0 {
			if err := json.Unmarshal(kv.Value, &have); err != nil {
				return eris.Wrapf(err, "%s snapshot", l.prefix)
			}
		}
		l.snapshotMod, l.snapshotSeq = kv.ModRevision, have.Seq
		if have.Seq < s.Seq {
			return err
		}
		return nil
	}
	if err != nil {
		return err
	}
	l.snapshotMod, l.snapshotSeq = mod, s.Seq
	return nil
}

// Seq returns the sequence number of the last entry known to be in the log.
func (l *Log) Seq() int64 { return l.seq }

// SnapshotDue reports whether enough entries have come since the last snapshot.
func (l *Log) SnapshotDue() bool { return l.seq-l.snapshotSeq >= snapshotEvery }

func (l *Log) key(seq int64) string { return fmt.Sprintf("%s/%02d", l.prefix, seq%ringSlots) }

func (l *Log) read(kvs []KV) (Snapshot, []Entry, error) {
	var snap Snapshot
	bySeq := map[int64]Entry{}
	var slots [ringSlots]int64
	var snapMod int64
	for _, kv := range kvs {
		name := strings.TrimPrefix(kv.Key, l.prefix+"/")
		if name == snapshotKeyName {
			if err := json.Unmarshal(kv.Value, &snap); err != nil {
				return Snapshot{}, nil, eris.Wrapf(err, "%s", kv.Key)
			}
			if snap.Seq < 0 || snap.Seq > maxSeq {
				return Snapshot{}, nil, eris.Errorf("%s: sequence number %d", kv.Key, snap.Seq)
			}
			snapMod = kv.ModRevision
			continue
		}
		slot, err := strconv.Atoi(name)
		if err != nil || slot < 0 || slot >= ringSlots {
			continue // a key of another log below this prefix
		}
		var e Entry
		if err := json.Unmarshal(kv.Value, &e); err != nil {
			return Snapshot{}, nil, eris.Wrapf(err, "%s", kv.Key)
		}
		if e.Seq < 1 || e.Seq > maxSeq || e.Seq%ringSlots != int64(slot) {
			return Snapshot{}, nil, eris.Errorf("%s: sequence number %d", kv.Key, e.Seq)
		}
		slots[slot] = kv.ModRevision
		bySeq[e.Seq] = e
	}
	var entries []Entry
	seq := snap.Seq
	for e, ok := bySeq[seq+1]; ok; e, ok = bySeq[seq+1] {
		entries = append(entries, e)
		seq++
	}
	l.slots, l.snapshotMod, l.snapshotSeq, l.seq = slots, snapMod, snap.Seq, seq
	return snap, entries, nil
}

// resolve reads back the key of an entry whose write got no clear answer.
func (l *Log) resolve(ctx context.Context, e Entry, cause error) (int64, error) {
	kv, err := l.store.Get(ctx, l.key(e.Seq))
	if err != nil {
		return 0, eris.Wrapf(ErrUnknownOutcome, "%s at %d: %s", l.prefix, e.Seq, cause)
	}
	var have Entry
	if kv.ModRevision != 0 {
		if err := json.Unmarshal(kv.Value, &have); err != nil {
			return 0, eris.Wrapf(err, "%s", kv.Key)
		}
	}
	switch {
	case have.Nonce == e.Nonce:
		return kv.ModRevision, nil
	case kv.ModRevision != l.slots[e.Seq%ringSlots]:
		return 0, eris.Wrapf(ErrBehind, "%s at %d", l.prefix, e.Seq)
	}
	// The key is as before, but the lost write may still arrive: only the same entry may be tried again.
	return 0, eris.Wrapf(ErrUnknownOutcome, "%s at %d: %s", l.prefix, e.Seq, cause)
}
