package shard_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/laburnumridge/laburnumridge/internal/fleet"
	"github.com/laburnumridge/laburnumridge/internal/shard"
	"github.com/laburnumridge/laburnumridge/internal/workflow"
)

// setQueues gives the owner, and its successors, a config with these queues only.
func (c *fleetHarness) setQueues(queues ...workflow.Queue) {
	c.config = workflow.NewConfig(c.config.Version+1, queues, nil, workflow.Limits{})
	c.owner.SetConfig(c.config)
}

// Guards against accepted work of a removed queue that no later owner continues, since it does not know the service of the work: after a
// crash and a handover, whether the job's own record has the settings, the owner of the present build has recorded them, or they have
// changed since the job was accepted.
func TestJobOfRemovedQueueIsContinuedByNextOwner(t *testing.T) {
	const job = "0000000000000001"
	chain := workflow.Job{ID: job, Queue: "q", Steps: []workflow.Step{
		{Count: 1, Resources: fleet.Resources{CPUMilli: 100, MemoryMiB: 10}},
		{After: []int{0}, Count: 1, Resources: fleet.Resources{CPUMilli: 100, MemoryMiB: 10}},
	}}
	removed := func(c *fleetHarness) { c.setQueues() }
	crash := func(c *fleetHarness) { c.takeOver() }
	for name, tc := range map[string]struct {
		// accepted changes the settings with which the job is accepted; nil means that its record has none.
		accepted func(workflow.QueueSettings) workflow.QueueSettings
		remove   func(c *fleetHarness)
		replace  func(c *fleetHarness)
	}{
		"accepted by this build":      {unchanged, removed, crash},
		"accepted by an older build":  {nil, removed, crash},
		"handed over":                 {nil, removed, (*fleetHarness).handOver},
		"two takeovers":               {nil, removed, func(c *fleetHarness) { c.takeOver(); c.run(time.Second); c.takeOver() }},
		"moved to a service and gone": {movedFrom("former"), removed, crash},
	} {
		t.Run(name, func(t *testing.T) {
			c := newFleetHarness(t, 2)
			c.run(time.Second)
			j := chain
			if q, _ := c.config.Queue("q"); tc.accepted != nil {
				j = j.WithSettings(tc.accepted(q.Settings()))
			}
			c.add(j)
			c.waitFor(5*time.Second, func() bool { return len(c.running) == 1 })
			tc.remove(c)
			c.run(time.Second)
			tc.replace(c)
			c.run(time.Second)
			c.endRunsWhere(func(shard.Start) shard.EndCause { return shard.EndDone })
			c.waitFor(15*time.Second, func() bool { return len(c.starts) == 2 })
			assert.Equal(t, len(c.starts), 2, "the second step starts")
		})
	}
}

func unchanged(s workflow.QueueSettings) workflow.QueueSettings { return s }

// movedFrom returns a change to the settings of a queue that the config sent to another service before.
func movedFrom(service string) func(workflow.QueueSettings) workflow.QueueSettings {
	return func(s workflow.QueueSettings) workflow.QueueSettings {
		s.Service = service
		return s
	}
}

// Guards against a task that is tried without end once its queue is removed, since the next owner does not know the limit.
func TestLimitOfFailedRunsOutlivesRemovedQueue(t *testing.T) {
	const job = "0000000000000001"
	c := newFleetHarness(t, 2)
	c.run(time.Second)
	q, _ := c.config.Queue("q")
	assert.Equal(t, q.MaxAttempts, 3)
	c.add(workflow.Job{ID: job, Queue: "q", Steps: []workflow.Step{smallStep}}.WithSettings(q.Settings()))
	c.waitFor(5*time.Second, func() bool { return len(c.running) == 1 })
	c.setQueues()
	c.takeOver()
	c.endCause = func(shard.Start) shard.EndCause { return shard.EndFailed }
	c.run(10 * time.Second)
	assert.Equal(t, len(c.starts), q.MaxAttempts)
	assert.Assert(t, c.recordedFinal(job))
}

// Guards against a job that a host accepts under an older config, and that never runs since its owner has a newer one without the queue.
func TestJobAcceptedUnderOlderConfigRuns(t *testing.T) {
	const job = "0000000000000001"
	c := newFleetHarness(t, 2)
	c.run(time.Second)
	q, _ := c.config.Queue("q")
	c.setQueues()
	c.run(time.Second)
	c.add(workflow.Job{ID: job, Queue: "q", Steps: []workflow.Step{smallStep}}.WithSettings(q.Settings()))
	c.waitFor(5*time.Second, func() bool { return len(c.starts) == 1 })
	assert.Equal(t, len(c.starts), 1)
}

// Guards against settings that stay as they were when the job was accepted, although the queue is there and has changed.
func TestSettingsFollowConfigWhileQueueExists(t *testing.T) {
	const job = "0000000000000001"
	c := newFleetHarness(t, 2)
	c.run(time.Second)
	q, _ := c.config.Queue("q")
	accepted := q.Settings()
	accepted.MaxAttempts = 9
	c.add(workflow.Job{ID: job, Queue: "q", Steps: []workflow.Step{smallStep}}.WithSettings(accepted))
	c.waitFor(5*time.Second, func() bool { return len(c.running) == 1 })
	c.takeOver()
	c.endCause = func(shard.Start) shard.EndCause { return shard.EndFailed }
	c.run(10 * time.Second)
	assert.Equal(t, len(c.starts), q.MaxAttempts)
}
