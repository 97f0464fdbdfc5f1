package shard_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/laburnumridge/laburnumridge/internal/shard"
	"github.com/laburnumridge/laburnumridge/internal/workflow"
)

// failedRun identifies a run in the present lifetime of a worker.
func failedRun(f *fakeWorker, run int) workflow.Attempt {
	return workflow.Attempt{Born: f.incarnation, Run: run, Worker: f.ID}
}

// listFailure makes a worker list the failed end of a run of the task of limitedJob that it has not begun here.
func (c *fleetHarness) listFailure(f *fakeWorker, run int) {
	c.recordEnd(shard.Start{Order: shard.Order{Worker: f.ID}, Job: limitedJob, Run: run}, shard.EndFailed)
}

// startsUntilFailed restores the job of a task whose every run fails, lets a worker list a failed end of its first run, and returns how
// often the task starts until its job has failed.
func startsUntilFailed(t *testing.T, progress func(f *fakeWorker) workflow.Progress) int {
	t.Helper()
	c := newFleetHarness(t, 3)
	f := c.workers[0]
	c.listFailure(f, 1)
	c.jobs[limitedJob] = jobAtLimit()
	c.owner.Restore(c.now, jobAtLimit(), progress(f), false)
	c.endCause = func(shard.Start) shard.EndCause { return shard.EndFailed }
	c.run(5 * time.Second)
	state, _ := c.owner.State(limitedJob)
	assert.Equal(t, state, workflow.StateFailed)
	return len(c.starts)
}

// Guards against a failed end that is acknowledged and not counted (BUDGET), as its run has no attempt on record, and against one that counts
// again since the owner that counted it was lost before it was acknowledged.
func TestFailedEndWithoutOpenRunCountsOnce(t *testing.T) {
	assert.Equal(t, startsUntilFailed(t, func(*fakeWorker) workflow.Progress {
		return workflow.Progress{Tasks: []workflow.TaskRecord{{Run: 1}}}
	}), 2, "the run counted as ended, and not as failed")
	assert.Equal(t, startsUntilFailed(t, func(f *fakeWorker) workflow.Progress {
		return workflow.Progress{Tasks: []workflow.TaskRecord{{Failures: 1, Run: 1}}, Failed: []workflow.FailedRun{{Run: failedRun(f, 1)}}}
	}), 2, "the last owner has counted it")
	assert.Equal(t, startsUntilFailed(t, func(*fakeWorker) workflow.Progress {
		return workflow.Progress{Tasks: []workflow.TaskRecord{{Failures: 1, Run: 1}}}
	}), 2, "an owner of the build before has counted it")
	assert.Equal(t, startsUntilFailed(t, func(f *fakeWorker) workflow.Progress {
		return workflow.Progress{Tasks: []workflow.TaskRecord{{Failures: 1, Run: 2}}, Failed: []workflow.FailedRun{{Run: failedRun(f, 2)}}}
	}), 1, "the last owner has counted another run")
}

// restoreHome makes the shard the home of a task that limitedGuest holds.
func (c *fleetHarness) restoreHome(failures int, failed ...workflow.FailedRun) {
	c.jobs[limitedJob] = jobAtLimit()
	c.owner.AllowSharedEnds(true)
	c.owner.RestoreShared(c.now, workflow.SharedJob{Home: 0, Job: jobAtLimit()}, workflow.Progress{
		Failed: failed, Guests: []int{limitedGuest}, Tasks: []workflow.TaskRecord{{Failures: failures, Run: failures}},
		Transfers: []workflow.Transfer{{Hop: 1, Shard: limitedGuest}},
	}, false)
}

// Guards against failed runs that are lost when the home and a guest learn of different ones at the same time, and against a number of
// failed runs that falls when a task is handed over.
func TestFailedRunsOfHomeAndGuestAddUp(t *testing.T) {
	c := newFleetHarness(t, 3)
	f, g := c.workers[0], workflow.Attempt{Born: 1, Run: 2, Worker: "guest"}
	c.restoreHome(0)
	c.listFailure(f, 1)
	c.run(time.Second)
	assert.Assert(t, len(c.store.received) > 0)
	writes := c.store.received[len(c.store.received)-1].Writes
	toGuest, ok := workflow.DecodeSharedJob(writes[0].Shared.Records[len(writes[0].Shared.Records)-1].Value)
	assert.Assert(t, ok)
	assert.DeepEqual(t, toGuest.Tasks[0].Record.Attempts, []workflow.Attempt{failedRun(f, 1)})
	assert.Equal(t, toGuest.Tasks[0].Record.Failures, 1)

	returned := workflow.HeldTask{Hop: 1, Record: workflow.TaskRecord{Attempts: []workflow.Attempt{g}, Failures: 1, Run: 2}}
	c.endCause = func(shard.Start) shard.EndCause { return shard.EndFailed }
	c.owner.TakeBack(c.now, limitedJob, limitedGuest, []workflow.HeldTask{returned})
	c.run(2 * time.Second)
	assert.Equal(t, len(c.starts), 1, "two runs have failed before")

	guest := newFleetHarness(t, 3)
	guest.run(time.Second)
	guest.restoreGuest()
	guest.owner.ApplyShared(guest.now, workflow.SharedJob{Home: limitedHome, Job: jobAtLimit(), Tasks: []workflow.HeldTask{{Hop: 2}}})
	guest.run(5 * time.Second)
	assert.Equal(t, len(guest.starts), 0, "three runs have failed before")
}

// Guards against a guest that goes on with a task after its home has learned of the last failed run that it may have.
func TestGuestHeedsFailedRunsThatItsHomeLearnsOf(t *testing.T) {
	c := newFleetHarness(t, 3)
	c.run(time.Second)
	c.jobs[limitedJob] = jobAtLimit()
	c.owner.AllowSharedEnds(true)
	c.endCause = func(s shard.Start) shard.EndCause {
		if c.age(s) > 500*time.Millisecond {
			return shard.EndFailed
		}
		return ""
	}
	held := workflow.HeldTask{Hop: 1}
	c.owner.ApplyShared(c.now, workflow.SharedJob{Home: limitedHome, Job: jobAtLimit(), Tasks: []workflow.HeldTask{held}})
	c.run(200 * time.Millisecond)
	assert.Equal(t, len(c.starts), 1)
	held.Record = workflow.TaskRecord{Attempts: []workflow.Attempt{{Run: 1, Worker: "x"}, {Run: 2, Worker: "x"}}, Failures: 2}
	c.owner.ApplyShared(c.now, workflow.SharedJob{Home: limitedHome, Job: jobAtLimit(), Tasks: []workflow.HeldTask{held}})
	c.run(3 * time.Second)
	assert.Equal(t, len(c.starts), 1)
	assert.Equal(t, c.returned()[0].Record.Failures, 3)
}
