package shard

import (
	"github.com/sirupsen/logrus"

	"github.com/laburnumridge/laburnumridge/internal/retrylimit"
	"github.com/laburnumridge/laburnumridge/internal/workflow"
)

// maxRecordedFailedRuns is the number of failed runs that the progress of a job names, so that it fits in a value of the store.
const maxRecordedFailedRuns = 512

// handleLateFailure counts the failed end of a run that counts as ended already, unless an owner has counted it before.
func (o *Owner) handleLateFailure(w *worker, t *task, e EndRow, failed workflow.Attempt) {
	if t.done || t.step.LongRunning || t.job.final != "" {
		o.reportEndNotCounted(w, t, e, "no run of the task follows, or it has no limit")
		return
	}
	var isNew bool
	if t.failures, isNew = t.failures.WithListedRun(failed); !isNew {
		o.reportEndNotCounted(w, t, e, "it has been counted, or may be one of those whose number is on record")
		return
	}
	o.observeRetry(retrylimit.EndCountedLate)
	o.log.WithFields(t.failureFields()).WithFields(logrus.Fields{
		"decision": "count_end", "run": e.Run, "worker": w.ID, "born": failed.Born, "number": e.Number,
	}).Warn("a run that counted as ended has failed; counting its failure")
	o.tellOfFailures(t)
	o.checkLimit(t)
}

// mergeFailures adds the failed runs that another shard knows of a task, and reports whether this one did not.
func (o *Owner) mergeFailures(t *task, rec workflow.TaskRecord) bool {
	merged := t.failures.Merge(retrylimit.NewFailures(rec.Failures, rec.Attempts...))
	if merged.Equal(t.failures) {
		return false
	}
	t.failures = merged
	o.checkLimit(t)
	return true
}

// tellOfFailures makes the failed runs of a task be recorded, also for the shard that holds the task, and by a guest that returned it for the
// home.
func (o *Owner) tellOfFailures(t *task) {
	o.markDirty(t.job)
	s := t.job.shared
	if s == nil || !t.isAway {
		return
	}
	if s.isGuest {
		s.isReturning = true
	} else if tr := s.transfers[t.key]; tr != nil {
		s.guests[tr.shard] = true
	}
}

// knownFailedRuns returns the failed runs that are known of a task which they may keep from running again.
func (t *task) knownFailedRuns() []workflow.Attempt {
	if t.done || t.step.LongRunning || t.failures.Count() == 0 {
		return nil
	}
	return t.failures.Runs()
}

// appendFailed adds the failed runs that are known of the tasks of an occurrence.
func appendFailed(out []workflow.FailedRun, occ *occurrence) []workflow.FailedRun {
	for _, tasks := range occ.tasks {
		for _, t := range tasks {
			for _, run := range t.knownFailedRuns() {
				if len(out) < maxRecordedFailedRuns {
					out = append(out, workflow.FailedRun{Key: t.key, Run: run})
				}
			}
		}
	}
	return out
}

// restoreFailed restores the failed runs on record of a job's tasks.
func (o *Owner) restoreFailed(j *job, runs []workflow.FailedRun) {
	for _, r := range runs {
		if t := o.task(j.ID, r.Key); t != nil {
			t.failures = t.failures.Merge(retrylimit.NewFailures(0, r.Run))
		}
	}
}
