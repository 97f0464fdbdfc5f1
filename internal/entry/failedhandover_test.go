package entry_test

import (
	"context"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/laburnumridge/laburnumridge/internal/entry"
	"github.com/laburnumridge/laburnumridge/internal/kvstore"
)

// maxUnservedTime is how long a task may have nothing running around a handover that fails: 2.5 s of attempts, a call to the store,
// the start of the runner, and what the task would wait without a handover.
const maxUnservedTime = 4 * time.Second

// deletesOwner reports whether a transaction gives up a shard.
func deletesOwner(t kvstore.Txn) bool {
	return slices.ContainsFunc(t.Deletes, func(key string) bool { return strings.HasPrefix(key, entry.OwnerPrefix) })
}

// ownerWrites returns when a host wrote owner keys since a time.
func (f *simulatedFleet) ownerWrites(host string, since time.Time) []time.Time {
	f.store.mu.Lock()
	defer f.store.mu.Unlock()
	var out []time.Time
	for _, e := range f.store.events {
		if e.Deleted || e.at.Before(since) || !strings.HasPrefix(e.KV.Key, entry.OwnerPrefix) {
			continue
		}
		if name, _ := entry.RecordedHost(e.KV.Value); name == host {
			out = append(out, e.at)
		}
	}
	return out
}

// runFaultyFleet runs a scenario on a fleet of three shards with long-running tasks that fail, and a host that owns all shards.
// After setFaulty(true), the transactions of this host for which isAffected returns true have a fault.
func runFaultyFleet(t *testing.T, fault txnFault, isAffected func(kvstore.Txn) bool,
	scenario func(f *simulatedFleet, setFaulty func(bool)),
) {
	synctest.Test(t, func(t *testing.T) {
		f := newSimulatedFleet(t, 1, 3, simulatedWorkers)
		f.tasks.failAfter = func() time.Duration { return time.Duration(500+f.int(15_000)) * time.Millisecond }
		f.addLongRunning(20)
		var isFaulty atomic.Bool
		f.store.txnFault = func(host string, t kvstore.Txn) txnFault {
			if isFaulty.Load() && host == "one" && isAffected(t) {
				return fault
			}
			return txnFault{}
		}
		f.start("one", strongHost)
		time.Sleep(5 * time.Second)
		scenario(f, isFaulty.Store)
		f.kill(f.names()...)
		time.Sleep(contactTime) // background calls of the hosts end
		assert.Equal(t, strings.Join(f.tasks.violations, "\n"), "")
	})
}

// checkIdle checks that no task has had nothing running for longer than maxIdle.
func (f *simulatedFleet) checkIdle(maxIdle time.Duration, began time.Time) {
	f.t.Helper()
	longest, task := f.tasks.longestCounted()
	assert.Check(f.t, longest+restartGrace <= maxIdle, "%s had nothing running for %s; owners: %s", task, longest+restartGrace,
		f.ownerHistory(began))
}

// Guards against a shard whose owner does not act because it stopped its work for a handover that the store does not carry out,
// while it goes on renewing the lease: all tasks of the shard end with the leases of the workers, and are not started again.
// Guards also against a handover that is tried again at once, and against a deletion that is carried out after the owner has
// taken the shard back.
func TestShardIsServedWhileTheStoreDoesNotHandItOver(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		fault     txnFault
		takeBacks int
	}{
		"refused":                 {txnFault{isRefused: true}, 4},
		"no answer":               {txnFault{delay: time.Hour}, 4},
		"carried out after 1.2 s": {txnFault{delay: 1200 * time.Millisecond}, 0},
		"carried out after 3 s":   {txnFault{delay: 3 * time.Second}, 4},
		"carried out after 5 s":   {txnFault{delay: 5 * time.Second}, 4},
	} {
		t.Run(name, func(t *testing.T) {
			runFaultyFleet(t, c.fault, deletesOwner, func(f *simulatedFleet, setFaulty func(bool)) {
				setFaulty(true)
				f.start("two", strongHost)
				begin := time.Now()
				f.tasks.calm()
				time.Sleep(40 * time.Second)
				f.checkIdle(maxUnservedTime, begin)
				at := f.ownerWrites("one", begin)
				assert.Check(f.t, len(at) == c.takeBacks, "%d shards were taken back: %s", len(at), f.ownerHistory(begin))
				for i := 1; i < len(at); i++ {
					least, gap := 2*time.Second+3*time.Second<<(i-1), at[i].Sub(at[i-1])
					assert.Check(f.t, gap >= least, "handover %d fails %s after the one before", i+1, gap)
				}
				setFaulty(false)
				time.Sleep(30 * time.Second)
				assert.Check(f.t, f.ownershipFault() == "", "%s; owners: %s", f.ownershipFault(), f.ownerHistory(begin))
			})
		})
	}
}

// Guards against a shard that nobody serves because its owner stops trying to give it up once it does not rely on its lease any more,
// although the lease goes on: the store has renewed it, or the host's next renewal succeeds.
func TestShardIsServedAfterAnswersToItsOwnerWereLate(t *testing.T) {
	for _, silence := range []time.Duration{2 * time.Second, 5 * time.Second} {
		t.Run(silence.String(), func(t *testing.T) {
			runFaultyFleet(t, txnFault{delay: time.Hour}, deletesOwner, func(f *simulatedFleet, setFaulty func(bool)) {
				var isSilent atomic.Bool
				f.store.setRenewalFault(func(ctx context.Context, h *simulatedHost, lease int64) error {
					err := h.callStore(ctx, kvstore.ErrUnavailable, func() error { return f.store.keepAlive(lease) })
					if h.name == "one" && isSilent.Load() {
						<-ctx.Done()
						return kvstore.ErrUnavailable
					}
					return err
				})
				f.start("two", strongHost)
				begin := time.Now()
				time.Sleep(1600 * time.Millisecond) // the first handover is under way
				setFaulty(true)
				isSilent.Store(true)
				time.Sleep(silence)
				isSilent.Store(false)
				setFaulty(false)
				f.tasks.calm()
				time.Sleep(20 * time.Second)
				f.checkIdle(restartGrace+restartWindow, begin)
				assert.Check(f.t, f.ownershipFault() == "", "%s; owners: %s", f.ownershipFault(), f.ownerHistory(begin))
			})
		})
	}
}
