package shard_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/laburnumridge/laburnumridge/internal/fleet"
	"github.com/laburnumridge/laburnumridge/internal/shard"
	"github.com/laburnumridge/laburnumridge/internal/workflow"
)

// Guards against serving tasks that stay on a stalled worker because the worker is in quarantine for failed runs.
func TestServingTaskIsMovedOffStalledWorkerInQuarantine(t *testing.T) {
	const serving, batch = "0000000000000001", "0000000000000002"
	c := newFleetHarness(t, 2)
	stalled := ""
	c.measurement = func(s shard.Start) float64 {
		if s.Worker == stalled {
			return 2000
		}
		return 7
	}
	failed := 0
	c.endCause = func(s shard.Start) shard.EndCause {
		if s.Job != batch || c.age(s) < 50*time.Millisecond {
			return ""
		}
		if c.workersOf(serving)[s.Worker] == 0 {
			return shard.EndDone
		}
		failed++
		return shard.EndFailed
	}
	c.add(workflow.Job{ID: serving, Queue: "q", Steps: []workflow.Step{{
		Count: 1, Resources: fleet.Resources{CPUMilli: 1000, MemoryMiB: 10}, LongRunning: true,
		TailTarget: 18 * time.Millisecond, Image: "s",
	}}})
	c.run(2 * time.Second)
	assert.Equal(t, len(c.workersOf(serving)), 1)
	step := smallStep
	step.Count = 40
	c.add(workflow.Job{ID: batch, Queue: "q", Steps: []workflow.Step{step}})
	c.waitFor(5*time.Second, func() bool { return failed >= 3 })
	assert.Assert(t, failed >= 3, "runs have failed")
	c.run(200 * time.Millisecond)
	for w := range c.workersOf(serving) {
		stalled = w
	}
	left := c.waitFor(10*time.Second, func() bool { return c.workersOf(serving)[stalled] == 0 })
	t.Logf("%d failed runs, the task left the stalled worker after %s", failed, left)
	assert.Assert(t, left < 300*time.Millisecond, "the task left the stalled worker after %s", left)
	c.run(time.Second)
	assert.Equal(t, len(c.workersOf(serving)), 1, "the task runs elsewhere")
}
