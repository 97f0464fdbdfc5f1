package shard_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/laburnumridge/laburnumridge/internal/fleet"
	"github.com/laburnumridge/laburnumridge/internal/workflow"
)

// Guards against a gang without room for all its tasks that is assigned, taken back and recorded in each placement round: 50 records a
// second for each such job, and run numbers that rise as fast.
func TestGangWithoutRoomIsNotRecorded(t *testing.T) {
	const workers = 4
	c := newFleetHarness(t, workers)
	c.run(time.Second)
	gang := workflow.Step{Count: workers + 1, Gang: true, Resources: fleet.Resources{CPUMilli: 7500, MemoryMiB: 10}}
	c.add(workflow.Job{ID: "0000000000000001", Queue: "q", Steps: []workflow.Step{gang}})
	gang.Count = workers
	c.run(5 * time.Second)
	assert.Equal(t, len(c.store.received), 0, "commits")
	c.add(workflow.Job{ID: "0000000000000002", Queue: "q", Steps: []workflow.Step{gang}})
	c.run(time.Second)
	assert.Equal(t, len(c.running), workers)
	assert.Equal(t, c.running[0].Run, 1)
}
