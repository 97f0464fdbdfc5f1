package shard_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/laburnumridge/laburnumridge/internal/shard"
	"github.com/laburnumridge/laburnumridge/internal/workflow"
)

// Guards against a hung run that is never replaced in a series of handovers: each owner counts its time from its own takeover.
func TestHungRunIsReplacedDespiteHandovers(t *testing.T) {
	const job = "0000000000000001"
	// A run is overdue after four times the estimate and 1 s; the stop of the old run and the record of the new one follow.
	const estimate, most = 500 * time.Millisecond, 4 * time.Second
	for _, handovers := range []int{0, 1, 8} {
		c := newFleetHarness(t, 3)
		c.run(11 * time.Second)
		step := smallStep
		step.Estimate = estimate
		c.add(workflow.Job{ID: job, Queue: "q", Steps: []workflow.Step{step}})
		c.waitFor(time.Second, func() bool { return len(c.starts) > 0 })
		began := c.now
		c.endCause = func(s shard.Start) shard.EndCause {
			if s.Worker == c.starts[0].Worker || c.age(s) < estimate {
				return ""
			}
			return shard.EndDone
		}
		for range handovers {
			c.run(800 * time.Millisecond)
			c.handOver()
		}
		c.waitFor(20*time.Second, func() bool { return len(c.starts) > 1 })
		assert.Assert(t, len(c.starts) > 1, "after %d handovers the run is never replaced", handovers)
		assert.Check(t, c.startedAt[c.name(c.starts[1])].Sub(began) <= most, "after %d handovers the run is replaced after %s", handovers,
			c.startedAt[c.name(c.starts[1])].Sub(began))
	}
}
