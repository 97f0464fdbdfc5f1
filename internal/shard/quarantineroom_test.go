package shard_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/laburnumridge/laburnumridge/internal/fleet"
	"github.com/laburnumridge/laburnumridge/internal/shard"
	"github.com/laburnumridge/laburnumridge/internal/workflow"
)

// Guards against room that stays unused beside a task that waits because several tasks of one job failed together, which says no more of
// their worker than the failure of one of them.
func TestTasksOfOneJobThatFailTogetherLeaveTheirRoomInUse(t *testing.T) {
	const batch, waiting = "0000000000000001", "0000000000000002"
	// A quarantine begins with 2 s. Rule LOST looks at the room for 3 s.
	const most = time.Second
	c := newFleetHarness(t, 1)
	c.run(time.Second)
	c.add(workflow.Job{ID: batch, Queue: "q", Steps: []workflow.Step{{Count: 4, Resources: fleet.Resources{CPUMilli: 2000, MemoryMiB: 10}}}})
	c.run(time.Second)
	assert.Equal(t, len(c.workersOf(batch)), 1)
	c.add(workflow.Job{ID: waiting, Queue: "q", Steps: []workflow.Step{{Count: 1, Resources: fleet.Resources{CPUMilli: 2000, MemoryMiB: 10}}}})
	c.run(time.Second)
	c.endRunsWhere(func(s shard.Start) shard.EndCause {
		if s.Job == batch {
			return shard.EndFailed
		}
		return ""
	})
	took := c.waitFor(10*time.Second, func() bool { return len(c.workersOf(waiting)) > 0 })
	assert.Check(t, took <= most, "the task that waited starts after %s", took)
}
