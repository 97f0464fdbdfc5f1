package entry_test

import (
	"context"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/laburnumridge/laburnumridge/internal/entry"
	"github.com/laburnumridge/laburnumridge/internal/kvstore"
	"github.com/laburnumridge/laburnumridge/internal/shard"
)

// Guards against a next owner that relies on what an owner in an undefined state says: it panicked, the answer to the deletion of its owner
// key was lost, and another host took the shard before the second attempt.
func TestOwnerThatPanickedTellsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newSimulatedFleet(t, 1, 1, simulatedWorkers)
		f.addLongRunning(20)
		var panicsLeft atomic.Int64
		f.changePlatform = func(p *entry.Platform) {
			poll := p.Poll
			p.Poll = func(ctx context.Context, l shard.Poll) (shard.Listing, shard.Outcome) {
				if panicsLeft.Add(-1) >= 0 {
					panic("unexpected state")
				}
				return poll(ctx, l)
			}
		}
		f.startMixed(3, 0)
		time.Sleep(contactTime + time.Second)
		var isLost atomic.Bool
		var told atomic.Int64
		f.store.setTxnFault(func(_ string, t kvstore.Txn) txnFault {
			for _, p := range t.Puts {
				if strings.Contains(p.Key, "handover") {
					told.Add(1)
				}
			}
			if deletesOwner(t) && !isLost.Swap(true) {
				return txnFault{delay: time.Millisecond}
			}
			return txnFault{}
		})
		panicsLeft.Store(1)
		time.Sleep(5 * time.Second)
		assert.Check(t, isLost.Load())
		assert.Check(t, told.Load() == 0, "an owner that panicked wrote %d handover records", told.Load())
		f.kill(f.names()...)
		time.Sleep(contactTime)
	})
}
