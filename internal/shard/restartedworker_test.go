package shard_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	is "gotest.tools/v3/assert/cmp"

	"github.com/laburnumridge/laburnumridge/internal/shard"
	"github.com/laburnumridge/laburnumridge/internal/workflow"
)

// restartWorker begins a new lifetime of a worker, which the registry shows at once.
func (c *fleetHarness) restartWorker(f *fakeWorker) {
	c.restart(f)
	var left []shard.Start
	for _, s := range c.running {
		if s.Worker != f.ID {
			left = append(left, s)
		}
	}
	c.running = left
	delete(c.endedByWorker, f.ID)
	delete(c.lastEndNumber, f.ID)
	delete(c.listedAt, f.ID)
	c.register()
}

// Guards against a run number that is given out twice: a run that was carried out ended with the lifetime of its worker, and the next
// start of the task is a new run.
func TestRunThatEndedWithItsWorkerIsNotSentAgain(t *testing.T) {
	const job = "0000000000000001"
	c := newFleetHarness(t, 1)
	c.run(11 * time.Second)
	c.add(workflow.Job{ID: job, Queue: "q", Steps: []workflow.Step{longRunningStep}})
	c.run(time.Second)
	c.restartWorker(c.workers[0])
	c.run(2 * time.Second)
	assert.Equal(t, len(c.starts), 2)
	assert.Check(t, is.Equal(c.starts[1].Run, 2))
}
