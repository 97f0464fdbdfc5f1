package shard

import (
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/laburnumridge/laburnumridge/internal/workercall"
	"github.com/laburnumridge/laburnumridge/internal/workflow"
)

// noteLateStarts notes the starts of an attempt that is removed which may still be carried out: its task must not run on another worker
// until they can't.
func (o *Owner) noteLateStarts(at *attempt) {
	until := at.starts.Until(o.now, o.timing.CallDelay)
	if at.isStartUnknown && at.phase == phaseInherited && at.listedIn == 0 {
		until = maxTime(until, o.acquiredAt.Add(o.timing.CallDelay))
	}
	if !o.now.Before(until) {
		return
	}
	t, w := at.task, at.worker
	t.lateStarts = t.lateStarts.Without(o.now).With(workercall.LateStart{Run: at.run, Until: until, Worker: w.ID})
	w.lateStartsUntil = maxTime(w.lateStartsUntil, until)
	o.log.WithFields(logrus.Fields{
		"decision": "late_start", "job": t.job.ID, "task": t.key.String(), "run": at.run, "worker": w.ID, "born": at.born,
		"until_in": until.Sub(o.now).String(),
	}).Warn("run has ended, but its worker may still carry out a start without a response in a later lifetime")
}

// hasLateStart reports whether a start of an earlier run of the task may still be carried out.
func (t *task) hasLateStart(now time.Time) bool { return now.Before(t.lateStarts.Until()) }

// placeBesideLateStart assigns a task to the worker that may carry out an earlier start of the task, which is found there before another
// worker is given the task.
func (o *Owner) placeBesideLateStart(now time.Time, t *task) {
	t.lateStarts = t.lateStarts.Without(now)
	o.waitUntil(t.lateStarts.Until())
	for _, w := range o.sortedWorkers() {
		if t.mayRunBesideLateStart(w) && o.canTake(now, w, t) {
			o.assign(t, w, t.run+1)
			return
		}
	}
}

// mayRunBesideLateStart reports whether the worker is the only one that may carry out a start of an earlier run of the task.
func (t *task) mayRunBesideLateStart(w *worker) bool {
	id, ok := t.lateStarts.Worker()
	return ok && id == w.ID
}

// noteUnansweredStarts notes that the starts in flight get no response any more: the shard is handed over.
func (o *Owner) noteUnansweredStarts(now time.Time) {
	for _, w := range o.sortedWorkers() {
		for _, at := range w.attempts {
			// The phase does not tell: after a restart of the worker a start in flight is one of an earlier lifetime.
			if starts := at.starts.WithoutResponses(now); starts != at.starts {
				at.starts = starts
				o.markDirty(at.task.job)
			}
		}
	}
}

// withholdsAcknowledgement reports whether the ends of a worker are not acknowledged yet because a start without a response may still be
// carried out there: a task must not start after an end of it counts, and a late acknowledgement must not reach what such a start began.
func (o *Owner) withholdsAcknowledgement(now time.Time, w *worker) bool {
	return now.Before(w.lateStartsUntil) || slices.ContainsFunc(w.attempts, func(at *attempt) bool {
		return now.Before(at.starts.LostUntil(o.timing.CallDelay))
	})
}

// recordLateStarts returns the starts without a response of an occurrence's tasks for the record of the job.
func (o *Owner) recordLateStarts(occ *occurrence) []workflow.LateStart {
	var out []workflow.LateStart
	for _, tasks := range occ.tasks {
		for _, t := range tasks {
			for _, at := range t.attempts {
				if o.now.Before(at.starts.LostUntil(o.timing.CallDelay)) {
					out = append(out, workflow.LateStart{Key: t.key, Run: at.run, Worker: at.worker.ID})
				}
			}
			for _, s := range t.lateStarts.Without(o.now) {
				out = append(out, workflow.LateStart{Key: t.key, Run: s.Run, Worker: s.Worker})
			}
		}
	}
	return out
}

// restoreLateStarts restores the starts without a response on record. The last owner may have sent them until the takeover.
func (o *Owner) restoreLateStarts(j *job, starts []workflow.LateStart) {
	until := o.acquiredAt.Add(o.timing.CallDelay)
	for _, s := range starts {
		t, w := o.task(j.ID, s.Key), o.workerByID(s.Worker)
		w.lateStartsUntil = maxTime(w.lateStartsUntil, until)
		if at := w.attemptOf(t, s.Run); at != nil {
			at.starts = at.starts.WithSent().WithResponse().WithSent().WithLoss(o.acquiredAt)
		} else if t != nil {
			t.lateStarts = t.lateStarts.With(workercall.LateStart{Run: s.Run, Until: until, Worker: s.Worker})
		}
	}
}
