package entry_test

import (
	"context"
	"fmt"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/laburnumridge/laburnumridge/internal/entry"
	"github.com/laburnumridge/laburnumridge/internal/shard"
)

// Guards against an owner that is paused between the check of its lease and an order, whose lease runs out meanwhile, and whose order
// then starts a task a second time or stops the run of the next owner.
func TestOrderPausedAfterItsPermissionDoesNoHarm(t *testing.T) {
	t.Parallel()
	for _, kind := range []string{"start", "stop", "poll"} {
		for _, pause := range []time.Duration{2500 * time.Millisecond, 5 * time.Second, 9 * time.Second} {
			t.Run(fmt.Sprintf("%s paused for %s", kind, pause), func(t *testing.T) {
				runFleet(t, 1, 1, func(f *simulatedFleet) {
					var left, refused, executed atomic.Int64
					wait := func(k string) bool {
						if k != kind || left.Add(-1) < 0 {
							return false
						}
						time.Sleep(pause)
						return true
					}
					count := func(o shard.Outcome) {
						if o == shard.OutcomeDone {
							executed.Add(1)
						} else {
							refused.Add(1)
						}
					}
					f.changePlatform = func(p *entry.Platform) { f.pauseOrders(p, wait, count) }
					f.start("one", strongHost)
					time.Sleep(2 * time.Second)
					f.changePlatform = nil
					f.start("two", strongHost)
					time.Sleep(5 * time.Second)
					assert.Assert(t, f.owners()["one"] == 1)
					left.Store(8)
					if kind == "stop" {
						f.store.put(entry.JobPrefix+fmt.Sprintf("0/f%015d/cancel", 0), nil)
					}
					for i := 0; i < 100 && left.Load() == 8; i++ {
						time.Sleep(10 * time.Millisecond)
					}
					f.hosts["one"].isCut.Store(true)
					time.Sleep(pause + time.Second)
					f.hosts["one"].isCut.Store(false)
					time.Sleep(contactTime)
					assert.Check(t, f.owners()["two"] == 1, "owners: %v", f.owners())
					assert.Check(t, refused.Load()+executed.Load() > 0, "no order was paused")
					t.Logf("of the paused orders %d were refused and %d executed", refused.Load(), executed.Load())
					assert.Equal(t, strings.Join(f.tasks.violations, "\n"), "")
				})
			})
		}
	}
}

// pauseOrders lets orders to workers wait after the permission for them was checked. Like a process that is paused, they do not notice
// that their time has run out.
func (f *simulatedFleet) pauseOrders(p *entry.Platform, wait func(kind string) bool, count func(shard.Outcome)) {
	start, stop, poll := p.Start, p.Stop, p.Poll
	p.Start = func(ctx context.Context, s shard.Start) shard.Reply {
		if !wait("start") {
			return start(ctx, s)
		}
		reply := f.workers[s.Worker].start(ctx, s)
		count(reply.Outcome)
		return reply
	}
	p.Stop = func(ctx context.Context, s shard.Stop) shard.Reply {
		if !wait("stop") {
			return stop(ctx, s)
		}
		reply := f.workers[s.Worker].stop(ctx, s)
		count(reply.Outcome)
		return reply
	}
	p.Poll = func(ctx context.Context, l shard.Poll) (shard.Listing, shard.Outcome) {
		if !wait("poll") {
			return poll(ctx, l)
		}
		list, outcome := f.workers[l.Worker].poll(context.WithoutCancel(ctx), l)
		count(outcome)
		return list, outcome
	}
}
