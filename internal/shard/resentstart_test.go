package shard_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against two runs of a task at once (TWICE): an owner crashes after it sent a start, and the next one, whose first listing does not
// have the run, sends it again. The start of the first owner can still be carried out by a later lifetime of the worker.
func TestResentStartLeavesStartOfCrashedOwnerPending(t *testing.T) {
	sim := newSimulationOfTask(t, longRunningStep, 11500*time.Millisecond)
	f := sim.worker(sim.orders[0].Worker)
	sim.replaceOwner()
	sim.runFor(2 * time.Second)
	assert.Equal(t, len(sim.orders), 2)
	assert.Equal(t, len(f.runs), 1)
	sim.restartBehindCut(f)
	sim.register()
	sim.runFor(40 * time.Second) // checkStart fails the test if the task runs twice
	assert.Check(t, len(sim.orders) > 2, "the task never runs again")
}
