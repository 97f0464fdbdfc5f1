package shard_test

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/laburnumridge/laburnumridge/internal/fleet"
	"github.com/laburnumridge/laburnumridge/internal/shard"
	"github.com/laburnumridge/laburnumridge/internal/workflow"
)

// addWholeWorkerJob adds a job that was accepted age ago, with long-running tasks that take a whole worker each.
func (c *fleetHarness) addWholeWorkerJob(id string, age time.Duration, tasks int) {
	c.owner.Add(c.now, workflow.Job{ID: id, AcceptedAt: c.now.Add(-age).UnixMilli(), Queue: "q", Steps: []workflow.Step{
		{Count: tasks, Resources: fleet.Resources{CPUMilli: 8000, MemoryMiB: 10}, LongRunning: true},
	}})
}

// Guards against a failed long-running task that loses its place in a full shard to a task that never ran, and then waits until
// another task ends.
func TestFailedLongRunningTaskKeepsItsPlaceInFullShard(t *testing.T) {
	const running, waiting = "0000000000000001", "0000000000000002"
	c := newFleetHarness(t, 1)
	fails := false
	c.endCause = func(s shard.Start) shard.EndCause {
		if fails && s.Job == running {
			fails = false
			return shard.EndFailed
		}
		return ""
	}
	c.addWholeWorkerJob(running, 0, 1)
	c.run(time.Second)
	c.addWholeWorkerJob(waiting, time.Second, 1)
	c.run(time.Second)
	assert.Equal(t, len(c.workersOf(running)), 1)
	for range 2 { // a third failure in a row quarantines the worker
		fails = true
		c.run(time.Second)
		assert.Equal(t, fails, false)
		assert.Equal(t, len(c.workersOf(running)), 1, "the failed task runs again")
		assert.Equal(t, len(c.workersOf(waiting)), 0)
	}
}

// Guards against a long-running task that has to leave its worker and then waits behind tasks that never ran.
func TestInterruptedLongRunningTaskComesBeforeFirstStarts(t *testing.T) {
	const interrupted, ended, waiting = "0000000000000001", "0000000000000002", "0000000000000003"
	c := newFleetHarness(t, 2)
	c.addWholeWorkerJob(interrupted, 0, 1)
	c.addWholeWorkerJob(ended, 0, 1)
	c.run(time.Second)
	c.addWholeWorkerJob(waiting, 10*time.Second, 1)
	for worker := range c.workersOf(interrupted) {
		c.worker(worker).Draining = true
		c.register()
	}
	c.run(2 * time.Second)
	assert.Equal(t, len(c.workersOf(interrupted)), 0)
	c.owner.Cancel(c.now, ended)
	c.run(time.Second)
	assert.Equal(t, len(c.workersOf(interrupted)), 1, "the interrupted task runs again")
	assert.Equal(t, len(c.workersOf(waiting)), 0)
}

// Guards against a failed long-running task that loses its place to a waiting task of its own step, and against one that is passed
// over because another task with the same requirements does not fit.
func TestFailedLongRunningTaskKeepsItsPlaceWithinStep(t *testing.T) {
	const job = "0000000000000001"
	c := newFleetHarness(t, 3)
	failing := ""
	c.endCause = func(s shard.Start) shard.EndCause {
		if c.name(s) == failing {
			failing = ""
			return shard.EndFailed
		}
		return ""
	}
	c.addWholeWorkerJob(job, 0, 4)
	c.run(time.Second)
	assert.Equal(t, len(c.running), 3)
	c.worker(c.running[0].Worker).Draining = true
	c.register()
	c.run(time.Second)
	assert.Equal(t, len(c.running), 2)
	for _, s := range slices.Clone(c.running) {
		failing = c.name(s)
		c.run(time.Second)
		assert.Assert(t, slices.ContainsFunc(c.running, func(r shard.Start) bool { return r.Key == s.Key }), "task %s runs again", s.Key)
	}
}
