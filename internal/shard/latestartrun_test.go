package shard_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against two runs of a task at once (TWICE) after a worker has restarted while it is cut off: the start that got no response is
// carried out by the later lifetime. TestTaskWaitsForStartThatLaterLifetimeMayCarryOut passes without endBound, since the clock of its later
// lifetime is beyond the lease end that the start names, so that the worker refuses it as late.
func TestTaskWaitsForRunThatLaterLifetimeBegins(t *testing.T) {
	for name, isRestartKnown := range map[string]bool{"restart unknown": false, "restart known": true} {
		t.Run(name, func(t *testing.T) {
			sim := newSimulationOfTask(t, longRunningStep, 11500*time.Millisecond)
			f := sim.worker(sim.orders[0].Worker)
			f.partitioned = true
			sim.runFor(time.Second)
			sim.restartBehindCut(f)
			if isRestartKnown {
				sim.register()
			}
			sim.runFor(10500 * time.Millisecond)
			assert.Assert(t, len(f.runs) == 1, "the later lifetime does not begin the run")
			sim.runFor(30 * time.Second) // checkStart fails the test if the task runs twice
			assert.Check(t, len(sim.orders) > 1, "the task never runs again")
		})
	}
}
