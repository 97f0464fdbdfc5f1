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

// Guards against a start on a worker that the step does not suit: the worker's present lifetime may be of another kind than the one for
// which the attempt was planned.
func TestRecordedStartIsNotSentToWorkerOfAnotherKind(t *testing.T) {
	const job = "0000000000000001"
	for name, change := range map[string]func(*fakeWorker){
		"label": func(f *fakeWorker) { f.Labels = []string{"r"} },
		"room":  func(f *fakeWorker) { f.Capacity.CPUMilli = 500 },
	} {
		c := newFleetHarness(t, 2)
		c.run(11 * time.Second)
		step := longRunningStep
		step.Label = "a"
		c.add(workflow.Job{ID: job, Queue: "q", Steps: []workflow.Step{step}})
		c.run(time.Second)
		f := c.worker(c.running[0].Worker)
		change(f)
		c.restartWorker(f)
		c.run(2 * time.Second)
		assert.Equal(t, len(c.starts), 2, name)
		assert.Check(t, c.starts[1].Worker != f.ID, "%s: the task starts on a worker that can't take it", name)
	}
}

// Guards against a wait for the lease of a restarted worker that starts anew with each handover: each owner learns of the restart from
// the registry, although the one before it knew of it.
func TestLeaseOfRestartedWorkerEndsDespiteHandovers(t *testing.T) {
	const job = "0000000000000001"
	// The longest lease, 2% more on a slow clock, and the margin.
	const most = maxLease*102/100 + time.Second
	for _, handovers := range []int{0, 1, 8} {
		c := newFleetHarness(t, 3)
		c.pollTimeout = 900 * time.Millisecond
		c.run(11 * time.Second)
		c.add(workflow.Job{ID: job, Queue: "q", Steps: []workflow.Step{longRunningStep}})
		c.run(time.Second)
		f := c.worker(c.running[0].Worker)
		c.silent = f.ID
		c.restartWorker(f)
		began := c.now
		for range handovers {
			c.run(800 * time.Millisecond)
			c.handOver()
		}
		c.waitFor(30*time.Second, func() bool { return len(c.starts) > 1 })
		assert.Assert(t, len(c.starts) > 1, "after %d handovers the task never runs again", handovers)
		assert.Check(t, c.now.Sub(began) <= most, "after %d handovers the task runs again after %s", handovers, c.now.Sub(began))
	}
}
