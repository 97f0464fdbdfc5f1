package shard_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/laburnumridge/laburnumridge/internal/fleet"
	"github.com/laburnumridge/laburnumridge/internal/workflow"
)

// Guards against room that stays empty while many interrupted tasks wait for it. Rounds that consider all of them on all workers are
// tenths of a second apart.
func TestFreedRoomIsUsedAtOnceByInterruptedTasks(t *testing.T) {
	const workers, waitingJobs, cancelled = 160, 100, 20
	c := newFleetHarness(t, workers)
	c.stepsOnWake = true
	for i := range workers {
		c.addWholeWorkerJob(fmt.Sprintf("1%015x", i), 0, 1)
	}
	c.run(time.Second)
	assert.Equal(t, len(c.running), workers)
	for i := range waitingJobs {
		// All demands differ, so each job is considered on all workers.
		j := workflow.Job{ID: fmt.Sprintf("2%015x", i), AcceptedAt: c.now.UnixMilli(), Queue: "q", Steps: []workflow.Step{
			{Count: 2, Resources: fleet.Resources{CPUMilli: 8000, MemoryMiB: int64(10 + i)}, LongRunning: true},
		}}
		c.owner.Restore(c.now, j, workflow.Progress{Tasks: []workflow.TaskRecord{
			{Key: workflow.TaskKey{Index: 0}, Run: 1}, {Key: workflow.TaskKey{Index: 1}, Run: 1},
		}}, false)
	}
	c.run(time.Second)
	longest := time.Duration(0)
	for i := range cancelled {
		c.run(time.Duration(300+37*i) * time.Millisecond)
		starts := len(c.starts)
		c.owner.Cancel(c.now, fmt.Sprintf("1%015x", i))
		c.hasEvent = true
		for len(c.running) == workers {
			c.step()
		}
		ended := c.now
		for len(c.starts) == starts {
			c.step()
			assert.Assert(t, c.now.Sub(ended) < 10*time.Second)
		}
		longest = max(longest, c.now.Sub(ended))
	}
	t.Logf("room was used again after %s at most", longest)
	assert.Check(t, longest <= 50*time.Millisecond)
}
