package shard

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/laburnumridge/laburnumridge/internal/workflow"
)

// maxAckGap is the longest pause since a worker's last answer after which it is told what it may forget. A worker that
// started anew meanwhile counts its ends from 1, and would forget ends that are not on record.
const maxAckGap = 600 * time.Millisecond

// duePolls returns the looks that are due: at workers that run something, have ends to be told of, or whose state is not
// known to this owner yet.
func (o *Owner) duePolls(now time.Time, a *Actions) {
	for _, w := range o.sortedWorkers() {
		if w.pollInFlight || w.Address == "" || !o.needsPoll(w) {
			continue
		}
		if now.Before(w.nextPollAt) {
			a.wakeAt(w.nextPollAt)
			continue
		}
		o.seq++
		w.pollInFlight, w.pollSeq = true, o.seq
		l := Look{Order: o.newOrder(w), Seq: o.seq, Until: w.renewLease(now, o.timing)}
		if now.Sub(w.answeredAt) < maxAckGap {
			l.LastSeen = w.recordedEnd
		}
		if w.fenced && len(w.attempts) > 0 && w.recordedEnd == w.lastEnd {
			l.Wait = o.timing.LookWait
			if w.mixesFillsAndServing() {
				l.Wait = o.timing.SharedLookWait
			}
			if w.hasTaskOverTarget() {
				l.Wait = o.timing.OverLookWait
			}
		}
		a.Looks = append(a.Looks, l)
	}
}

// mixesFillsAndServing reports whether tasks that fill run beside serving ones, whose tails have to be followed.
func (w *worker) mixesFillsAndServing() bool {
	fills, serves := false, false
	for _, at := range w.attempts {
		fills = fills || at.task.step.Fills
		serves = serves || at.task.step.TailTarget > 0
	}
	return fills && serves
}

// hasTaskOverTarget reports whether a serving task was over its target at the last look.
func (w *worker) hasTaskOverTarget() bool {
	for _, at := range w.attempts {
		if !at.overTargetSince.IsZero() {
			return true
		}
	}
	return false
}

func (o *Owner) needsPoll(w *worker) bool {
	if !w.fenced {
		return w.registered || len(w.attempts) > 0
	}
	if w.ackedEnd < w.recordedEnd || w.orphans > 0 {
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
	if w == nil || l.Seq != w.pollSeq {
		return // a later look was sent
	}
	w.pollInFlight = false
	o.now = now
	if l.Token != o.orderToken(w) {
		return
	}
	if w.pollFailures > 0 {
		o.log.WithFields(logrus.Fields{"decision": "worker_regained", "worker": w.ID, "failures": w.pollFailures}).
			Info("worker answers again")
	}
	regained := w.pollFailures > 0
	w.pollFailures = 0
	w.answeredAt = now
	w.nextPollAt = now.Add(o.timing.LookGap)
	if list.Born != 0 && w.incarnation != list.Born {
		if w.incarnation != 0 {
			o.handleRestart(now, w, list.Born)
		}
		w.incarnation = list.Born
	}
	w.observeClock(list.Clock, now)
	if !w.fenced {
		w.fenced = true
		if len(w.attempts) > 0 {
			w.nextPollAt = now // renew the lease at once, now that the clock is known
		}
	}
	if regained && len(w.attempts) > 0 {
		w.nextPollAt = now // the lease was not renewed meanwhile
	}
	if w.lastEnd > 0 {
		w.ackedEnd = max(w.ackedEnd, l.LastSeen)
	}
	o.handleEnds(now, w, list)
	o.reconcileRunning(now, w, sent, list)
	w.view = nil
	o.controlPaces(now, w)
	if w.lastEnd == w.recordedEnd && len(list.Ended) == 0 && len(w.attempts) > 0 && w.nextPollAt.After(now) && l.Wait > 0 {
		w.nextPollAt = now // the look waited in vain; nothing is gained by a pause
	}
}

// LookFailed takes the news that a look was refused or got no answer.
func (o *Owner) LookFailed(now time.Time, l Look, outcome Outcome) {
	w := o.workers[l.Worker]
	if w == nil || l.Seq != w.pollSeq {
		return
	}
	w.pollInFlight = false
	w.pollFailures++
	w.nextPollAt = now.Add(o.timing.LookRetry * time.Duration(min(w.pollFailures, 4)))
	if w.pollFailures == 1 {
		o.log.WithFields(logrus.Fields{
			"decision": "worker_lost", "worker": w.ID, "outcome": outcome.String(), "runs": len(w.attempts),
			"lease_over_in": w.leaseExpiry(o.timing).Sub(now).String(),
		}).Warn("worker does not answer")
	}
}

// handleRestart starts the counts of a worker anew; what its earlier lifetime ran has ended.
func (o *Owner) handleRestart(now time.Time, w *worker, born int64) {
	o.log.WithFields(logrus.Fields{
		"decision": "worker_reborn", "worker": w.ID, "runs": len(w.attempts), "born": born, "before": w.incarnation,
	}).Warn("worker started anew; what it ran before has ended")
	w.incarnation, w.lastEnd, w.recordedEnd, w.ackedEnd = born, 0, 0, 0
	w.leaseEnd, w.clock, w.clockAt, w.fenced = 0, 0, time.Time{}, false
	w.nextPollAt = time.Time{}
	w.health = health{}
	w.inheritedLeaseEnd = now.Add(o.timing.onSlowestClock(o.timing.MaxWorkerLease) + o.timing.LeaseMargin)
	for _, at := range w.attempts {
		// A start may have reached the new lifetime before this owner knew of it, so the next listing decides.
		if at.isSent() && at.phase != phaseSent {
			at.phase = phaseInherited
		}
	}
}

func (o *Owner) handleEnds(now time.Time, w *worker, list Listing) {
	for _, e := range list.Ended {
		if e.Number <= w.lastEnd {
			continue
		}
		w.lastEnd = e.Number
		o.handleEnd(now, w, e)
	}
}

// handleEnd takes the end of a run.
func (o *Owner) handleEnd(now time.Time, w *worker, e EndRow) {
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
		o.removeAttempt(at, string(e.Cause))
	}
	switch e.Cause {
	case EndDone:
		w.health.succeeded()
		o.completeTask(t)
	case EndFailed:
		o.handleFailure(now, w, t)
	case EndAlone, EndBroken, EndLapsed, EndStopped:
	default:
		o.log.WithFields(logrus.Fields{"job": e.Job, "task": e.Key.String(), "cause": string(e.Cause)}).
			Warn("cause of an end is not known; the task is started again")
	}
}

