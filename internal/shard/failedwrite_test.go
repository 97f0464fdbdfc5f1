package shard_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/laburnumridge/laburnumridge/internal/kvstore"
	"github.com/laburnumridge/laburnumridge/internal/shard"
	"github.com/laburnumridge/laburnumridge/internal/workflow"
)

// newRefusingHarness returns a harness whose store refuses the progress of a job while isRefused returns true.
func newRefusingHarness(t *testing.T, job string, tooLarge bool, isRefused func() bool) *fleetHarness {
	t.Helper()
	c := newFleetHarness(t, 3)
	c.store.refuses = func(w shard.JobWrite) *shard.FailedWrite {
		if w.Job != job || w.Final != "" || !isRefused() {
			return nil
		}
		return &shard.FailedWrite{Error: kvstore.ErrRejected, IsTooLarge: tooLarge, Job: job}
	}
	c.endCause = func(s shard.Start) shard.EndCause {
		if c.age(s) > 300*time.Millisecond {
			return shard.EndDone
		}
		return ""
	}
	c.run(time.Second)
	return c
}

// Guards against a job whose record can't be written and that stays as it is for good, and with it the ends of other jobs' runs on the
// same workers, which are never acknowledged.
func TestJobWhoseRecordCannotBeWrittenFailsAlone(t *testing.T) {
	const refused, other = "0000000000000001", "0000000000000002"
	for name, tooLarge := range map[string]bool{"too large": true, "rejected": false} {
		t.Run(name, func(t *testing.T) {
			began := false
			c := newRefusingHarness(t, refused, tooLarge, func() bool { return began })
			wide := smallStep
			wide.Count = 6
			then := wide
			then.After = []int{0}
			c.add(workflow.Job{ID: refused, Queue: "q", Steps: []workflow.Step{wide, then}})
			c.waitFor(5*time.Second, func() bool { return len(c.running) == 6 })
			began = true
			c.run(time.Second)
			c.add(workflow.Job{ID: other, Queue: "q", Steps: []workflow.Step{wide, then}})
			c.run(15 * time.Second)
			state, _ := c.owner.State(refused)
			assert.Equal(t, state, workflow.StateFailed)
			state, _ = c.owner.State(other)
			assert.Equal(t, state, workflow.StateCompleted)
			for worker, ends := range c.listedAt {
				assert.Equal(t, len(ends), 0, "ends of %s are not acknowledged", worker)
			}
		})
	}
}

// Guards against jobs that fail because the store rejects all records for a while, and against starts that are sent without a record.
func TestJobsOutliveStoreThatRejectsAllRecords(t *testing.T) {
	const job = "0000000000000001"
	refuses := true
	c := newRefusingHarness(t, job, false, func() bool { return refuses })
	c.add(workflow.Job{ID: job, Queue: "q", Steps: []workflow.Step{smallStep}})
	c.run(20 * time.Second)
	assert.Equal(t, len(c.starts), 0, "no start is on record")
	refuses = false
	c.run(5 * time.Second)
	state, _ := c.owner.State(job)
	assert.Equal(t, state, workflow.StateCompleted)
}
