package shard_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/laburnumridge/laburnumridge/internal/fleet"
	"github.com/laburnumridge/laburnumridge/internal/shard"
	"github.com/laburnumridge/laburnumridge/internal/workflow"
)

// Guards against a step that waits for a hung run because the first copy of the run failed.
func TestHungRunIsCopiedAgainAfterFailedCopy(t *testing.T) {
	const job = "0000000000000001"
	c := newFleetHarness(t, 3)
	hung, failed := "", false
	c.endCause = func(s shard.Start) shard.EndCause {
		switch {
		case s.Worker == hung, c.age(s) <= 500*time.Millisecond:
			return ""
		case s.Run == 2 && !failed:
			failed = true
			return shard.EndFailed
		}
		return shard.EndDone
	}
	c.add(workflow.Job{ID: job, Queue: "q", Steps: []workflow.Step{{
		Count: 3, PerWorker: 1, Resources: fleet.Resources{CPUMilli: 1000, MemoryMiB: 10}, Estimate: 10 * time.Second, Speculative: true,
	}}})
	for len(c.starts) == 0 {
		c.step()
	}
	hung = c.starts[0].Worker
	took := c.waitFor(20*time.Second, func() bool { return c.recordedFinal(job) })
	t.Logf("%d runs, the job is completed after %s", len(c.starts), took)
	assert.Assert(t, failed, "a copy has failed")
	assert.Assert(t, c.recordedFinal(job), "the job is completed")
}
