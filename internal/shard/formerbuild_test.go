package shard_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/laburnumridge/laburnumridge/internal/workflow"
)

// Guards against two runs of a task at once (TWICE) during an upgrade: an owner of a build that does not name starts without a response hands
// the shard over, and a later lifetime of the worker carries such a start out.
func TestStartsOfFormerBuildMayBeCarriedOutAfterHandover(t *testing.T) {
	sim := newSimulationOfTask(t, longRunningStep, 11500*time.Millisecond)
	f := sim.worker(sim.orders[0].Worker)
	sim.runFor(2 * time.Second)
	assert.Equal(t, len(sim.orders), 2)
	sim.owner.BeginHandover()
	h := sim.owner.Handover(sim.now)
	for _, progress := range []map[string]workflow.Progress{h.Progress, sim.storedProgress} {
		for id, p := range progress {
			p.LateStarts = nil
			progress[id] = p
		}
	}
	sim.replaceOwner(h)
	sim.runFor(time.Second)
	sim.restartBehindCut(f)
	sim.register()
	sim.runFor(40 * time.Second) // checkStart fails the test if the task runs twice
	assert.Check(t, len(sim.orders) > 2, "the task never runs again")
}
