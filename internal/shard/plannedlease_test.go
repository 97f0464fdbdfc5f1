package shard_test

import (
	"bytes"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/laburnumridge/laburnumridge/internal/shard"
	"github.com/laburnumridge/laburnumridge/internal/workflow"
)

// newIdleWorkerHarness returns a harness with a worker that was polled, has nothing to run, and has no lease of an earlier owner.
func newIdleWorkerHarness(t *testing.T, log *bytes.Buffer) *fleetHarness {
	t.Helper()
	c := newFleetHarness(t, 1)
	c.log.SetOutput(log)
	c.run(11 * time.Second)
	const warmUp = "0000000000000001"
	c.add(workflow.Job{ID: warmUp, Queue: "q", Steps: []workflow.Step{smallStep}})
	c.run(100 * time.Millisecond)
	c.endRunsWhere(func(shard.Start) shard.EndCause { return shard.EndDone })
	c.run(500 * time.Millisecond)
	assert.Assert(t, c.recordedFinal(warmUp))
	return c
}

// Guards against an attempt that is dropped, and planned and recorded once more, because the lease of its worker lapsed while a slow
// store wrote the attempt; and against a fencing token that is raised for that. The worker runs nothing in that time, is not polled
// and needs no lease until the start.
func TestPlannedAttemptOutlastsLeaseOfIdleWorker(t *testing.T) {
	dropped, lapsed := 0, 0
	for written := 6 * time.Second; written < 8*time.Second; written += simulationStep {
		var log bytes.Buffer
		c := newIdleWorkerHarness(t, &log)
		token := c.starts[0].Token
		c.store.answerTime = func() time.Duration { return written }
		c.add(workflow.Job{ID: "0000000000000002", Queue: "q", Steps: []workflow.Step{smallStep}})
		c.run(written + 5*simulationStep)
		switch {
		case len(c.starts) == 1:
			dropped++
		case c.starts[1].Token != token, bytes.Contains(log.Bytes(), []byte("lease_over")):
			lapsed++
		}
	}
	assert.Check(t, dropped == 0, "%d attempts were dropped", dropped)
	assert.Check(t, lapsed == 0, "%d leases of idle workers lapsed", lapsed)
}

// Guards against an attempt that is dropped, and planned and recorded once more, because it is recorded just after this owner took
// the shard again, when the worker does not know the new token yet.
func TestReadyAttemptWaitsForFence(t *testing.T) {
	var log bytes.Buffer
	c := newIdleWorkerHarness(t, &log)
	c.store.answerTime = func() time.Duration { return time.Hour }
	c.add(workflow.Job{ID: "0000000000000002", Queue: "q", Steps: []workflow.Step{smallStep}})
	c.run(time.Second)
	commits := len(c.store.received)
	c.release()
	c.store.step(c.simulation, nil)
	c.owner.SetToken(c.now, c.epoch+1)
	c.run(5 * simulationStep)
	assert.Equal(t, len(c.starts), 2, "the attempt is started")
	assert.Equal(t, c.starts[1].Run, 1)
	assert.Equal(t, len(c.store.received), commits, "nothing was recorded again")
}

// Guards against a task that is started on a worker that fell silent while it had nothing to run and was not polled. The task would
// wait until the lease of its start is over.
func TestTaskLeavesIdleWorkerThatFellSilent(t *testing.T) {
	for _, silent := range []string{"a0", "b1"} {
		c := newFleetHarness(t, 2)
		c.run(20 * time.Second)
		c.silent = silent
		c.add(workflow.Job{ID: "0000000000000002", Queue: "q", Steps: []workflow.Step{smallStep}})
		c.run(time.Second)
		assert.Equal(t, len(c.running), 1, "the task runs on the other worker than %s", silent)
	}
}
