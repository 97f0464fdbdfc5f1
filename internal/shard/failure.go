package shard

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/laburnumridge/laburnumridge/internal/retrylimit"
	"github.com/laburnumridge/laburnumridge/internal/workflow"
)

// handleFailure processes the end of a run that failed.
func (o *Owner) handleFailure(now time.Time, at *attempt) {
	w, t := at.worker, at.task
	t.failures++
	o.observeRetry(retrylimit.EndCounted)
	t.avoidWorker = w.ID
	t.notBefore = now.Add(restartDelay)
	w.holdForRestart(now, t)
	o.markDirty(t.job)
	if !t.job.startPlanned && t.job.dirtySince.Equal(now) {
		// The next run would otherwise wait for the commit of the failure. Older changes of the job are not delayed.
		t.job.recordNotBefore = t.notBefore.Add(minPlaceInterval)
	}
	if w.health.runFailed(now, t.job.ID, at.sentAt) {
		o.logQuarantine(w)
	}
	o.failIfExhausted(t)
}

// isExhausted reports whether the task has had as many failed runs as its queue allows.
func (t *task) isExhausted() bool {
	limit := t.job.queue.MaxAttempts
	return !t.step.LongRunning && limit > 0 && t.failures >= limit
}

// failIfExhausted fails the job of a task that has reached the limit of failed runs. A guest returns the task, and the home fails the job.
func (o *Owner) failIfExhausted(t *task) {
	if !t.isExhausted() || t.job.final != "" || t.job.shared != nil && t.job.shared.isGuest {
		return
	}
	o.log.WithFields(logrus.Fields{"decision": "fail", "job": t.job.ID, "task": t.key.String(), "failures": t.failures}).
		Warn("task reached its queue's limit of failed runs; failing the job")
	o.endJob(t.job, workflow.StateFailed, "job has failed")
}
