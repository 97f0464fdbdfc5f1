package shard

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/laburnumridge/laburnumridge/internal/workflow"
)

// contactGap is the longest pause since a worker's last answer after which it is told what it may forget. A worker that
// started anew meanwhile counts its ends from 1, and would forget ends that are not on record.
const contactGap = 600 * time.Millisecond

// looks returns the looks that are due: at workers that run something, have ends to be told of, or whose state is not
// known to this owner yet.
func (o *Owner) looks(now time.Time, a *Actions) {
	for _, w := range o.sortedWorkers() {
		if w.lookInFlight || w.Address == "" || !o.needsLook(w) {
			continue
		}
		if now.Before(w.lookDue) {
			a.wakeAt(w.lookDue)
			continue
		}
		o.seq++
		w.lookInFlight, w.lookSeq = true, o.seq
		l := Look{Order: o.order(w), Seq: o.seq, Until: w.leaseUntil(now, o.timing)}
		if now.Sub(w.answeredAt) < contactGap {
			l.LastSeen = w.noted
		}
		if w.fenced && len(w.attempts) > 0 && w.noted == w.seen {
			l.Wait = o.timing.LookWait
			if w.isShared() {
				l.Wait = o.timing.SharedLookWait
			}
			if w.isOver() {
				l.Wait = o.timing.OverLookWait
			}
		}
		a.Looks = append(a.Looks, l)
	}
}

// isShared reports whether tasks that fill run beside serving ones, whose tails have to be followed.
func (w *worker) isShared() bool {
	fills, serves := false, false
	for _, at := range w.attempts {
		fills = fills || at.task.step.Fills
		serves = serves || at.task.step.TailTarget > 0
	}
	return fills && serves
}

// isOver reports whether a serving task was over its target at the last look.
func (w *worker) isOver() bool {
	for _, at := range w.attempts {
		if !at.overSince.IsZero() {
			return true
		}
	}
	return false
}

func (o *Owner) needsLook(w *worker) bool {
	if !w.fenced {
		return w.present || len(w.attempts) > 0
	}
	if w.told < w.noted || w.strays > 0 {
		return true
	}
	for _, at := range w.attempts {
		if at.isSent() {
			return true
		}
	}
	return false
}

// Looked takes a worker's answer to a look that was sent at sent.
func (o *Owner) Looked(now time.Time, l Look, sent time.Time, list Listing) {
	w := o.workers[l.Worker]
	if w == nil || l.Seq != w.lookSeq {
		return // a later look was sent
	}
	w.lookInFlight = false
	o.now = now
	if l.Token != o.tokenFor(w) {
		return
	}
	if w.lookFailures > 0 {
		o.log.WithFields(logrus.Fields{"decision": "worker_regained", "worker": w.ID, "failures": w.lookFailures}).
			Info("worker answers again")
	}
	regained := w.lookFailures > 0
	w.lookFailures = 0
	w.answeredAt = now
	w.lookDue = now.Add(o.timing.LookGap)
	if list.Born != 0 && w.born != list.Born {
		if w.born != 0 {
			o.reborn(now, w, list.Born)
		}
		w.born = list.Born
	}
	w.observeClock(list.Clock, now)
	if !w.fenced {
		w.fenced = true
		if len(w.attempts) > 0 {
			w.lookDue = now // renew the lease at once, now that the clock is known
		}
	}
	if regained && len(w.attempts) > 0 {
		w.lookDue = now // the lease was not renewed meanwhile
	}
	if w.seen > 0 {
		w.told = max(w.told, l.LastSeen)
	}
	o.readEnds(now, w, list)
	o.readRunning(now, w, sent, list)
	w.view = nil
	o.control(now, w)
	if w.seen == w.noted && len(list.Ended) == 0 && len(w.attempts) > 0 && w.lookDue.After(now) && l.Wait > 0 {
		w.lookDue = now // the look waited in vain; nothing is gained by a pause
	}
}

// LookFailed takes the news that a look was refused or got no answer.
func (o *Owner) LookFailed(now time.Time, l Look, outcome Outcome) {
	w := o.workers[l.Worker]
	if w == nil || l.Seq != w.lookSeq {
		return
	}
	w.lookInFlight = false
	w.lookFailures++
	w.lookDue = now.Add(o.timing.LookRetry * time.Duration(min(w.lookFailures, 4)))
	if w.lookFailures == 1 {
		o.log.WithFields(logrus.Fields{
			"decision": "worker_lost", "worker": w.ID, "outcome": outcome.String(), "runs": len(w.attempts),
			"lease_over_in": w.leaseOver(o.timing).Sub(now).String(),
		}).Warn("worker does not answer")
	}
}

// reborn starts the counts of a worker anew; what its earlier lifetime ran has ended.
func (o *Owner) reborn(now time.Time, w *worker, born int64) {
	o.log.WithFields(logrus.Fields{
		"decision": "worker_reborn", "worker": w.ID, "runs": len(w.attempts), "born": born, "before": w.born,
	}).Warn("worker started anew; what it ran before has ended")
	w.born, w.seen, w.noted, w.told = born, 0, 0, 0
	w.until, w.clock, w.clockAt, w.fenced = 0, 0, time.Time{}, false
	w.lookDue = time.Time{}
	w.health = health{}
	w.inheritedUntil = now.Add(o.timing.slowest(o.timing.MaxWorkerLease) + o.timing.LeaseMargin)
	for _, at := range w.attempts {
		// A start may have reached the new lifetime before this owner knew of it, so the next listing decides.
		if at.isSent() && at.phase != phaseSent {
			at.phase = phaseInherited
		}
	}
}

