package shard_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/laburnumridge/laburnumridge/internal/fleet"
	"github.com/laburnumridge/laburnumridge/internal/shard"
	"github.com/laburnumridge/laburnumridge/internal/workflow"
)

// Guards against a worker that never gets tasks again because it did not answer a poll while its member of a gang ended: the end of
// the gang is learned from another worker, and nothing else makes the owner poll the silent one.
func TestWorkerThatWasSilentAtEndOfGangGetsTasks(t *testing.T) {
	const gang, next = "0000000000000001", "0000000000000002"
	c := newFleetHarness(t, 2)
	step := workflow.Step{Count: 2, Gang: true, Resources: fleet.Resources{CPUMilli: 8000, MemoryMiB: 10}}
	c.add(workflow.Job{ID: gang, Queue: "q", Steps: []workflow.Step{step}})
	c.run(time.Second)
	assert.Equal(t, len(c.workersOf(gang)), 2, "each worker runs a member")
	c.silent = "b1"
	c.run(200 * time.Millisecond)
	c.endRunsWhere(func(shard.Start) shard.EndCause { return shard.EndDone })
	c.run(300 * time.Millisecond)
	assert.Assert(t, c.recordedFinal(gang))
	c.silent = ""
	step.Gang = false
	c.add(workflow.Job{ID: next, Queue: "q", Steps: []workflow.Step{step}})
	c.run(20 * time.Second)
	assert.Equal(t, len(c.workersOf(next)), 2, "both workers run a task")
	assert.Equal(t, len(c.endedByWorker["b1"]), 0, "ends of the silent worker that are not acknowledged")
}
