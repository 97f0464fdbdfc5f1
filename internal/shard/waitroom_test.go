package shard_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/laburnumridge/laburnumridge/internal/workflow"
)

// besideRoom adds a job that waits, and returns how many tasks wait beside room when they have waited for a time.
func (c *fleetHarness) besideRoom(queue string, step workflow.Step, wait time.Duration) int {
	c.add(workflow.Job{ID: waitingJob, Queue: queue, AcceptedAt: c.now.UnixMilli(), Steps: []workflow.Step{step}})
	for end := c.now.Add(wait); c.now.Before(end); {
		c.run(time.Second)
		c.owner.ReportWaits(c.now)
	}
	return c.owner.Summary(c.now).WaitingBesideRoom
}

// Guards against a task that waits for ever for something that never comes, beside idle workers, without a sign of it in the metrics: here
// for the answer to a request for placement advice.
func TestTaskThatStandsStillBesideRoomIsCounted(t *testing.T) {
	for wait, want := range map[time.Duration]int{9 * time.Second: 0, 14 * time.Second: 3} {
		c := newFleetHarness(t, 3)
		c.run(time.Second)
		c.ignoresAdviceRequests = true
		step := smallStep
		step.Count = 3
		assert.Equal(t, c.besideRoom("advised", step, wait), want, "after %s", wait)
	}
}

// Guards against alarms for tasks that wait for a good reason.
func TestTaskThatWaitsForRoomIsNotCounted(t *testing.T) {
	for name, c := range waitCases() {
		if name == "quarantine" {
			continue // workers in quarantine have room
		}
		t.Run(name, func(t *testing.T) {
			h := newFleetHarness(t, 2)
			h.run(time.Second)
			if c.prepare != nil {
				c.prepare(h)
			}
			queue := "q"
			if c.queue != "" {
				queue = c.queue
			}
			assert.Equal(t, h.besideRoom(queue, c.step, 20*time.Second), 0)
		})
	}
}
