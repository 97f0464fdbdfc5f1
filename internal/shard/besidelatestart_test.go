package shard_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/laburnumridge/laburnumridge/internal/knownred"
	"github.com/laburnumridge/laburnumridge/internal/shard"
)

// Guards against two runs of a task at once on one worker (TWICE): the start of a run that has failed was repeated, and the next run is sent
// to the same worker. A later lifetime of the worker carries both late starts out; neither run has ended there.
func TestNextRunBesideLateStartDoesNotRunWithIt(t *testing.T) {
	knownred.Skip(t)
	sim := newSimulationOfTask(t, longRunningStep, 11500*time.Millisecond)
	f := sim.worker(sim.orders[0].Worker)
	sim.runFor(3 * time.Second)
	assert.Equal(t, len(sim.orders), 2)
	sim.nextStartDelay = 10 * time.Second
	f.runs[0].endsAt, f.runs[0].cause = sim.now, shard.EndFailed
	for range 500 {
		if len(sim.orders) == 3 {
			break
		}
		sim.step()
	}
	assert.Assert(t, len(sim.orders) == 3 && sim.orders[2].Worker == f.ID && sim.orders[2].Run == 2)
	sim.restartBehindCut(f)
	sim.runFor(40 * time.Second) // checkStart fails the test if both runs are there
	assert.Check(t, len(sim.orders) > 3, "the task never runs again")
}