func (o *Owner) readEnds(now time.Time, w *worker, list Listing) {
	for _, e := range list.Ended {
		if e.Number <= w.seen {
			continue
		}
		w.seen = e.Number
		o.takeEnd(now, w, e)
	}
}

// takeEnd takes the end of a run.
func (o *Owner) takeEnd(now time.Time, w *worker, e EndRow) {
	t := o.task(e.Job, e.Key)
	if t == nil {
		return // of a job that has ended
	}
	var at *attempt
	for _, other := range t.attempts {
		if other.worker == w && other.run == e.Run {
			at = other
		}
	}
	if at == nil && (e.Cause != EndDone || t.done || len(t.attempts) > 0) {
		return // of a run that counted as ended
	}
	if e.Checkpoint != "" {
		t.checkpoint = e.Checkpoint
	}
	if at != nil {
		if e.Cause == EndDone && !at.confirmedAt.IsZero() {
			times := &t.job.occurrences[t.key.Occurrence].times[t.key.Step]
			times.count++
			times.total += now.Sub(at.confirmedAt)
		}
		o.drop(at, string(e.Cause))
	}
	switch e.Cause {
	case EndDone:
		w.health.succeeded()
		o.done(t)
	case EndFailed:
		o.failedRun(now, w, t)
	case EndAlone, EndBroken, EndLapsed, EndStopped:
	default:
		o.log.WithFields(logrus.Fields{"job": e.Job, "task": e.Key.String(), "cause": string(e.Cause)}).
			Warn("cause of an end is not known; the task is started again")
	}
}

// done records a task that is done; a gang is done as a whole.
func (o *Owner) done(t *task) {
	tasks := []*task{t}
	if t.step.Gang {
		tasks = t.job.occurrences[t.key.Occurrence].tasks[t.key.Step]
	}
	if t.step.LongRunning {
		return // it has to run until the job is cancelled
	}
	for _, other := range tasks {
		for _, at := range append([]*attempt(nil), other.attempts...) {
			if t.step.Gang {
				o.drop(at, "gang is done")
			} else {
				o.stop(at, "another copy is done")
			}
		}
	}
	for _, other := range tasks {
		o.taskDone(other)
	}
}

func (o *Owner) failedRun(now time.Time, w *worker, t *task) {
	t.failures++
	t.avoid = w.ID
	t.notBefore = now.Add(failurePause)
	o.mark(t.job)
	if w.health.failed(now) {
		o.logQuarantine(w)
	}
	limit := t.job.queue.MaxAttempts
	if t.step.LongRunning || limit <= 0 || t.failures < limit || t.job.final != "" {
		return
	}
	o.log.WithFields(logrus.Fields{"decision": "fail", "job": t.job.ID, "task": t.key.String(), "failures": t.failures}).
		Warn("task has failed as often as its queue allows")
	o.end(t.job, workflow.StateFailed, "job has failed")
}

func (o *Owner) readRunning(now time.Time, w *worker, sent time.Time, list Listing) {
	listed := make(map[*attempt]bool, len(list.Running))
	w.strays = 0
	for _, r := range list.Running {
		t := o.task(r.Job, r.Key)
		at := w.attemptOf(t, r.Run)
		if at == nil {
			o.stray(w, r)
			w.strays++
			continue
		}
		listed[at] = true
		at.figure = r.Figure
		if r.Checkpoint != "" {
			t.checkpoint = r.Checkpoint
		}
		if at.phase == phaseSent || at.phase == phaseInherited {
			at.phase, at.confirmedAt = phaseRunning, now
		}
		if at.paced < 0 {
			at.paced = r.Percent
		}
	}
	if list.Truncated || w.noted < w.seen && len(list.Ended) == 0 {
		return
	}
	for _, at := range w.attempts {
		switch {
		case listed[at], at.inFlight, !at.confirmedAt.Before(sent):
		case at.phase == phaseInherited:
			o.drop(at, "the earlier owner's start was not carried out")
		case at.phase == phaseRunning, at.phase == phaseStopped:
			o.drop(at, "the worker no longer lists the run")
		}
	}
}

// stray stops a run that the shard has no record of, or that counts as ended.
func (o *Owner) stray(w *worker, r RunningRow) {
	o.log.WithFields(logrus.Fields{
		"decision": "stop_stray", "job": r.Job, "task": r.Key.String(), "run": r.Run, "worker": w.ID,
	}).Warn("worker runs what it should not; it is stopped")
	o.strays = append(o.strays, Stop{Order: o.order(w), Job: r.Job, Key: r.Key, Run: r.Run, Reason: "stray"})
}

func (w *worker) attemptOf(t *task, run int) *attempt {
	if t == nil {
		return nil
	}
	for _, at := range t.attempts {
		if at.worker == w && at.run == run {
			return at
		}
	}
	return nil
}

// task returns an open task, nil if the shard has none of that name.
func (o *Owner) task(id string, k workflow.TaskKey) *task {
	j := o.jobs[id]
	if j == nil {
		return nil
	}
	occ := j.occurrences[k.Occurrence]
	if occ == nil || k.Step < 0 || k.Step >= len(occ.tasks) || k.Index < 0 || k.Index >= len(occ.tasks[k.Step]) {
		return nil
	}
	return occ.tasks[k.Step][k.Index]
}
