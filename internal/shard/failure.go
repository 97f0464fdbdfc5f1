package shard

import (
	"time"

	"github.com/laburnumridge/laburnumridge/internal/retrylimit"
	"github.com/laburnumridge/laburnumridge/internal/workflow"
)

// handleFailure processes the end of a run that failed.
func (o *Owner) handleFailure(now time.Time, at *attempt, failed workflow.Attempt) {
	w, t := at.worker, at.task
	t.failures = t.failures.WithRun(failed)
	o.observeRetry(retrylimit.EndCounted)
	t.avoidWorker = w.ID
	t.notBefore = now.Add(restartDelay)
	w.holdForRestart(now, t)
	o.markDirty(t.job)
	if !t.isExhausted() && !t.job.startPlanned && t.job.dirtySince.Equal(now) {
		// The next run would otherwise wait for the commit of the failure. Older changes of the job are not delayed.
		t.job.recordNotBefore = t.notBefore.Add(minPlaceInterval)
	}
	if w.health.runFailed(now, t.job.ID, at.sentAt) {
		o.logQuarantine(w)
	}
	o.checkLimit(t)
}
