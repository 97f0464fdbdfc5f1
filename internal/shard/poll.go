package shard

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/laburnumridge/laburnumridge/internal/workercall"
	"github.com/laburnumridge/laburnumridge/internal/workflow"
)

// maxAckGap is the longest time since a worker's last answer after which its ends are still acknowledged. A worker that
// restarted in between counts its ends from 1 again, and would drop ends that are not recorded. A poll after a longer time is
// followed by one that acknowledges them, see Acknowledgement.
const maxAckGap = 600 * time.Millisecond

// duePolls returns the polls that are due. A worker is polled if it has runs, if it has ends to be acknowledged, if this owner does not
// know its state yet, or if it did not answer the last poll: it gets no tasks until it answers. A worker that only waits until its ends
// are recorded is polled when its lease has to be renewed: an end does not count if the lease expires before the end is acknowledged.
func (o *Owner) duePolls(now time.Time, a *Actions) {
	firstPolls := o.countFirstPolls(now)
	for _, w := range o.pollOrder() {
		if w.pollInFlight || w.Address == "" {
			continue
		}
		if !w.fenced && firstPolls >= maxFirstPolls {
			a.wakeAt(now.Add(firstPollTime))
			continue
		}
		o.releaseEnds(now, w, a)
		due := maxTime(w.nextPollAt, w.shunnedUntil)
		if !o.needsPoll(w) {
			if until := maxTime(w.lateStartsUntil, o.withheldUntil(now, w)); now.Before(until) {
				a.wakeAt(until)
			}
			if len(w.unrecordedEnds) == 0 && w.ackedEnd >= w.recordedEnd {
				continue
			}
			due = maxTime(due, w.idleRenewalAt(o.timing))
		}
		if now.Before(due) {
			a.wakeAt(due)
			continue
		}
		if !w.fenced {
			firstPolls++
		}
		if o.awaitsStarts(now, w, a) {
			continue
		}
		o.seq++
		w.pollInFlight, w.pollSeq, w.polledAt = true, o.seq, now
		p := Poll{Order: o.newOrder(w), Seq: o.seq, Until: w.renewLease(now, o.renewedAt, o.timing)}
		switch {
		case w.ackedEnd >= w.recordedEnd, o.withholdsAcknowledgement(now, w):
		case now.Sub(w.answeredAt) < maxAckGap:
			p.LastSeen, w.ackInFlight, w.ackBlockedSince = w.recordedEnd, true, time.Time{}
		default:
			p.omitsAcknowledgement = true
		}
		if w.fenced && len(w.attempts) > 0 && w.recordedEnd == w.lastEnd && w.ackBlockedSince.IsZero() {
			p.Wait = o.timing.PollWait
			if w.hasTaskOverTarget() {
				p.Wait = o.timing.OverTargetPollWait
			}
			if w.mixesBestEffortAndServing() {
				p.Wait = o.mixedPollWait(now, w)
			}
			if !w.longTailSince.IsZero() {
				p.Wait = 0 // further listings decide whether the worker is stalled
			}
		}
		w.noteCall(now, workercall.KindPoll, p.Until)
		a.Polls = append(a.Polls, p)
	}
}

// mixesBestEffortAndServing reports whether best-effort tasks run next to serving tasks, whose tail latency then has to be
// followed closely.
func (w *worker) mixesBestEffortAndServing() bool {
	bestEffort, serving := false, false
	for _, at := range w.attempts {
		bestEffort = bestEffort || at.task.step.BestEffort
		serving = serving || at.task.step.TailTarget > 0
	}
	return bestEffort && serving
}

// hasTaskOverTarget reports whether a serving task exceeded its latency target at the last poll.
func (w *worker) hasTaskOverTarget() bool {
	for _, at := range w.attempts {
		if at.over.IsOver() {
			return true
		}
	}
	return false
}

func (o *Owner) needsPoll(w *worker) bool {
	if !w.fenced {
		return w.registered || len(w.attempts) > 0
	}
	isLateStartOpen := !w.lateStartsUntil.IsZero() && !o.now.Before(w.lateStartsUntil)
	return w.ackedEnd < w.recordedEnd && !o.withholdsAcknowledgement(o.now, w) || w.orphans > 0 ||
		(w.pollFailures > 0 || isLateStartOpen) && w.registered || w.hasSentAttempts()
}

