package entry_test

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/laburnumridge/laburnumridge/internal/entry"
	"github.com/laburnumridge/laburnumridge/internal/kvstore"
)

// runView runs a scenario on a fleet without load, in which other hosts are records in the store.
func runView(t *testing.T, shards int, scenario func(*simulatedFleet)) {
	synctest.Test(t, func(t *testing.T) {
		f := newSimulatedFleet(t, 1, shards, simulatedWorkers)
		scenario(f)
	})
}

// takeShard makes a host that is known by its record the owner of a shard.
func (f *simulatedFleet) takeShard(shard int, host string) {
	f.t.Helper()
	_, err := f.store.txn(entry.OwnershipTxn(shard, host))
	assert.NilError(f.t, err)
}

// Guards against a host that takes several shards at once while hosts are about to register. Without other work on the host no claim is
// late by more than the variation of the store's latency, 2 ms.
func TestClaimsAreApartWhileHostsJoin(t *testing.T) {
	runView(t, 3, func(f *simulatedFleet) {
		f.callCost = 0
		f.start("self", strongHost)
		time.Sleep(2 * time.Second)
		claims := f.ownerWrites("self", time.Time{})
		assert.Equal(f.t, len(claims), 3)
		for i, at := range claims[1:] {
			gap := at.Sub(claims[i])
			assert.Check(f.t, gap >= 148*time.Millisecond && gap < 200*time.Millisecond, "%s between two claims", gap)
		}
	})
}

// Guards against a shard that is handed to a host which is about to claim another one that has lost its owner: the host would
// have two shards beside idle hosts.
func TestNoShardIsHandedOverWhileAnotherHasNoOwner(t *testing.T) {
	runView(t, 3, func(f *simulatedFleet) {
		f.store.put(entry.HostRecord("other", strongHost))
		f.takeShard(2, "other")
		f.start("self", strongHost)
		time.Sleep(4 * time.Second)
		assert.Equal(f.t, f.owners()["self"], 2)
		began := time.Now()
		for i := range 4 {
			f.store.put(entry.HostRecord(fmt.Sprintf("idle-%d", i), strongHost))
		}
		time.Sleep(1450 * time.Millisecond) // just before the idle hosts may receive a shard
		_, err := f.store.txn(kvstore.Txn{Deletes: []string{entry.OwnerPrefix + "2"}})
		assert.NilError(f.t, err)
		// The five hosts without a shard come before self in rank, 120 ms apart.
		time.Sleep(550 * time.Millisecond)
		assert.Equal(f.t, f.owners()["self"], 2, "owners: %s", f.ownerHistory(began))
		assert.Equal(f.t, len(f.ownerDeletions()), 1, "owners: %s", f.ownerHistory(began))
		f.takeShard(2, "idle-0")
		f.waitForOwnerDeletions(2) // with all owners known, self hands a shard over
	})
}

// Guards against a host that keeps all its shards since it does not act for one of them: the store does not let it load the shard, or
// a worker has fenced it. The others may be handed over, and this one still counts as the host's load. One that is fenced stays; one
// that no host can load is left to another host once, and not again within the 6 s that the next host has.
func TestInactiveShardDoesNotKeepOthersFromBeingHandedOver(t *testing.T) {
	for name, tc := range map[string]struct {
		deactivate func(*simulatedFleet)
		left       int
	}{
		"not loaded": {func(f *simulatedFleet) { f.store.unreadablePrefix = entry.JobPrefix + "2/" }, 1},
		"fenced":     {func(f *simulatedFleet) { f.workers["servers/w2-0"].token = 1 << 50 }, 0},
	} {
		t.Run(name, func(t *testing.T) {
			runView(t, 3, func(f *simulatedFleet) {
				tc.deactivate(f)
				f.start("self", strongHost)
				time.Sleep(5 * time.Second)
				assert.Equal(f.t, f.owners()["self"], 3)
				began := time.Now()
				f.start("host-1", strongHost)
				f.start("host-2", strongHost)
				time.Sleep(contactTime + restartWindow)
				history := f.ownerHistory(began)
				assert.Check(f.t, f.ownershipFault() == "", "%s; owners: %s", f.ownershipFault(), history)
				left := strings.Count(history, " 2:none")
				assert.Check(f.t, left == tc.left, "the inactive shard was left %d times; owners: %s", left, history)
				assert.Check(f.t, strings.Contains(history, " 0:none") || strings.Contains(history, " 1:none"), "owners: %s", history)
			})
		})
	}
}

// Guards against an owner that hands a further shard to a host which has just taken one, before the load that comes with it can
// be seen and while the host may be taking others.
func TestHostThatTookShardReceivesNextAfterStableTime(t *testing.T) {
	runView(t, 4, func(f *simulatedFleet) {
		f.start("self", strongHost)
		time.Sleep(4 * time.Second)
		began := time.Now()
		f.store.put(entry.HostRecord("receiver", strongHost))
		f.waitForOwnerDeletions(1)
		for n := range 4 {
			if kvs, _ := f.store.readRange(fmt.Sprint(entry.OwnerPrefix, n)); len(kvs) == 0 {
				f.takeShard(n, "receiver")
			}
		}
		took := time.Now()
		f.waitForOwnerDeletions(2)
		gap := f.ownerDeletions()[1].Sub(took)
		assert.Check(f.t, gap >= 1500*time.Millisecond && gap < 2*time.Second, "next shard after %s; owners: %s", gap, f.ownerHistory(began))
	})
}

// Guards against owners that receive no shard since each reading of all keys, after the store dropped its history, counts as a change
// of their shards.
func TestReadingAllKeysAgainIsNoChangeOfOwner(t *testing.T) {
	runView(t, 4, func(f *simulatedFleet) {
		f.store.put(entry.HostRecord("receiver", strongHost))
		f.takeShard(3, "receiver")
		f.start("self", strongHost)
		began := time.Now()
		for range 8 {
			time.Sleep(700 * time.Millisecond)
			f.store.compact()
		}
		assert.Check(f.t, len(f.ownerDeletions()) > 0, "no handover in %s", time.Since(began))
	})
}

// Guards against hosts and owners that stay known although their keys were deleted in the gap before all keys were read again.
func TestReadingAllKeysAgainFindsDeletedOnes(t *testing.T) {
	runView(t, 3, func(f *simulatedFleet) {
		f.store.put(entry.HostRecord("other", strongHost))
		f.takeShard(2, "other")
		f.start("self", strongHost)
		time.Sleep(4 * time.Second)
		f.store.put(entry.HostRecord("idle", strongHost))
		time.Sleep(time.Second)
		f.store.compact()
		idle, _ := entry.HostRecord("idle", strongHost)
		other, _ := entry.HostRecord("other", strongHost)
		_, err := f.store.txn(kvstore.Txn{Deletes: []string{idle, other, entry.OwnerPrefix + "2"}})
		assert.NilError(f.t, err)
		time.Sleep(4 * time.Second)
		assert.Check(f.t, f.owners()["self"] == 3, "owners: %s", f.ownerHistory(time.Now().Add(-5*time.Second)))
		assert.Check(f.t, len(f.ownerDeletions()) == 1, "owners: %s", f.ownerHistory(time.Now().Add(-5*time.Second)))
	})
}
