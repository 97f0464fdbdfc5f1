package shard

import (
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/laburnumridge/laburnumridge/internal/retrylimit"
	"github.com/laburnumridge/laburnumridge/internal/workflow"
)

// isExhausted reports whether the task is not done and has had as many failed runs as its queue allows. It must not start again.
func (t *task) isExhausted() bool {
	limit := t.job.queue.MaxAttempts
	return !t.done && !t.step.LongRunning && limit > 0 && t.failures.Count() >= limit
}

// checkLimit makes the next step end the task if it is exhausted.
func (o *Owner) checkLimit(t *task) {
	if t.isExhausted() && !slices.Contains(o.exhausted, t) {
		o.exhausted = append(o.exhausted, t)
	}
}

// checkLimits checks all tasks: the last owner may have left exhausted ones, or the config may have a lower limit.
func (o *Owner) checkLimits() {
	if !o.areLimitsUnchecked {
		return
	}
	o.areLimitsUnchecked = false
	for _, j := range o.backlog {
		for _, t := range j.readyTasks() {
			o.checkLimit(t)
		}
	}
}

// endExhausted ends the exhausted tasks: the home fails their jobs, and a guest tells the home, which does. A run that is under way may
// still complete its task.
func (o *Owner) endExhausted() {
	o.checkLimits()
	o.exhausted = slices.DeleteFunc(o.exhausted, func(t *task) bool {
		j := t.job
		isGuest := j.shared != nil && j.shared.isGuest
		if o.jobs[j.ID] != j || j.final != "" || !t.isExhausted() || isGuest && t.isAway {
			return true
		}
		if len(t.attempts) > 0 {
			return false
		}
		if isGuest {
			j.shared.isReturning, j.recordNotBefore = true, time.Time{}
			o.markDirty(j)
			return true
		}
		o.log.WithFields(t.failureFields()).WithField("decision", "fail").
			Warn("task reached its queue's limit of failed runs; failing the job")
		o.endJob(j, workflow.StateFailed, "job has failed")
		return true
	})
}

// refuseRun reports a run that is not planned because its task is exhausted. No decision should get that far.
func (o *Owner) refuseRun(t *task, w *worker, run int) {
	o.observeRetry(retrylimit.RunRefused)
	o.log.WithFields(t.failureFields()).WithFields(logrus.Fields{"decision": "refuse_run", "run": run, "worker": w.ID}).
		Error("a run was to be planned for a task that has reached its queue's limit of failed runs")
}
