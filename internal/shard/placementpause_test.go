package shard_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/laburnumridge/laburnumridge/internal/fleet"
	"github.com/laburnumridge/laburnumridge/internal/workflow"
)

// Guards against a failed long-running task that waits for the pause after a round of placement which is long because many jobs
// wait that fit nowhere.
func TestRestartDoesNotWaitForUnplaceableJobs(t *testing.T) {
	const longRunning = "0000000000000001"
	c := newFleetHarness(t, 200)
	c.add(workflow.Job{ID: longRunning, Queue: "q", Steps: []workflow.Step{{
		Count: 3, Resources: fleet.Resources{CPUMilli: 1000, MemoryMiB: 10}, LongRunning: true,
	}}})
	c.run(time.Second)
	step := smallStep
	step.Label, step.PerWorker = "none", 1
	for i := range 1000 {
		step.Resources.MemoryMiB = int64(10 + i) // all differ, so each is evaluated
		c.add(workflow.Job{ID: fmt.Sprintf("0000000000001%03x", i), Queue: "q", Steps: []workflow.Step{step}})
	}
	c.run(3 * time.Second)
	total, longest := time.Duration(0), time.Duration(0)
	const trials = 12
	for i := range trials {
		took := c.failLongRunning(longRunning, i%3, 10*time.Second)
		total, longest = total+took, max(longest, took)
		c.run(time.Duration(370+130*i) * time.Millisecond)
	}
	t.Logf("runs again after %s on average, %s at most", total/trials, longest)
	assert.Check(t, longest < 200*time.Millisecond, "runs again after %s", longest)
}

// Guards against a new job that waits for the pause after a round of placement which is long because many jobs wait that fit
// nowhere. They differ in nothing but their identity, and are evaluated once.
func TestFirstStartDoesNotWaitForUnplaceableJobs(t *testing.T) {
	c := newFleetHarness(t, 200)
	c.run(time.Second)
	step := smallStep
	step.Label, step.PerWorker = "none", 1
	for i := range 1000 {
		c.add(workflow.Job{ID: fmt.Sprintf("0000000000001%03x", i), Queue: "q", Steps: []workflow.Step{step}})
	}
	c.run(3 * time.Second)
	total, longest := time.Duration(0), time.Duration(0)
	const trials = 12
	for i := range trials {
		job := fmt.Sprintf("0000000000002%03x", i)
		c.add(workflow.Job{ID: job, Queue: "q", Steps: []workflow.Step{smallStep}})
		took := c.waitFor(10*time.Second, func() bool { return len(c.workersOf(job)) > 0 })
		total, longest = total+took, max(longest, took)
		c.run(time.Duration(370+130*i) * time.Millisecond)
	}
	t.Logf("starts after %s on average, %s at most", total/trials, longest)
	assert.Check(t, longest < 100*time.Millisecond, "starts after %s", longest)
}
