package shard

import (
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/laburnumridge/laburnumridge/internal/workflow"
)

const (
	// rejectedWriteDelay is the time until a rejected write is tried again.
	rejectedWriteDelay = 2 * time.Second
	// maxRejectedWrites is how often in a row the store may reject the record of a job while it carries out other writes of the shard.
	maxRejectedWrites = 3
)

// FailedWrite is a write of a commit that the store did not carry out and would not if it were repeated.
type FailedWrite struct {
	Error error
	// IsGone is set if the job's own record has been deleted, as it is when the job ends.
	IsGone bool
	// IsTooLarge is set if the record is larger than a value of the store.
	IsTooLarge bool
	Job        string
}

// handleFailedWrite ends a job whose record can't be written: none of its starts may be sent, and the ends of its runs can't be
// acknowledged, which holds up those of other jobs on the same workers. A rejected record is tried again first, in a commit that waits for
// no other job. While the store rejects all records of the shard, no job is ended for it.
func (o *Owner) handleFailedWrite(now time.Time, j *job, c *Commit, f FailedWrite) {
	o.now = now
	if f.IsGone {
		o.dropJob(j)
		return
	}
	if j.rejectedWrites == 0 {
		j.rejectedSince = now
	}
	j.rejectedWrites++
	// The home of a shared job does not learn that a guest has ended it, so a guest goes on trying.
	isGuest := j.shared != nil && j.shared.isGuest
	ends := j.final == "" && !isGuest && (f.IsTooLarge || j.rejectedWrites >= maxRejectedWrites && o.lastWritten.After(j.rejectedSince))
	o.log.WithError(f.Error).WithFields(logrus.Fields{
		"decision": "record_failed", "job": j.ID, "too_large": f.IsTooLarge, "rejected": j.rejectedWrites, "fails": ends,
	}).Error("the record of a job can't be written")
	if j.shared != nil {
		j.shared.markAllChanged()
	}
	if ends {
		o.endJob(j, workflow.StateFailed, "record of the job can't be written")
		return
	}
	j.writeNotBefore = now.Add(rejectedWriteDelay)
	for _, at := range c.planned {
		if at.task.job == j && at.phase == phasePlanned {
			j.startPlanned = true
			j.restartPlanned = j.restartPlanned || at.task.step.LongRunning && at.run > 1
		}
	}
	o.markDirty(j)
}

// dropJob forgets a job without a record, since an earlier owner or its home has ended it. None of its planned starts is sent.
func (o *Owner) dropJob(j *job) {
	o.log.WithFields(logrus.Fields{"decision": "drop_job", "job": j.ID}).Warn("the record of a job has been deleted; forgetting the job")
	j.finalRecorded, j.dirty = true, false
	o.dirty = slices.DeleteFunc(o.dirty, func(d *job) bool { return d == j })
	o.endJob(j, workflow.StateCancelled, "record of the job has been deleted")
	o.forgetIfEnded(j)
}

// failedWriteOf returns the failure to write the record of a job, or nil.
func failedWriteOf(failed []FailedWrite, job string) *FailedWrite {
	for i := range failed {
		if failed[i].Job == job {
			return &failed[i]
		}
	}
	return nil
}