// completeTask records a task that is done; a gang is done as a whole.
func (o *Owner) completeTask(t *task) {
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
				o.removeAttempt(at, "gang is done")
			} else {
				o.stopRun(at, "another copy is done")
			}
		}
	}
	for _, other := range tasks {
		o.markTaskDone(other)
	}
}

func (o *Owner) handleFailure(now time.Time, w *worker, t *task) {
	t.failures++
	t.avoidWorker = w.ID
	t.notBefore = now.Add(restartDelay)
	o.markDirty(t.job)
	if w.health.failed(now) {
		o.logQuarantine(w)
	}
	limit := t.job.queue.MaxAttempts
	if t.step.LongRunning || limit <= 0 || t.failures < limit || t.job.final != "" {
		return
	}
	o.log.WithFields(logrus.Fields{"decision": "fail", "job": t.job.ID, "task": t.key.String(), "failures": t.failures}).
		Warn("task has failed as often as its queue allows")
	o.endJob(t.job, workflow.StateFailed, "job has failed")
}

func (o *Owner) reconcileRunning(now time.Time, w *worker, sent time.Time, list Listing) {
	listed := make(map[*attempt]bool, len(list.Running))
	w.orphans = 0
	for _, r := range list.Running {
		t := o.task(r.Job, r.Key)
		at := w.attemptOf(t, r.Run)
		if at == nil {
			o.stopOrphan(w, r)
			w.orphans++
			continue
		}
		listed[at] = true
		at.metric = r.Figure
		if r.Checkpoint != "" {
			t.checkpoint = r.Checkpoint
		}
		if at.phase == phaseSent || at.phase == phaseInherited {
			at.phase, at.confirmedAt = phaseRunning, now
		}
		if at.pace < 0 {
			at.pace = r.Percent
		}
	}
	if list.Truncated || w.recordedEnd < w.lastEnd && len(list.Ended) == 0 {
		return
	}
	for _, at := range w.attempts {
		switch {
		case listed[at], at.inFlight, !at.confirmedAt.Before(sent):
		case at.phase == phaseInherited:
			o.removeAttempt(at, "the earlier owner's start was not carried out")
		case at.phase == phaseRunning, at.phase == phaseStopped:
			o.removeAttempt(at, "the worker no longer lists the run")
		}
	}
}

// stopOrphan stops a run that the shard has no record of, or that counts as ended.
func (o *Owner) stopOrphan(w *worker, r RunningRow) {
	o.log.WithFields(logrus.Fields{
		"decision": "stop_stray", "job": r.Job, "task": r.Key.String(), "run": r.Run, "worker": w.ID,
	}).Warn("worker runs what it should not; it is stopped")
	o.orphanStops = append(o.orphanStops, Stop{Order: o.newOrder(w), Job: r.Job, Key: r.Key, Run: r.Run, Reason: "stray"})
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
