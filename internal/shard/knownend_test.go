package shard_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/laburnumridge/laburnumridge/internal/shard"
	"github.com/laburnumridge/laburnumridge/internal/workflow"
)

// Guards against a task that waits for the lease of a worker that left, although the last owner had seen its run end there. It had not
// recorded the end, since a commit was in flight.
func TestEndSeenByLastOwnerIsNotAwaitedAgain(t *testing.T) {
	const failed, other = "0000000000000001", "0000000000000002"
	// What remains is the pause before a restart, a placement and its record.
	const most = time.Second
	for _, handovers := range []int{0, 1} {
		c := newFleetHarness(t, 3)
		c.pollTimeout = 900 * time.Millisecond
		c.run(11 * time.Second)
		c.add(workflow.Job{ID: failed, Queue: "q", Steps: []workflow.Step{longRunningStep}})
		c.run(time.Second)
		c.store.answerTime = func() time.Duration { return time.Hour }
		if handovers == 0 {
			c.store.answerTime = func() time.Duration { return 300 * time.Millisecond }
		}
		c.add(workflow.Job{ID: other, Queue: "q", Steps: []workflow.Step{smallStep}})
		c.run(50 * time.Millisecond) // what follows waits for this commit
		left := c.running[0].Worker
		c.endRunsWhere(func(s shard.Start) shard.EndCause {
			if s.Job == failed {
				return shard.EndFailed
			}
			return ""
		})
		c.waitFor(3*time.Second, func() bool { return c.endsListed > 0 })
		assert.Assert(t, c.endsListed > 0, "the owner has seen the end")
		c.silent = left
		began := c.now
		if handovers > 0 {
			c.store = commitStore{received: c.store.received}
			c.handOver()
		}
		c.waitFor(20*time.Second, func() bool { return c.workersOf(failed)[left] == 0 && len(c.workersOf(failed)) > 0 })
		assert.Check(t, c.now.Sub(began) <= most, "with %d handovers the task runs again after %s", handovers, c.now.Sub(began))
	}
}
