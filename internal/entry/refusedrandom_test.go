package entry_test

import (
	"flag"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

var (
	refusalSeeds = flag.Int("refusal-seeds", 3, "number of seeds of the random test of refused owners")
	refusalFirst = flag.Uint64("refusal-first", 1, "first seed of the random test of refused owners")
)

// Guards against a task that runs twice, and against a shard that stands still, after owners were refused by workers, beside losses of
// owners and workers that are cut off: an owner that goes on after a refusal has to know when its earlier leases end.
func TestRefusedOwnersUnderRandomFaults(t *testing.T) {
	t.Parallel()
	for i := range uint64(*refusalSeeds) {
		seed := *refusalFirst + i
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newSimulatedFleet(t, seed, 2, simulatedWorkers)
				f.tasks.failAfter = func() time.Duration { return time.Duration(500+f.int(15_000)) * time.Millisecond }
				f.addLongRunning(20)
				f.startMixed(4, 0)
				time.Sleep(contactTime)
				for range 40 {
					f.refuseAtRandom()
					time.Sleep(time.Duration(f.int(1500)) * time.Millisecond)
				}
				for _, w := range f.workers {
					w.setCut(false)
				}
				f.startMixed(4, 0)
				time.Sleep(maxWorkerLease)
				f.checkTasksRun(contactTime + 2*restartGrace)
				f.kill(f.names()...)
				time.Sleep(contactTime) // background calls of the hosts end
				assert.Equal(t, strings.Join(f.tasks.violations, "\n"), "")
			})
		})
	}
}

// refuseAtRandom lets a worker refuse its owner, cuts one off or connects it again, or ends a host or starts those that are missing.
func (f *simulatedFleet) refuseAtRandom() {
	w := f.workers[fmt.Sprintf("servers/w%d-%d", f.int(2), f.int(simulatedWorkers))]
	switch f.int(8) {
	case 0, 1, 2:
		w.knowToken(w.highestToken() + int64(f.int(2000)))
	case 3:
		w.setCut(true)
	case 4, 5:
		for _, w := range f.workers {
			w.setCut(false)
		}
	case 6:
		f.startMixed(4, 0)
	default:
		if names := f.names(); len(names) > 1 {
			f.kill(names[f.int(len(names))])
		}
	}
}
