package entry_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/laburnumridge/laburnumridge/internal/entry"
	"github.com/laburnumridge/laburnumridge/internal/kvstore"
)

// lateClaim is how much later than usual hosts see that a shard has no owner, as those that lack processor time do.
const lateClaim = 200 * time.Millisecond

// Guards against a handover that is lost because the store ends the lease of the draining owner before it carries out the deletion of
// the owner key: the next owner took the leases of workers to begin with its takeover, and the tasks of a worker that had left waited
// for a whole lease more.
func TestHandoverIsWrittenAfterLeaseOfDrainingOwnerHasEnded(t *testing.T) {
	for name, c := range map[string]struct {
		drainDelay time.Duration
		isLost     bool
		// after is how long after the end of the owner's lease the store carries its transactions out.
		after time.Duration
	}{
		"early": {}, "late": {drainDelay: 400 * time.Millisecond}, "first attempt lost": {isLost: true},
		"shard taken": {after: 2 * lateClaim},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newSimulatedFleet(t, 1, 1, simulatedWorkers)
				f.maxLease = seriesMaxLease
				f.addLongRunning(20)
				f.startMixed(4, 0)
				time.Sleep(12 * time.Second) // leases of an owner before the first would be over
				assert.Equal(t, len(f.tasks.idle()), 0, "not all tasks have started")
				f.tasks.calm()
				first, began := f.owner(), time.Now()
				f.leaveSoon()
				time.Sleep(1400 * time.Millisecond)
				f.store.setWatchDelay(func(string) time.Duration { return lateClaim })
				f.silenceUntilLeaseEnds(first, c.isLost, c.after)
				time.Sleep(c.drainDelay)
				ctx, cancel := context.WithTimeout(t.Context(), drainTimeout)
				defer cancel()
				first.daemon.DrainShards(ctx)
				time.Sleep(15*time.Second - time.Since(began))
				f.kill(first.name)
				assert.Assert(t, f.owner() != nil && f.owner() != first, "owners: %s", f.ownerHistory(began))
				longest, task := f.tasks.longestCounted()
				assert.Check(t, longest <= restartWindow, "%s had nothing running for %s; owners: %s", task, longest, f.ownerHistory(began))
			})
		})
	}
}

// silenceUntilLeaseEnds leaves renewals of a host without an answer from now on, and its transactions until a time after its owner key is
// gone. If isLost is set, its first deletion of the key is not carried out at all.
func (f *simulatedFleet) silenceUntilLeaseEnds(silent *simulatedHost, isLost bool, after time.Duration) {
	f.store.setRenewalFault(func(ctx context.Context, h *simulatedHost, lease int64) error {
		if h == silent {
			<-ctx.Done()
			return kvstore.ErrUnavailable
		}
		return h.callStore(ctx, kvstore.ErrUnavailable, func() error { return f.store.keepAlive(lease) })
	})
	var lost atomic.Bool
	f.store.setTxnFault(func(host string, t kvstore.Txn) txnFault {
		if isLost && host == silent.name && deletesOwner(t) && !lost.Swap(true) {
			return txnFault{delay: time.Hour}
		}
		for host == silent.name {
			if name, _ := entry.RecordedHost(f.store.get(entry.OwnerKey()).Value); name != silent.name {
				time.Sleep(after)
				break
			}
			time.Sleep(10 * time.Millisecond)
		}
		return txnFault{}
	})
}