// Polled handles a worker's answer to a poll that was sent at sent.
func (o *Owner) Polled(now time.Time, p Poll, sent time.Time, list Listing) {
	w := o.workers[p.Worker]
	if w == nil {
		return
	}
	w.noteRenewalOutcome(now, p.Until, OutcomeDone, o.timing)
	w.life = w.life.WithRenewals(w.life.Renewals().Without(sent, o.timing.CallDelay))
	if p.Seq != w.pollSeq {
		return // superseded by a later poll
	}
	w.pollInFlight = false
	o.now = now
	w.ackInFlight = false
	if p.Token < w.fenceToken {
		return
	}
	if w.pollFailures > 0 {
		o.log.WithFields(logrus.Fields{"decision": "worker_regained", "worker": w.ID, "failures": w.pollFailures}).
			Info("worker answers polls again")
	}
	regained := w.pollFailures > 0
	w.pollFailures, w.refusal = 0, w.withAnswer()
	w.answeredAt = now
	w.nextPollAt = now.Add(o.timing.PollInterval)
	isNew := list.Born != 0 && w.life.Born() == 0
	life, err := w.life.WithListing(list.Born, list.Clock, sent, now)
	if err != nil {
		o.handleRestart(now, w, list.Born)
		return // the poll carried the token of the earlier lifetime
	}
	w.life = life.WithRenewalLost(life.IsRenewalLost() && p.Until == 0)
	if !w.fenced {
		w.fenced = true
		o.noteAcceptedToken(now, w, isNew)
		if len(w.attempts) > 0 {
			w.nextPollAt = now // renew the lease at once, as the worker's clock is now known
		}
	}
	if regained && (len(w.attempts) > 0 || len(w.unrecordedEnds) > 0) {
		w.nextPollAt = now // the lease was not renewed while the worker did not answer
	}
	if w.lastEnd > 0 {
		w.ackedEnd = max(w.ackedEnd, p.LastSeen)
	}
	o.handleEnds(now, w, list)
	if !sent.Before(w.lateStartsUntil) {
		w.lateStartsUntil = time.Time{} // the listing shows what a late start has begun
	}
	o.reconcileRunning(now, w, sent, list)
	w.view = nil
	o.contain(now, "pace", func() { o.controlPaces(now, w) })
	if w.lastEnd == w.recordedEnd && len(list.Ended) == 0 && len(w.attempts) > 0 && w.nextPollAt.After(now) && p.Wait > 0 {
		w.nextPollAt = now // the long poll timed out without an end, so no pause is needed
	}
	switch {
	case !w.nextPollAt.After(now):
	case !w.endsHeldUntil.IsZero(), o.withholdsAcknowledgement(now, w):
		w.nextPollAt = now.Add(o.timing.HeldPollInterval)
	case w.recordedEnd < w.lastEnd:
		w.nextPollAt = now.Add(o.timing.UnrecordedPollInterval)
	}
}

// pollForAcknowledgement brings the next poll of a worker forward once all its listed ends are recorded.
func (o *Owner) pollForAcknowledgement(w *worker) {
	if w.recordedEnd == w.lastEnd && w.pollFailures == 0 {
		w.nextPollAt = minTime(w.nextPollAt, w.answeredAt.Add(o.timing.PollInterval))
	}
}

