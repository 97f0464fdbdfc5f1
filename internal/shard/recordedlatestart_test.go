package shard_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a wait that begins anew with each handover (LOST): the start without a response was sent before the first of them, so
// later owners don't have to wait longer for it.
func TestWaitForLostStartEndsDespiteHandovers(t *testing.T) {
	// The time for which the start may be carried out late, the longest lease, 2% more on a slow clock, and the margin.
	const most = 12*time.Second + maxLease*102/100 + 2*time.Second
	for _, handovers := range []int{0, 1, 8} {
		sim := newSimulationOfTask(t, longRunningStep, 11500*time.Millisecond)
		sim.worker(sim.orders[0].Worker).partitioned = true
		began := sim.now
		for range handovers {
			sim.runFor(1500 * time.Millisecond)
			sim.owner.BeginHandover()
			sim.replaceOwner(sim.owner.Handover(sim.now))
		}
		for len(sim.orders) == 1 && sim.now.Sub(began) < time.Minute {
			sim.step()
		}
		assert.Check(t, sim.now.Sub(began) <= most, "after %d handovers the task runs again after %s", handovers, sim.now.Sub(began))
	}
}

// Guards against waits for a start of long ago (LOST): it got no response, and was repeated. Its job's record is not written again when the
// start can't be carried out any more, and the next owner takes it for a start that was sent just before the takeover.
func TestLostStartOfLongAgoDoesNotDelayEndAfterHandover(t *testing.T) {
	for _, isLost := range []bool{false, true} {
		delay := time.Duration(0)
		if isLost {
			delay = 5 * time.Second
		}
		sim := newSimulationOfTask(t, longRunningStep, delay)
		sim.runFor(time.Minute)
		f := sim.worker(sim.orders[0].Worker)
		before := len(sim.orders)
		sim.owner.BeginHandover()
		sim.replaceOwner(sim.owner.Handover(sim.now))
		sim.runFor(2 * time.Second)
		assert.Equal(t, len(f.runs), 1)
		f.partitioned = true
		began := sim.now
		for len(sim.orders) == before && sim.now.Sub(began) < time.Minute {
			sim.step()
		}
		const most = maxLease*102/100 + time.Second
		assert.Check(t, sim.now.Sub(began) <= most, "start lost: %t; the task starts again %s after its worker was cut off", isLost, sim.now.Sub(began))
	}
}
