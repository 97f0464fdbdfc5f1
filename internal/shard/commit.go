package shard

import (
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/laburnumridge/laburnumridge/internal/workflow"
)

// maxJobsPerCommit limits the jobs in a commit, so that a commit needs few transactions.
const maxJobsPerCommit = 40

// nextCommit returns the records to write, or nil. There is at most one unanswered commit at a time.
func (o *Owner) nextCommit(now time.Time, a *Actions) *Commit {
	o.recordDueAnswers(now, a)
	if o.committing != nil || len(o.dirty) == 0 {
		return nil
	}
	if due := o.lastCommit.Add(o.timing.CommitGap); now.Before(due) {
		a.wakeAt(due)
		return nil
	}
	ready, delayed := o.splitDelayed(now, a)
	if len(ready) == 0 {
		return nil
	}
	n := min(len(ready), maxJobsPerCommit)
	if n < len(ready) {
		sortForCommit(now, ready)
	}
	c := &Commit{oldest: now}
	for _, j := range ready[:n] {
		j.dirty, c.oldest = false, minTime(c.oldest, j.dirtySince)
		j.restartPlanned, j.startPlanned = false, false
		w := JobWrite{Job: j.ID, Final: j.final, version: j.version}
		if j.shared != nil {
			w.Shared = o.sharedWrite(j)
		}
		if j.final != "" {
			w.Progress = o.finalProgress(j)
		} else {
			isCompact := o.isCompact(j)
			w.Progress = workflow.Encode(o.progress(j, c, isCompact))
			if isCompact && !j.isCompactRecorded {
				w.Record = j.compactRecord()
			}
		}
		c.Writes = append(c.Writes, w)
	}
	o.dirty = slices.Concat(ready[n:], delayed)
	slices.SortStableFunc(o.dirty, func(a, b *job) int { return a.dirtySince.Compare(b.dirtySince) })
	o.committing, o.lastCommit = c, now
	return c
}

// splitDelayed splits the changed jobs into those that may be written now and those whose restart is planned in a moment, or whose last
// write was rejected a moment ago.
func (o *Owner) splitDelayed(now time.Time, a *Actions) (ready, delayed []*job) {
	for _, j := range o.dirty {
		notBefore := j.writeNotBefore
		if j.final == "" {
			notBefore = maxTime(notBefore, j.recordNotBefore)
		}
		if now.Before(notBefore) {
			a.wakeAt(notBefore)
			delayed = append(delayed, j)
		} else {
			ready = append(ready, j)
		}
	}
	return ready, delayed
}

// uncommitted returns the number of jobs with changes that are not recorded yet, and when the first of these changes was
// made. The time is now if there are none.
func (o *Owner) uncommitted(now time.Time) (jobs int, oldest time.Time) {
	jobs, oldest = len(o.dirty), now
	for _, j := range o.dirty {
		oldest = minTime(oldest, j.dirtySince)
	}
	if o.committing != nil {
		jobs, oldest = jobs+len(o.committing.Writes), minTime(oldest, o.committing.oldest)
	}
	return jobs, oldest
}

// progress returns the record of a job, and adds the attempts to the commit that may start once it is written.
func (o *Owner) progress(j *job, c *Commit, isCompact bool) workflow.Progress {
	p := workflow.Progress{DoneThrough: j.doneThrough, LateStarts: o.recordEndedStarts(j), Settings: j.recordQueue()}
	if j.shared != nil {
		p.Guests, p.Transfers = j.shared.guestShards(), j.shared.record()
	}
	for _, occ := range j.openOccurrences() {
		records, done := occ.taskRecords(isCompact, c)
		p.Tasks = append(p.Tasks, records...)
		if len(done.Bits) > 0 {
			p.Done = append(p.Done, done)
		}
		p.LateStarts = append(p.LateStarts, o.recordLateStarts(occ)...)
		p.Answered = append(p.Answered, recordAnswered(occ)...)
		p.Failed = appendFailed(p.Failed, occ)
	}
	return p
}

func (t *task) record(c *Commit) workflow.TaskRecord {
	rec := workflow.TaskRecord{Key: t.key, Checkpoint: t.checkpoint, Done: t.done, Failures: t.failures.Count(), Run: t.run}
	for _, at := range t.attempts {
		rec.Attempts = append(rec.Attempts, workflow.Attempt{Worker: at.worker.ID, Born: at.lifetime(), Run: at.run})
		if at.phase == phasePlanned {
			c.planned = append(c.planned, at)
		}
	}
	return rec
}

// Committed handles the confirmation that the writes of a commit are durable, except those that failed for good.
func (o *Owner) Committed(now time.Time, c *Commit, failed ...FailedWrite) {
	o.committing = nil
	for _, at := range c.planned {
		if at.phase == phasePlanned && failedWriteOf(failed, at.task.job.ID) == nil {
			at.phase = phaseReady
			at.restart.recorded(now)
		}
	}
	for _, w := range c.Writes {
		f := failedWriteOf(failed, w.Job)
		if f == nil {
			o.lastWritten = now
		}
		j := o.jobs[w.Job]
		if j == nil {
			continue
		}
		if f != nil {
			o.handleFailedWrite(now, j, c, *f)
			continue
		}
		j.recordedVersion, j.rejectedWrites = w.version, 0
		j.isCompactRecorded = j.isCompactRecorded || w.Record != nil
		if w.Final != "" {
			j.finalRecorded = true
			o.log.WithFields(logrus.Fields{"decision": "final", "job": j.ID, "state": string(w.Final)}).
				Info("final state of the job was recorded")
			o.ended.put(now, j.ID, w.Final)
			o.forgetIfEnded(j)
		}
	}
	for _, w := range o.sortedWorkers() {
		if w.recordedEnd < w.lastEnd {
			o.advanceRecordedEnd(now, w)
			o.pollForAcknowledgement(w)
		}
	}
}