// PollFailed handles a poll that was refused or not answered.
func (o *Owner) PollFailed(now time.Time, p Poll, outcome Outcome) {
	w := o.workers[p.Worker]
	if w == nil {
		return
	}
	w.noteRenewalOutcome(now, p.Until, outcome, o.timing)
	if p.Seq != w.pollSeq {
		return
	}
	w.pollInFlight, w.ackInFlight = false, false
	if outcome == OutcomeFenced && p.Token < o.orderToken(w) {
		w.nextPollAt = now // a call with a higher token, which was sent later, has overtaken the poll
		return
	}
	w.pollFailures++
	w.life = w.life.WithDoubt().WithRenewalLost(w.life.IsRenewalLost() || p.Until > 0)
	if p.LastSeen > 0 && outcome == OutcomeUnknown {
		o.outdateCalls(w) // starts from now on must not be reached by it in a later lifetime
	}
	w.nextPollAt = now.Add(o.timing.PollRetryDelay * time.Duration(min(w.pollFailures, 4)))
	if w.pollFailures == 1 {
		o.log.WithFields(o.lifetimeFields(now, w)).WithFields(logrus.Fields{
			"decision": "worker_lost", "outcome": outcome.String(), "runs": len(w.attempts),
		}).Warn("worker did not answer a poll")
		return
	}
	o.dropUnsent(w)
}

// dropUnsent removes the attempts on a worker that were not sent yet, so that their tasks are placed elsewhere. A single poll without
// an answer is no reason for that: a recorded attempt would have to be recorded again. The members of a gang are placed together.
func (o *Owner) dropUnsent(w *worker) {
	for _, at := range w.attempts {
		if at.isSent() {
			continue
		}
		dropped := []*attempt{at}
		if at.task.step.Gang {
			dropped = at.task.job.unsentAttempts(at.task.key)
		}
		for _, other := range dropped {
			o.removeAttempt(other, "worker does not answer")
		}
		o.markDirty(at.task.job)
		o.lastPlace = time.Time{} // a commit before the next placement would delay the record of the new plan
	}
}

func (o *Owner) handleEnds(now time.Time, w *worker, list Listing) {
	for _, e := range list.Ended {
		if e.Number <= w.lastEnd {
			continue
		}
		t := o.task(e.Job, e.Key)
		o.handleEnd(now, w, e, list.Born)
		o.trackEnd(now, w, e, t)
	}
	o.advanceRecordedEnd(now, w)
}

// handleEnd processes the end of a run that a lifetime of a worker lists.
func (o *Owner) handleEnd(now time.Time, w *worker, e EndRow, born int64) {
	t := o.task(e.Job, e.Key)
	if t == nil {
		return // the job has ended
	}
	failed := workflow.Attempt{Born: born, Run: e.Run, Worker: w.ID}
	var at *attempt
	for _, other := range t.attempts {
		if other.worker == w && other.run == e.Run {
			at = other
		}
	}
	if at == nil && (e.Cause != EndDone || t.done || t.isAway || len(t.attempts) > 0) {
		if e.Cause == EndFailed {
			o.handleLateFailure(w, t, e, failed)
		}
		return // the run already counts as ended
	}
	if e.Checkpoint != "" {
		t.checkpoint = e.Checkpoint
	}
	if at != nil {
		o.noteListed(at)
		if e.Cause == EndDone && !at.confirmedAt.IsZero() {
			times := &t.job.occurrences[t.key.Occurrence].times[t.key.Step]
			times.count++
			duration := time.Duration(float64(now.Sub(at.confirmedAt)) / o.slowdown(at))
			times.total += duration
			o.observeDuration(at, duration)
		}
		o.removeAttempt(at, string(e.Cause))
	}
	switch e.Cause {
	case EndDone:
		w.health.succeeded()
		o.completeTask(t)
	case EndFailed:
		o.handleFailure(now, at, failed)
	case EndGangTimeout, EndGangBroken, EndLeaseExpired, EndStopped:
	default:
		o.log.WithFields(logrus.Fields{"job": e.Job, "task": e.Key.String(), "cause": string(e.Cause)}).
			Warn("run ended with an unknown cause; restarting its task")
	}
}

// completeTask records a task as done. If one task of a gang is done, the whole gang is.
func (o *Owner) completeTask(t *task) {
	tasks := []*task{t}
	if t.step.Gang {
		tasks = t.job.occurrences[t.key.Occurrence].tasks[t.key.Step]
	}
	if t.step.LongRunning {
		return // long-running tasks run until the job is cancelled
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
		o.recordTaskDone(other)
	}
}

// task returns a task of an unfinished occurrence, or nil if there is none with this key.
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
