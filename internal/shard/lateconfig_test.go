package shard_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/laburnumridge/laburnumridge/internal/fleet"
	"github.com/laburnumridge/laburnumridge/internal/shard"
	"github.com/laburnumridge/laburnumridge/internal/workflow"
)

// Guards against a job that counts as late for good, and is placed behind later jobs, because its owner learned of the job's queue
// only after the job was added.
func TestObjectiveFollowsQueueThatBecomesKnown(t *testing.T) {
	const busy, first, second = "0000000000000001", "0000000000000002", "0000000000000003"
	c := newFleetHarness(t, 1)
	whole := workflow.Step{Count: 1, Estimate: 10 * time.Second, Resources: fleet.Resources{CPUMilli: 8000, MemoryMiB: 10}}
	c.add(workflow.Job{ID: busy, Queue: "q", Steps: []workflow.Step{whole}})
	c.run(time.Second)
	c.add(workflow.Job{ID: first, Queue: "new", Steps: []workflow.Step{whole}})
	c.run(time.Second)
	q, _ := c.config.Queue("q")
	added := q
	added.Name, added.Prefix = "new", "/new"
	c.owner.SetConfig(workflow.NewConfig(2, []workflow.Queue{q, added}, nil, workflow.Limits{}))
	c.add(workflow.Job{ID: second, Queue: "q", Steps: []workflow.Step{whole}})
	c.run(time.Second)
	c.endRunsWhere(func(shard.Start) shard.EndCause { return shard.EndDone })
	c.run(time.Second)
	assert.Equal(t, len(c.workersOf(first)), 1, "the job that was accepted first runs")
	assert.Equal(t, len(c.workersOf(second)), 0)
}
