package shard_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/laburnumridge/laburnumridge/internal/knownred"
)

// Guards against a long interruption of a task that lasts (LOST, 9 s after its last run in calm): the start of its run was repeated, and its
// worker drains a moment later. Nothing fails after the one lost response, and other workers have room.
func TestTaskThatLastsLeavesDrainingWorkerSoonAfterLostStart(t *testing.T) {
	knownred.Skip(t)
	sim := newSimulationOfTask(t, longRunningStep, 11500*time.Millisecond)
	f := sim.worker(sim.orders[0].Worker)
	for len(f.runs) == 0 {
		sim.step()
	}
	sim.runFor(500 * time.Millisecond)
	f.Draining, f.Remaining = true, 20*time.Second
	sim.register()
	sim.waitForEnd(sim.orders[0].Job, 1)
	began, before := sim.now, len(sim.orders)
	for len(sim.orders) == before && sim.now.Sub(began) < time.Minute {
		sim.step()
	}
	assert.Check(t, sim.now.Sub(began) <= 9*time.Second, "the task starts again %s after its run was stopped", sim.now.Sub(began))
}
