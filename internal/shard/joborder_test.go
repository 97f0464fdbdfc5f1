package shard_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/laburnumridge/laburnumridge/internal/fleet"
	"github.com/laburnumridge/laburnumridge/internal/shard"
	"github.com/laburnumridge/laburnumridge/internal/workflow"
)

// Guards against a failed long-running task that has to wait behind every new batch task of a full shard.
func TestFailedLongRunningTaskRestartsBeforeBatchTasks(t *testing.T) {
	c := newFleetHarness(t, 1)
	const job = "0000000000000001"
	step := workflow.Step{Count: 1, Resources: fleet.Resources{CPUMilli: 8000, MemoryMiB: 10}, Estimate: 100 * time.Millisecond}
	longRunning := step
	longRunning.LongRunning = true
	failed := false
	c.endCause = func(s shard.Start) shard.EndCause {
		switch {
		case s.Job == job && !failed && c.age(s) > 20*time.Second:
			failed = true
			return shard.EndFailed
		case s.Job != job && c.age(s) > 500*time.Millisecond:
			return shard.EndDone
		}
		return ""
	}
	c.owner.Add(c.now, workflow.Job{ID: job, AcceptedAt: c.now.UnixMilli(), Queue: "q", Steps: []workflow.Step{longRunning}})
	for i := range 120 {
		c.run(250 * time.Millisecond)
		c.owner.Add(c.now, workflow.Job{ID: fmt.Sprintf("00000000000001%02x", i), AcceptedAt: c.now.UnixMilli(), Queue: "q", Steps: []workflow.Step{step}})
	}
	assert.Assert(t, failed)
	assert.Equal(t, len(c.workersOf(job)), 1, "the long-running task runs again")
}

// Guards against a large long-running task that never fits because small batch tasks take all CPU as soon as it becomes
// free.
func TestLargeTaskIsPlacedAmongSmallBatchTasks(t *testing.T) {
	c := newFleetHarness(t, 2)
	const job = "0000000000000001"
	small := workflow.Step{Count: 4, Resources: fleet.Resources{CPUMilli: 1000, MemoryMiB: 10}, Estimate: 100 * time.Millisecond}
	large := workflow.Step{Count: 1, Resources: fleet.Resources{CPUMilli: 6000, MemoryMiB: 10}, LongRunning: true}
	c.submitUnderLoad(job, "q", large, small)
	assert.Equal(t, len(c.workersOf(job)), 1, "the large task runs")
}

// Guards against a long-running task that never fits because best-effort tasks take all memory as soon as it becomes
// free.
func TestLargeTaskIsPlacedAmongBestEffortTasks(t *testing.T) {
	c := newFleetHarness(t, 2)
	const job = "0000000000000001"
	bestEffort := workflow.Step{Count: 4, Resources: fleet.Resources{CPUMilli: 100, MemoryMiB: 1000}, BestEffort: true, Image: "f"}
	large := workflow.Step{Count: 1, Resources: fleet.Resources{CPUMilli: 1000, MemoryMiB: 6000}, LongRunning: true}
	c.submitUnderLoad(job, "q", large, bestEffort)
	assert.Equal(t, len(c.workersOf(job)), 1, "the large task runs")
}

// Guards against a large long-running task of a queue with placement advice that never fits: advice is asked only about workers
// with room, and no worker was held for the task. Half of the workers may not run it.
func TestLargeTaskWithAdviceIsPlacedAmongSmallBatchTasks(t *testing.T) {
	c := newFleetHarness(t, 2)
	const job = "0000000000000001"
	small := workflow.Step{Count: 4, Resources: fleet.Resources{CPUMilli: 1000, MemoryMiB: 10}, Estimate: 100 * time.Millisecond}
	large := workflow.Step{Count: 1, Resources: fleet.Resources{CPUMilli: 6000, MemoryMiB: 10}, LongRunning: true}
	c.submitUnderLoad(job, "advised", large, small)
	assert.Equal(t, c.workersOf(job)["a0"], 1, "the large task runs")
}

// submitUnderLoad submits a short job every 100 ms for 10 s, and after 2 s a job with a long-running step.
func (c *fleetHarness) submitUnderLoad(job, queue string, longRunning, short workflow.Step) {
	c.endCause = func(s shard.Start) shard.EndCause {
		if s.Job != job && c.age(s) > time.Duration(300+100*s.Key.Index)*time.Millisecond {
			return shard.EndDone
		}
		return ""
	}
	for i := range 100 {
		c.run(100 * time.Millisecond)
		if i == 20 {
			c.owner.Add(c.now, workflow.Job{ID: job, AcceptedAt: c.now.UnixMilli(), Queue: queue, Steps: []workflow.Step{longRunning}})
		}
		c.owner.Add(c.now, workflow.Job{ID: fmt.Sprintf("00000000000001%02x", i), AcceptedAt: c.now.UnixMilli(), Queue: "q", Steps: []workflow.Step{short}})
	}
}
