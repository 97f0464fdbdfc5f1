package shard_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/laburnumridge/laburnumridge/internal/shard"
	"github.com/laburnumridge/laburnumridge/internal/workflow"
)

const (
	// limitedJob is a job with one small task that moves between limitedHome and limitedGuest, or the shard of the test.
	limitedJob   = "0000000000000001"
	limitedHome  = 7
	limitedGuest = 3
)

func jobAtLimit() workflow.Job {
	return workflow.Job{ID: limitedJob, Queue: "q", Steps: []workflow.Step{smallStep}}
}

// setLimit changes the number of failed runs that the config allows.
func (c *fleetHarness) setLimit(n int) {
	q := c.config.Queues[0]
	q.MaxAttempts = n
	c.config = workflow.NewConfig(c.config.Version+1, []workflow.Queue{q}, nil, workflow.Limits{})
	c.owner.SetConfig(c.config)
}

// returned returns the entries of the last list of returned tasks that a guest recorded.
func (c *fleetHarness) returned() []workflow.HeldTask {
	var out []workflow.HeldTask
	for _, commit := range c.store.received {
		for _, w := range commit.Writes {
			if w.Shared == nil || w.Shared.Returned == nil {
				continue
			}
			var err error
			out, err = workflow.Decode[[]workflow.HeldTask](w.Shared.Returned)
			assert.NilError(c.t, err)
		}
	}
	return out
}

// Guards against a config with a lower limit of failed runs that is not heeded for tasks which have reached it, and against jobs that
// fail although the run that was under way completes them.
func TestLowerLimitOfFailedRunsCountsFromNextStart(t *testing.T) {
	for cause, want := range map[shard.EndCause]workflow.State{shard.EndDone: workflow.StateCompleted, shard.EndFailed: workflow.StateFailed} {
		c := newFleetHarness(t, 2)
		c.endCause = func(s shard.Start) shard.EndCause {
			if s.Run < 3 {
				return shard.EndFailed
			}
			return ""
		}
		c.add(jobAtLimit())
		c.run(time.Second)
		assert.Equal(t, len(c.starts), 3)
		c.setLimit(2)
		c.run(time.Second)
		state, _ := c.owner.State(limitedJob)
		assert.Equal(t, state, workflow.StateRunning)
		c.endCause = func(shard.Start) shard.EndCause { return cause }
		c.run(time.Second)
		state, _ = c.owner.State(limitedJob)
		assert.Equal(t, state, want)
		assert.Equal(t, len(c.starts), 3)
	}
}

// Guards against a recorded run that is started after a config with a lower limit of failed runs is known.
func TestRecordedRunIsWithdrawnAtLowerLimit(t *testing.T) {
	c := newFleetHarness(t, 1)
	c.run(time.Second)
	progress := workflow.Progress{Tasks: []workflow.TaskRecord{{
		Attempts: []workflow.Attempt{{Run: 3, Worker: c.workers[0].ID, Born: c.workers[0].incarnation}}, Failures: 2, Run: 3,
	}}}
	c.owner.Inherit(shard.Handover{Unsent: []shard.UnsentAttempt{{Job: limitedJob, Run: 3}}})
	c.jobs[limitedJob] = jobAtLimit()
	c.owner.Restore(c.now, jobAtLimit(), progress, false)
	c.setLimit(2)
	c.run(time.Second)
	assert.Equal(t, len(c.starts), 0)
	state, _ := c.owner.State(limitedJob)
	assert.Equal(t, state, workflow.StateFailed)
}

// restoreGuest makes the shard hold a task that an earlier owner of it has left after three failed runs.
func (c *fleetHarness) restoreGuest(late ...workflow.LateStart) {
	c.jobs[limitedJob] = jobAtLimit()
	c.owner.AllowSharedEnds(true)
	c.owner.RestoreShared(c.now, workflow.SharedJob{Home: limitedHome, Job: jobAtLimit(), Tasks: []workflow.HeldTask{{Hop: 1}}}, workflow.Progress{
		LateStarts: late, Tasks: []workflow.TaskRecord{{Failures: 3, Run: 3}}, Transfers: []workflow.Transfer{{Hop: 1, Shard: workflow.NoShard}},
	}, false)
}

// Guards against a task that starts again in a guest (BUDGET) whose earlier owner, perhaps of the build before, kept it after its last
// failed run.
func TestGuestReturnsTaskThatEarlierOwnerLeftAtLimit(t *testing.T) {
	c := newFleetHarness(t, 2)
	c.run(time.Second)
	c.restoreGuest()
	c.run(time.Second)
	assert.Equal(t, len(c.starts), 0)
	returned := c.returned()
	assert.Equal(t, len(returned), 1)
	assert.Equal(t, returned[0].Hop, 1)
	assert.Equal(t, returned[0].Record.Failures, 3)
}

// Guards against a job that is shown as running until a guest can return its task, which waits for a late start although it has failed for
// good.
func TestGuestTellsOfTaskAtLimitBeforeItsReturn(t *testing.T) {
	c := newFleetHarness(t, 2)
	c.run(time.Second)
	c.restoreGuest(workflow.LateStart{LostAt: c.now.UnixMilli(), Run: 3, Worker: c.workers[0].ID})
	c.run(time.Second)
	returned := c.returned()
	assert.Equal(t, len(returned), 1)
	assert.Equal(t, returned[0].Hop, workflow.NoHop)
	assert.Equal(t, returned[0].Record.Failures, 3)
	c.run(40 * time.Second)
	assert.Equal(t, c.returned()[0].Hop, 1)
	assert.Equal(t, len(c.starts), 0)

	home := newFleetHarness(t, 1)
	home.run(time.Second)
	home.owner.AllowSharedEnds(true)
	home.owner.RestoreShared(home.now, workflow.SharedJob{Home: 0, Job: jobAtLimit()}, workflow.Progress{
		Guests: []int{limitedGuest}, Transfers: []workflow.Transfer{{Hop: 1, Shard: limitedGuest}},
	}, false)
	home.owner.TakeBack(home.now, limitedJob, limitedGuest, returned)
	home.run(time.Second)
	state, _ := home.owner.State(limitedJob)
	assert.Equal(t, state, workflow.StateFailed)
}
