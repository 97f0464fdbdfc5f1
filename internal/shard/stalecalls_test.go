package shard_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a long interruption of a task that lasts (LOST): a start of its run got no response a minute ago, and was repeated. When
// the worker is cut off, its run has ended once the lease is over, since that start can't be carried out any more.
func TestLostStartOfLongAgoDoesNotDelayEndOfRun(t *testing.T) {
	for name, delay := range map[string]time.Duration{"all starts answered": 0, "a start lost": 5 * time.Second} {
		t.Run(name, func(t *testing.T) {
			sim := newSimulationOfTask(t, longRunningStep, delay)
			sim.runFor(time.Minute)
			f := sim.worker(sim.orders[0].Worker)
			assert.Equal(t, len(f.runs), 1)
			before := len(sim.orders)
			f.partitioned = true
			began := sim.now
			for len(sim.orders) == before && sim.now.Sub(began) < time.Minute {
				sim.step()
			}
			const most = maxLease*102/100 + time.Second
			assert.Check(t, sim.now.Sub(began) <= most, "the task starts again %s after its worker was cut off", sim.now.Sub(began))
		})
	}
}
