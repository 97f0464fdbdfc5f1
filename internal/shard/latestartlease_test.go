package shard_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// restartBehindCut cuts a worker off and restarts it. Its clock begins anew at a time before those that calls for its earlier lifetime name.
func (sim *simulation) restartBehindCut(f *fakeWorker) {
	f.partitioned = true
	former := sim.clock(f)
	sim.restart(f)
	for sim.clock(f) > former-20_000 {
		sim.step()
		sim.restart(f)
	}
}

// waitForEnd runs the simulation until the only run of a job is no longer on record as open.
func (sim *simulation) waitForEnd(job string, run int) {
	for range 500 {
		tasks := sim.storedProgress[job].Tasks
		if len(tasks) == 0 || len(tasks[0].Attempts) == 0 || tasks[0].Attempts[0].Run > run {
			return
		}
		sim.step()
	}
	sim.t.Fatal("the run does not end")
}

// Guards against two runs of a task at once (TWICE): a run whose start was repeated is stopped because its worker drains, and the first
// start is carried out by a later lifetime of the worker, which is cut off. That run lasts until its lease is over, not only until the
// start can't be carried out any more.
func TestTaskWaitsForLeaseOfLateStartOfStoppedRun(t *testing.T) {
	sim := newSimulationOfTask(t, longRunningStep, 11500*time.Millisecond)
	f := sim.worker(sim.orders[0].Worker)
	sim.runFor(3 * time.Second)
	assert.Equal(t, len(sim.orders), 2)
	f.Draining, f.Remaining = true, 20*time.Second
	sim.register()
	sim.waitForEnd(sim.orders[0].Job, 1)
	sim.restartBehindCut(f)
	sim.runFor(40 * time.Second) // checkStart fails the test if the task runs twice
	assert.Check(t, len(sim.orders) > 2, "the task never runs again")
}
