package shard_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/laburnumridge/laburnumridge/internal/workflow"
)

// Guards against runs that are stopped long before their worker leaves: the last owner handed the worker over before it was draining.
func TestRunsStayOnWorkerThatDrainsAfterHandover(t *testing.T) {
	const job = "0000000000000001"
	c := newFleetHarness(t, 1)
	c.run(11 * time.Second)
	c.add(workflow.Job{ID: job, Queue: "q", Steps: []workflow.Step{smallStep}})
	c.run(time.Second)
	c.handOver()
	c.run(20 * time.Second)
	w := c.worker(c.running[0].Worker)
	w.Draining, w.Remaining = true, 10*time.Second
	c.register()
	c.run(5 * time.Second)
	assert.Equal(t, c.workersOf(job)[w.ID], 1, "the run goes on while the worker has 5 s left")
}
