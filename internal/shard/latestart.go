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
	until := o.startsOf(at).Until(o.now, o.timing.CallDelay)
	if !o.now.Before(until) {
		return
	}
	t, w := at.task, at.worker
	t.lateStarts, o.mayHaveLateStarts = t.lateStarts.With(workercall.LateStart{IsUnbegun: at.isUnbegun, Run: at.run, Until: until, Worker: w.ID}), true
	w.lateStartsUntil = maxTime(w.lateStartsUntil, until)
	w.withheldUntil = maxTime(w.withheldUntil, at.starts.Until(o.now, o.timing.CallDelay))
	o.log.WithFields(logrus.Fields{
		"decision": "late_start", "job": t.job.ID, "task": t.key.String(), "run": at.run, "worker": w.ID, "born": at.born,
		"until_in": until.Sub(o.now).String(),
	}).Warn("run has ended, but its worker may still carry out a start without a response in a later lifetime")
}

// startsOf returns the starts of an attempt that may still be carried out. The start of an attempt on record that an earlier owner sent may
// be one of them, unless a worker has listed the run.
func (o *Owner) startsOf(at *attempt) workercall.Pending {
	if at.isStartUnknown && at.phase == phaseInherited && at.listedIn == 0 {
		return at.starts.WithSent().WithLoss(o.acquiredAt)
	}
	return at.starts
}

// noteListed notes that a worker lists the run of an attempt, or its end: its only start has been carried out. The last owner, if it was
// killed, may have repeated a start of an owner before it.
func (o *Owner) noteListed(at *attempt) {
	if at.isStartUnknown && o.now.Before(o.lastClaim.Add(o.timing.CallDelay)) {
		at.starts = workercall.NewLost(o.lastClaim, true)
	}
	at.isStartUnknown, at.listedIn, at.starts = false, at.worker.life.Born(), at.starts.WithEffect()
}

// recordLoss makes the job's record say that a start of an attempt has no response. The start is repeated only then: of a single start, the
// next owner finds out by itself whether it has been carried out.
func (o *Owner) recordLoss(at *attempt) {
	o.markDirty(at.task.job)
	at.lossVersion = at.task.job.version
}

// isLossRecorded reports whether the record of the job says of each start of the attempt that has no response.
func (a *attempt) isLossRecorded() bool { return a.task.job.isRecorded(a.lossVersion) }

// lateRunsEnd returns when the runs have ended that starts began which were carried out until a time.
func (o *Owner) lateRunsEnd(until time.Time) time.Time {
	return until.Add(o.timing.LeaseBound(o.timing.MaxWorkerLease))
}

// isGone reports whether a worker has left the registry.
func (o *Owner) isGone(w *worker) bool { return o.isRegistryRead && !w.registered }

// hasLateStart reports whether a start of an earlier run of the task may still be carried out, or may have begun a run on a worker that has
// not been polled since. For long-running tasks, starts on workers that are gone don't count.
func (o *Owner) hasLateStart(now time.Time, t *task) bool {
	t.lateStarts = t.lateStarts.Without(func(s workercall.LateStart) bool {
		w := o.workers[s.Worker]
		isListed := w == nil || w.lateStartsUntil.IsZero()
		return !now.Before(s.Until) && (isListed || !now.Before(o.lateRunsEnd(s.Until)))
	})
	return slices.ContainsFunc(t.lateStarts, func(s workercall.LateStart) bool {
		w := o.workers[s.Worker]
		return w != nil && !(t.step.LongRunning && o.isGone(w))
	})
}

// placeLateStarted places the tasks that may run on one worker only because of a late start, before others take the room that they had there.
func (o *Owner) placeLateStarted(now time.Time) {
	if !o.mayHaveLateStarts {
		return
	}
	o.mayHaveLateStarts = false
	for _, j := range o.backlog {
		for _, t := range j.readyTasks() {
			if len(t.lateStarts) == 0 || !o.hasLateStart(now, t) {
				continue
			}
			o.mayHaveLateStarts = true
			if t.isWaiting() && !t.step.Gang && !now.Before(t.notBefore) {
				o.placeBesideLateStart(now, t)
			}
		}
	}
}

