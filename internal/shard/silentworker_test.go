package shard_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/laburnumridge/laburnumridge/internal/fleet"
	"github.com/laburnumridge/laburnumridge/internal/workflow"
)

// newSilentWorkerHarness returns a harness with two workers that each run a task, and a store that takes written for a record. A
// further job with the step was planned a moment ago, and its first start is to be on worker a0.
func newSilentWorkerHarness(t *testing.T, job string, step workflow.Step, written time.Duration) *fleetHarness {
	t.Helper()
	const busy = "0000000000000001"
	c := newFleetHarness(t, 2)
	c.pollTimeout = 900 * time.Millisecond
	c.run(11 * time.Second)
	two := smallStep
	two.Count, two.PerWorker = 2, 1
	c.add(workflow.Job{ID: busy, Queue: "q", Steps: []workflow.Step{two}})
	c.run(time.Second)
	assert.Equal(t, len(c.workersOf(busy)), 2)
	c.store.answerTime = func() time.Duration { return written }
	c.add(workflow.Job{ID: job, Queue: "q", Steps: []workflow.Step{step}})
	c.run(3 * simulationStep)
	return c
}

// Guards against a task that is started on a worker which fell silent after the task was planned and before that was recorded. The
// start gets no answer, and the task waits until the lease of the worker is over.
func TestPlannedTaskLeavesBusyWorkerThatFellSilent(t *testing.T) {
	const planned = "0000000000000002"
	for _, written := range []time.Duration{1200 * time.Millisecond, 1500 * time.Millisecond, 3 * time.Second} {
		c := newSilentWorkerHarness(t, planned, smallStep, written)
		c.silent = "a0"
		// The second poll without an answer ends after 2 s, and the new plan needs a record too.
		most := max(written, 2*time.Second) + written + 100*time.Millisecond
		started := c.waitFor(20*time.Second, func() bool { return len(c.workersOf(planned)) > 0 })
		t.Logf("records take %s: the task runs after %s", written, started)
		assert.Check(t, started <= most, "the task runs after %s", started)
	}
}

// Guards against members of a gang that are started alone because another member was planned on a worker that fell silent.
func TestPlannedGangLeavesBusyWorkerThatFellSilent(t *testing.T) {
	const planned = "0000000000000002"
	gang := workflow.Step{Count: 3, Gang: true, Resources: fleet.Resources{CPUMilli: 3000, MemoryMiB: 10}}
	c := newSilentWorkerHarness(t, planned, gang, 3*time.Second)
	c.silent = "a0"
	for range 900 {
		c.step()
		assert.Assert(t, len(c.workersOf(planned)) == 0, "a member of the gang runs without the others")
	}
	c.silent = ""
	c.run(8 * time.Second)
	workers := c.workersOf(planned)
	assert.Equal(t, workers["a0"]+workers["b1"], gang.Count, "the gang runs")
}

// Guards against an attempt that is dropped, and recorded once more, because a single poll of its worker got no answer.
func TestPlannedTaskOutlastsSingleLostPoll(t *testing.T) {
	const planned = "0000000000000002"
	const written = 1200 * time.Millisecond
	c := newSilentWorkerHarness(t, planned, smallStep, written)
	c.silent, c.polls["a0"] = "a0", 0
	for c.polls["a0"] == 0 {
		c.step()
	}
	c.silent = ""
	started := c.waitFor(20*time.Second, func() bool { return len(c.workersOf(planned)) > 0 })
	assert.Equal(t, c.workersOf(planned)["a0"], 1)
	assert.Assert(t, started <= written+100*time.Millisecond, "the task runs after %s", started)
}
