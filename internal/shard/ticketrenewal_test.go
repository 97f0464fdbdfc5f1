package shard_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/laburnumridge/laburnumridge/internal/workflow"
)

// Guards against starts that are refused again and again because their ticket expires while the attempt waits for its record.
func TestTicketIsRenewedWhileAttemptWaitsForRecord(t *testing.T) {
	const job = "0000000000000001"
	for _, written := range []time.Duration{10 * time.Millisecond, time.Second, 3 * time.Second} {
		c := newFleetHarness(t, 4)
		c.run(time.Second)
		c.store.answerTime = func() time.Duration { return written }
		step := smallStep
		step.Count = 3
		c.add(workflow.Job{ID: job, Queue: "advised", Steps: []workflow.Step{step}})
		started := c.waitFor(20*time.Second, func() bool { return len(c.running) == step.Count })
		t.Logf("records take %s: started after %s, %d starts refused", written, started, c.refusedTickets)
		assert.Check(t, started <= written+500*time.Millisecond, "started after %s", started)
		assert.Check(t, c.refusedTickets == 0, "%d starts were refused", c.refusedTickets)
	}
}
