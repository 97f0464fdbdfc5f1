package shard_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/laburnumridge/laburnumridge/internal/fleet"
	"github.com/laburnumridge/laburnumridge/internal/shard"
	"github.com/laburnumridge/laburnumridge/internal/workflow"
)

const (
	firstService, secondService = "0000000000000001", "0000000000000002"
	serviceTarget               = 18 * time.Millisecond
)

// newServingHarness returns a harness with two services of two tasks each that all run on worker. Their tails are those that tail
// returns, as multiples of the target.
func newServingHarness(t *testing.T, tail func(s shard.Start) float64) (c *fleetHarness, worker string) {
	t.Helper()
	c = newFleetHarness(t, 1)
	c.measurement = func(s shard.Start) float64 { return tail(s) * float64(serviceTarget.Milliseconds()) }
	for _, job := range []string{firstService, secondService} {
		c.add(workflow.Job{ID: job, Queue: "q", Steps: []workflow.Step{{
			Count: 2, Resources: fleet.Resources{CPUMilli: 1000, MemoryMiB: 10}, LongRunning: true, TailTarget: serviceTarget, Image: "s",
		}}})
	}
	c.run(2 * time.Second)
	assert.Equal(t, len(c.running), 4)
	return c, c.running[0].Worker
}

// Guards against a worker without a fault that loses all its runs, and stays empty for 6 s, because of one long tail of one task.
func TestOneLongTailDoesNotMoveAllRuns(t *testing.T) {
	// Tails cover the last half second, so that several listings show the same one.
	const window = 500 * time.Millisecond
	var until time.Time
	var c *fleetHarness
	c, worker := newServingHarness(t, func(s shard.Start) float64 {
		if c != nil && c.now.Before(until) && s.Job == firstService && s.Key.Index == 0 {
			return 51.6
		}
		return 0.4
	})
	until = c.now.Add(window)
	starts := len(c.starts)
	c.run(3 * time.Second)
	assert.Equal(t, c.workersOf(firstService)[worker]+c.workersOf(secondService)[worker], 4)
	assert.Equal(t, len(c.starts)-starts, 0, "runs were started anew")
}

// Guards against runs that stay on a worker which shows in one of these ways that it stands still.
func TestStalledWorkerIsLeft(t *testing.T) {
	for name, test := range map[string]struct {
		tail func(s shard.Start) float64
		most time.Duration
	}{
		"one task stays above the limit": {func(s shard.Start) float64 {
			if s.Job == firstService && s.Key.Index == 0 {
				return 51.6
			}
			return 0.4
		}, 900 * time.Millisecond},
		"one task is far above the limit": {func(s shard.Start) float64 {
			if s.Job == firstService && s.Key.Index == 0 {
				return 300
			}
			return 0.4
		}, 300 * time.Millisecond},
		"tasks of two jobs are above the limit": {func(s shard.Start) float64 {
			if s.Key.Index == 0 {
				return 51.6
			}
			return 0.4
		}, 200 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			isStalled := false
			c, worker := newServingHarness(t, func(s shard.Start) float64 {
				if isStalled {
					return test.tail(s)
				}
				return 0.4
			})
			c.run(500 * time.Millisecond)
			isStalled = true
			left := c.waitFor(5*time.Second, func() bool { return c.workersOf(firstService)[worker]+c.workersOf(secondService)[worker] == 0 })
			t.Logf("the worker is left after %s", left)
			assert.Check(t, left <= test.most, "the worker is left after %s", left)
		})
	}
}
