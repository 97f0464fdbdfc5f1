package shard_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/laburnumridge/laburnumridge/internal/knownred"

	"github.com/laburnumridge/laburnumridge/internal/shard"
)

// Guards against two runs of a task at once (TWICE): as in TestTaskWaitsForLeaseOfLateStartOfStoppedRun, but the drained worker has left the
// registry, and its later lifetime is cut off from it. An owner forgets a worker that is no longer registered.
func TestTaskWaitsForLeaseOfLateStartOnWorkerThatLeft(t *testing.T) {
	knownred.Skip(t)
	sim := newSimulationOfTask(t, longRunningStep, 11500*time.Millisecond)
	f := sim.worker(sim.orders[0].Worker)
	sim.runFor(3 * time.Second)
	assert.Equal(t, len(sim.orders), 2)
	f.Draining, f.Remaining = true, 20*time.Second
	sim.register()
	sim.waitForEnd(sim.orders[0].Job, 1)
	sim.restartBehindCut(f)
	var left []shard.Worker
	for _, other := range sim.workers {
		if other != f {
			left = append(left, other.Worker)
		}
	}
	for range 40 {
		sim.owner.SetWorkers(sim.now, left)
		sim.runFor(time.Second) // checkStart fails the test if the task runs twice
	}
	assert.Check(t, len(sim.orders) > 2, "the task never runs again")
}