// placeBesideLateStart assigns a task to the worker that may carry out an earlier start of the task, which is found there before another
// worker is given the task. Another run of a task that does not last waits until that start can't be carried out any more.
func (o *Owner) placeBesideLateStart(now time.Time, t *task) {
	until := t.lateStarts.Until()
	if !now.Before(until) {
		until = o.lateRunsEnd(until)
	}
	o.waitUntil(until)
	id, ok := t.lateStarts.Worker()
	w := o.workers[id]
	if !ok || w == nil || !o.canTake(now, w, t) {
		return
	}
	switch {
	case t.lateStarts.AreUnbegun(t.run):
		o.assign(t, w, t.run)
	case t.step.LongRunning, !now.Before(t.lateStarts.Until()):
		// Long-running tasks don't wait, since they would have nothing running for too long: if this start is late as well, a later
		// lifetime may carry out both.
		o.assign(t, w, t.run+1)
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

// recordLateStarts returns the starts without a response of an occurrence's tasks for the record of the job.
func (o *Owner) recordLateStarts(occ *occurrence) []workflow.LateStart {
	var out []workflow.LateStart
	for _, tasks := range occ.tasks {
		for _, t := range tasks {
			for _, s := range o.lateStartsOf(t) {
				out = append(out, o.recordLateStart(t.key, s))
			}
		}
	}
	return out
}

func (o *Owner) recordLateStart(k workflow.TaskKey, s workercall.LateStart) workflow.LateStart {
	lost := s.Until.Add(-o.timing.CallDelay)
	return workflow.LateStart{Key: k, LostAt: o.wallClock().Add(lost.Sub(o.now)).UnixMilli(), Run: s.Run, Worker: s.Worker}
}

// recordedUntil returns until when a start on record may be carried out. The time of day on record may be off by clockDifference.
func (o *Owner) recordedUntil(s workflow.LateStart) time.Time {
	age := time.Duration(o.wallClock().UnixMilli()-s.LostAt)*time.Millisecond - clockDifference
	return o.acquiredAt.Add(o.timing.CallDelay - max(age, 0))
}

// lateStartsOf returns the lost starts of all runs of a task that can be carried out now or later, or that may have begun a run.
func (o *Owner) lateStartsOf(t *task) workercall.LateStarts {
	o.hasLateStart(o.now, t)
	out := t.lateStarts
	for _, at := range t.attempts {
		starts := o.startsOf(at)
		if until := starts.LostUntil(o.timing.CallDelay); !until.IsZero() {
			// A start that may have a response does not count as the only one: the run may have begun in an earlier lifetime.
			isSingle := starts.IsSingle() && !at.isStartUnknown
			out = out.With(workercall.LateStart{IsSingle: isSingle, Run: at.run, Until: until, Worker: at.worker.ID})
		}
	}
	return out
}

// restoreLateStarts restores the starts without a response of a job from what the last owner handed over, or else from the job's record.
func (o *Owner) restoreLateStarts(j *job, recorded []workflow.LateStart) {
	if !o.isAfterCrash() {
		for _, s := range o.inherited.Calls.LateStarts {
			if s.Job == j.ID {
				o.restoreLateStart(j, s.Key, workercall.LateStart{IsSingle: s.IsSingle, Run: s.Run, Until: o.acquiredAt.Add(s.Left), Worker: s.Worker})
			}
		}
		return
	}
	for _, s := range recorded {
		o.restoreLateStart(j, s.Key, workercall.LateStart{IsSingle: s.IsSingle, Run: s.Run, Until: o.recordedUntil(s), Worker: s.Worker})
	}
}

// isAfterCrash reports whether the last owner did not say which calls have no response.
func (o *Owner) isAfterCrash() bool { return o.inherited == nil || o.inherited.Calls == nil }

// restoreLateStart restores a late start of a task.
func (o *Owner) restoreLateStart(j *job, k workflow.TaskKey, s workercall.LateStart) {
	if !o.now.Before(o.lateRunsEnd(s.Until)) {
		return
	}
	t, w := o.task(j.ID, k), o.workerByID(s.Worker)
	if at := w.attemptOf(t, s.Run); at != nil {
		lost := s.Until.Add(-o.timing.CallDelay)
		if o.isAfterCrash() {
			lost = o.acquiredAt // the start may have been repeated since
		}
		at.isStartUnknown, at.starts = false, workercall.NewLost(lost, !s.IsSingle)
		return
	}
	w.lateStartsUntil = maxTime(w.lateStartsUntil, s.Until)
	w.withheldUntil = maxTime(w.withheldUntil, s.Until)
	if t != nil {
		t.lateStarts, o.mayHaveLateStarts = t.lateStarts.With(s), true
	} else if o.now.Before(s.Until) {
		j.endedStarts = append(j.endedStarts, endedStart{s, k})
	}
}
