package kvstore_test

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/laburnumridge/laburnumridge/internal/fake"
	"github.com/laburnumridge/laburnumridge/internal/kvstore"
)

func newEtcdStore(t *testing.T) (*fake.Platform, kvstore.Store) {
	t.Helper()
	p := fake.NewPlatform(fake.WithRateLimits(1e6, 1e6))
	url, err := p.Start()
	assert.NilError(t, err)
	t.Cleanup(p.Stop)
	return p, kvstore.NewEtcd([]string{url}, 5*time.Second)
}

func appendText(t *testing.T, l *kvstore.Log, text string) error {
	t.Helper()
	data, err := json.Marshal(text)
	assert.NilError(t, err)
	return l.Append(context.Background(), kvstore.NewEntry(l.Seq(), data))
}

func TestLostResponseAppendsOnce(t *testing.T) {
	p, store := newEtcdStore(t)
	l := kvstore.NewLog(store, "notes")
	_, _, err := l.Load(t.Context())
	assert.NilError(t, err)
	p.SetFaults(fake.PlatformFaults{LostResponses: 1})
	assert.NilError(t, appendText(t, l, "a"))
	assert.NilError(t, appendText(t, l, "b"))
	_, entries, err := kvstore.NewLog(store, "notes").Load(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, len(entries), 2)
}

func TestEntryWithUnknownOutcomeIsAppendedOnceWhenRepeated(t *testing.T) {
	p := fake.NewPlatform()
	store := p.Store()
	l := kvstore.NewLog(store, "notes")
	_, _, err := l.Load(t.Context())
	assert.NilError(t, err)
	e := kvstore.NewEntry(0, json.RawMessage(`"a"`))
	p.SetFaults(fake.PlatformFaults{LostResponses: 1})
	// Reading the key back fails as well, so that Append reports an unknown outcome.
	get := store.Get
	store.Get = func(context.Context, string) (kvstore.KV, error) {
		return kvstore.KV{}, kvstore.ErrUnavailable
	}
	l2 := kvstore.NewLog(store, "notes")
	_, _, err = l2.Load(t.Context())
	assert.NilError(t, err)
	assert.ErrorIs(t, l2.Append(t.Context(), e), kvstore.ErrUnknownOutcome)
	store.Get = get
	assert.NilError(t, l.Append(t.Context(), e))
	_, entries, err := kvstore.NewLog(store, "notes").Load(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, len(entries), 1)
}

func TestOldOwnerCannotAppendAfterTakeover(t *testing.T) {
	store := fake.NewPlatform().Store()
	old, successor := kvstore.NewLog(store, "ledger/a/0"), kvstore.NewLog(store, "ledger/a/0")
	for _, l := range []*kvstore.Log{old, successor} {
		_, _, err := l.Load(t.Context())
		assert.NilError(t, err)
	}
	assert.NilError(t, appendText(t, successor, "takeover"))
	assert.ErrorIs(t, appendText(t, old, "late"), kvstore.ErrBehind)
}

func TestAppendNeverOverwritesEntriesNotInSnapshot(t *testing.T) {
	store := fake.NewPlatform(fake.WithRateLimits(1e6, 1e6)).Store()
	l := kvstore.NewLog(store, "notes")
	_, _, err := l.Load(t.Context())
	assert.NilError(t, err)
	var all []string
	snapshots := 0
	for i := range 200 {
		text := fmt.Sprint(i)
		for {
			err := appendText(t, l, text)
			if err == nil {
				break
			}
			assert.ErrorIs(t, err, kvstore.ErrSnapshotDue)
			data, err := json.Marshal(all)
			assert.NilError(t, err)
			assert.NilError(t, l.SaveSnapshot(t.Context(), kvstore.Snapshot{Data: data, Seq: l.Seq()}))
			snapshots++
		}
		all = append(all, text)
	}
	assert.Assert(t, snapshots > 0)
	snap, entries, err := kvstore.NewLog(store, "notes").Load(t.Context())
	assert.NilError(t, err)
	var loaded []string
	assert.NilError(t, json.Unmarshal(snap.Data, &loaded))
	for _, e := range entries {
		var text string
		assert.NilError(t, json.Unmarshal(e.Data, &text))
		loaded = append(loaded, text)
	}
	assert.DeepEqual(t, loaded, all)
}

func TestLeaseWithoutKeepAliveExpires(t *testing.T) {
	now := time.Unix(0, 0)
	store := fake.NewPlatform(fake.WithPlatformClock(func() time.Time { return now })).Store()
	lease, err := store.Grant(t.Context(), 9*time.Second)
	assert.NilError(t, err)
	_, err = store.CompareAndSwap(t.Context(), "live/a", 0, []byte("a"), lease)
	assert.NilError(t, err)
	now = now.Add(10 * time.Second)
	assert.ErrorIs(t, store.KeepAlive(t.Context(), lease), kvstore.ErrConflict)
	kv, err := store.Get(t.Context(), "live/a")
	assert.NilError(t, err)
	assert.Equal(t, kv.ModRevision, int64(0))
}

func TestWatchReportsChangesOverHTTP(t *testing.T) {
	p, store := newEtcdStore(t)
	ctx, cancel := context.WithCancel(t.Context())
	got := make(chan kvstore.Event, 4)
	go func() {
		_ = store.Watch(ctx, "notes/", 0, func(events []kvstore.Event) {
			for _, e := range events {
				got <- e
			}
		})
	}()
	rev, err := store.CompareAndSwap(t.Context(), "notes/01", 0, []byte("x"), 0)
	assert.NilError(t, err)
	e := <-got
	assert.Equal(t, string(e.KV.Value), "x")
	assert.Equal(t, e.KV.ModRevision, rev)
	cancel()
	assert.Equal(t, p.Counts().Writes, int64(1))
}

func TestValueOverOneMiBIsRejectedBeforeSending(t *testing.T) {
	p, store := newEtcdStore(t)
	_, err := store.CompareAndSwap(t.Context(), "k", 0, []byte(strings.Repeat("x", kvstore.MaxValueBytes+1)), 0)
	assert.ErrorIs(t, err, kvstore.ErrTooLarge)
	assert.Equal(t, p.Counts().Writes, int64(0))
}
