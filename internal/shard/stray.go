package shard

import (
	"time"

	"github.com/sirupsen/logrus"
)

// strayCause is why a run without a recorded attempt is stopped.
const strayCause = "stray"

// adoptStray returns an attempt that is being stopped for a run of a task that goes on and has no such attempt, or nil if there is no such
// task: the task must not run elsewhere before the run has ended.
func (o *Owner) adoptStray(now time.Time, w *worker, t *task, r RunningRow) *attempt {
	if t == nil || t.done || t.isAway || t.job.final != "" {
		return nil
	}
	o.logStray(w, r, t)
	at := &attempt{
		born: w.life.Born(), confirmedAt: now, pace: -1, phase: phaseStopping, run: r.Run, sentAt: now, stopCause: strayCause, task: t, worker: w,
	}
	t.run = max(t.run, r.Run)
	t.attempts = append(t.attempts, at)
	w.add(at)
	o.markDirty(t.job)
	return at
}

// logStray logs a run that is not on record, or that counts as ended.
func (o *Owner) logStray(w *worker, r RunningRow, t *task) {
	hasEnded := t != nil && r.Run <= t.run
	if hasEnded {
		o.observeLifetime(eventRunAfterEnd, 1)
	}
	o.log.WithFields(logrus.Fields{
		"decision": "stop_stray", "job": r.Job, "task": r.Key.String(), "run": r.Run, "worker": w.ID, "born": w.life.Born(),
		"counted_as_ended": hasEnded,
	}).Warn("worker runs a task without a recorded attempt; stopping the run")
}
