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
	"github.com/laburnumridge/laburnumridge/internal/shard"
)

// Guards against hosts that take a shard from each other many times a second because its owner panics each time: the writes and reads take
// the time of the store and of the hosts from other shards. Once the cause is gone, the shard must be served.
func TestShardWhoseOwnersPanicInTurnIsTakenSeldom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newSimulatedFleet(t, 1, 2, simulatedWorkers)
		f.addLongRunning(20)
		var isFaulty atomic.Bool
		f.changePlatform = func(p *entry.Platform) {
			poll := p.Poll
			p.Poll = func(ctx context.Context, l shard.Poll) (shard.Listing, shard.Outcome) {
				if isFaulty.Load() && strings.HasPrefix(l.Worker, "servers/w0-") {
					panic("unexpected state")
				}
				return poll(ctx, l)
			}
		}
		f.startMixed(3, 0)
		time.Sleep(contactTime)
		before, began := f.ownerRevisions(), time.Now()
		isFaulty.Store(true)
		time.Sleep(time.Minute)
		at := f.ownerDeletions()
		assert.Check(t, len(at) >= 4 && len(at) <= 8, "%d deletions in a minute: %s", len(at), f.ownerHistory(began))
		for i := 2; i < len(at); i++ {
			least, gap := time.Second<<min(i-2, 4), at[i].Sub(at[i-1])
			assert.Check(t, gap >= least, "panic %d is %s after the one before", i+1, gap)
		}
		assert.Check(t, f.ownerRevisions()[1] == before[1], "owners: %s", f.ownerHistory(began))
		isFaulty.Store(false)
		time.Sleep(16*time.Second + contactTime)
		assert.Equal(t, len(f.tasks.idle()), 0, "tasks with nothing running; owners: %s", f.ownerHistory(began))
		f.kill(f.names()...)
		time.Sleep(contactTime) // background calls of the hosts end
	})
}

// Guards against a delay between owners that grows although each of them serves the shard for seconds before it panics: the leases of all runs would
// end in it, beside hosts that are well.
func TestOwnersThatServeBetweenPanicsAreReplacedSoon(t *testing.T) {
	const served = 5 * time.Second
	synctest.Test(t, func(t *testing.T) {
		f := newSimulatedFleet(t, 1, 2, simulatedWorkers)
		f.addLongRunning(20)
		var isFaulty atomic.Bool
		var panicsAt atomic.Int64
		f.changePlatform = func(p *entry.Platform) {
			poll := p.Poll
			p.Poll = func(ctx context.Context, l shard.Poll) (shard.Listing, shard.Outcome) {
				due := panicsAt.Load()
				if now := time.Now(); isFaulty.Load() && strings.HasPrefix(l.Worker, "servers/w0-") && now.UnixNano() >= due &&
					panicsAt.CompareAndSwap(due, now.Add(served).UnixNano()) {
					panic("unexpected state")
				}
				return poll(ctx, l)
			}
		}
		f.startMixed(3, 0)
		time.Sleep(contactTime)
		f.tasks.calm()
		began := time.Now()
		isFaulty.Store(true)
		time.Sleep(time.Minute)
		at := f.ownerDeletions()
		assert.Check(t, len(at) >= 10, "%d deletions in a minute: %s", len(at), f.ownerHistory(began))
		f.checkIdle(restartGrace+restartWindow, began)
		f.kill(f.names()...)
		time.Sleep(contactTime) // background calls of the hosts end
	})
}
