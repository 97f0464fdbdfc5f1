package entry_test

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/laburnumridge/laburnumridge/internal/entry"
	"github.com/laburnumridge/laburnumridge/internal/kvstore"
)

// forEachWriteOrder runs a scenario on a fleet without load, once for each order in which the events of an owner key and an epoch
// key of one revision may come.
func forEachWriteOrder(t *testing.T, shards int, scenario func(*simulatedFleet)) {
	for name, order := range map[string]func(a, b string) int{
		"epoch first": strings.Compare,
		"owner first": func(a, b string) int { return strings.Compare(b, a) },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newSimulatedFleet(t, 1, shards, simulatedWorkers)
				f.store.writeOrder = order
				scenario(f)
			})
		})
	}
}

// ownerDeletions returns when owner keys were deleted.
func (f *simulatedFleet) ownerDeletions() []time.Time {
	f.store.mu.Lock()
	defer f.store.mu.Unlock()
	var out []time.Time
	for _, e := range f.store.events {
		if e.Deleted && strings.HasPrefix(e.KV.Key, entry.OwnerPrefix) {
			out = append(out, e.at)
		}
	}
	return out
}

// waitForOwnerDeletions waits until owner keys have been deleted n times.
func (f *simulatedFleet) waitForOwnerDeletions(n int) {
	f.t.Helper()
	for range 1000 {
		if len(f.ownerDeletions()) >= n {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	f.t.Fatalf("owner keys were deleted %d times in 10 s, not %d", len(f.ownerDeletions()), n)
}

// Guards against a shard that is handed over and over to a host that does not take it. The waits have to double whether the event
// of the owner key or of the epoch key is seen first: the order of the events of one revision is not defined.
func TestWaitDoublesForHostThatTakesNoShard(t *testing.T) {
	forEachWriteOrder(t, 3, func(f *simulatedFleet) {
		f.store.put(entry.HostRecord("mute", strongHost))
		f.start("self", strongHost)
		time.Sleep(30 * time.Second)
		at := f.ownerDeletions()
		for i := range at[1:] {
			least := 3 * time.Second << i
			gap := at[i+1].Sub(at[i])
			assert.Check(f.t, gap >= least && gap < least+1500*time.Millisecond, "handover %d follows after %s", i+2, gap)
		}
		assert.Check(f.t, len(at) == 4, "%d handovers in 30 s, not at about 2, 6, 12 and 25 s: %s", len(at),
			f.ownerHistory(time.Now().Add(-30*time.Second)))
		assert.Equal(f.t, f.owners()["self"], 3)
	})
}

// Guards against a miss that is counted for a host which took the shard, and lost it to another host later.
func TestHostThatTookItsShardHasNotMissedIt(t *testing.T) {
	forEachWriteOrder(t, 1, func(f *simulatedFleet) {
		take := func(host string) {
			_, err := f.store.txn(entry.OwnershipTxn(0, host))
			assert.NilError(f.t, err)
		}
		giveUp := kvstore.Txn{Deletes: []string{entry.OwnerPrefix + "0"}}
		f.start("self", strongHost)
		time.Sleep(time.Second)
		f.store.put(entry.HostRecord("strong", 2))
		f.waitForOwnerDeletions(1)
		take("strong")
		time.Sleep(5 * time.Second)
		_, err := f.store.txn(giveUp)
		assert.NilError(f.t, err)
		lostAt := time.Now()
		f.waitForOwnerDeletions(3)
		assert.Assert(f.t, time.Since(lostAt) < 2900*time.Millisecond, "handed over again after %s", time.Since(lostAt))
	})
}
