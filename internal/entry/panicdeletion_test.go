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

// Guards against a shard that nobody serves for good because the store did not carry out the deletion of its key in time after a panic of
// the owner: the host has no runner for it and goes on renewing the lease of the key.
func TestShardIsServedAfterPanicWhoseOwnerKeyIsNotDeletedInTime(t *testing.T) {
	for name, fault := range map[string]txnFault{"refused": {isRefused: true}, "no answer": {delay: time.Hour}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newSimulatedFleet(t, 1, 1, simulatedWorkers)
				f.tasks.failAfter = func() time.Duration { return time.Duration(500+f.int(15_000)) * time.Millisecond }
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
				var isFaulty atomic.Bool
				f.store.setTxnFault(func(_ string, t kvstore.Txn) txnFault {
					if isFaulty.Load() && deletesOwner(t) {
						return fault
					}
					return txnFault{}
				})
				isFaulty.Store(true)
				panicsLeft.Store(1)
				time.Sleep(3 * time.Second)
				isFaulty.Store(false)
				f.checkTasksRun(30 * time.Second)
				f.kill(f.names()...)
				time.Sleep(contactTime) // background calls of the hosts end
				assert.Equal(t, strings.Join(f.tasks.violations, "\n"), "")
			})
		})
	}
}
