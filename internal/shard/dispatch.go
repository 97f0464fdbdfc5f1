package shard

import (
	"cmp"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/laburnumridge/laburnumridge/internal/workercall"
	"github.com/laburnumridge/laburnumridge/internal/workflow"
)

// resendDelay is the pause before an order that was refused, or whose answer was lost, is sent again.
const resendDelay = 300 * time.Millisecond

// dueOrders returns the starts and stops that are due.
func (o *Owner) dueOrders(now time.Time, a *Actions) {
	a.Stops, o.orphanStops = append(a.Stops, o.orphanStops...), nil
	for _, w := range o.sortedWorkers() {
		if w.isShunned(now) {
			a.wakeAt(w.shunnedUntil)
			continue
		}
		for _, at := range w.attempts {
			if at.inFlight {
				continue
			}
			if now.Before(at.retryAt) {
				a.wakeAt(at.retryAt)
				continue
			}
			switch at.phase {
			case phaseReady:
				if !w.registered && o.isRegistryRead || w.Draining || !w.fenced && w.pollFailures > 0 || at.task.job.final != "" ||
					at.task.isExhausted() {
					o.dropAttempt(at, "it can no longer be started")
					continue
				}
				if !w.fenced || w.pollFailures > 0 || !at.isLossRecorded() || w.isAckOverdue(now) {
					continue // the answer to a poll, or the record, is due
				}
				if !at.task.step.Gang && !w.hasRoomToSend(at) {
					o.awaitRoom(now, at, a)
					continue
				}
				if !o.refreshTicket(now, at) {
					if at.task.isAdvisedAgainst(w) {
						o.removeAttempt(at, "placement advice excludes the worker")
						o.markDirty(at.task.job)
					}
					continue // renewTickets requests a new one
				}
				a.Starts = append(a.Starts, o.startOrder(now, at))
			case phaseSent:
				if at.task.isExhausted() {
					o.stopRun(at, "task may not run again")
					a.wakeAt(now)
					continue
				}
				if !w.fenced || w.pollFailures > 0 || !at.isLossRecorded() || w.isAckOverdue(now) {
					continue // the next listing will show whether the run exists, or the record is due
				}
				a.Starts = append(a.Starts, o.startOrder(now, at))
			case phaseStopping:
				at.inFlight = true
				w.noteCall(now, workercall.KindStop, 0)
				a.Stops = append(a.Stops, Stop{
					Order: o.newOrder(w), Job: at.task.job.ID, Key: at.task.key, Run: at.run, Reason: at.stopCause,
				})
			case phasePlanned, phaseInherited, phaseRunning, phaseStopped:
			}
		}
	}
	// An owner that is short of processor time takes a second to send them, and long-running tasks are interrupted until theirs is sent.
	slices.SortStableFunc(a.Starts, func(x, y Start) int { return cmp.Compare(o.startRank(x), o.startRank(y)) })
}

// startRank ranks starts by the order in which they are sent: those of long-running tasks that ran before come first.
func (o *Owner) startRank(s Start) int {
	if t := o.task(s.Job, s.Key); t != nil && t.step.LongRunning && s.Run > 1 {
		return 0
	}
	return 1
}

func (o *Owner) startOrder(now time.Time, at *attempt) Start {
	if at.worker.ackInFlight {
		o.outdateCalls(at.worker) // the acknowledgement must not reach the run in a later lifetime
		at.worker.ackInFlight = false
	}
	at.inFlight = true
	at.sentAt, at.phase, at.born, at.starts = now, phaseSent, at.lifetime(), at.starts.WithSent()
	t := at.task
	t.started, t.job.started, t.lateStarts = true, true, t.lateStarts.WithBegun()
	o.reportStart(at)
	s := Start{
		Order: o.newOrder(at.worker), Checkpoint: t.checkpoint, Job: t.job.ID, Key: t.key, Run: at.run,
		Spec: t.job.Spec, Ticket: at.ticket, Until: at.worker.renewLease(now, o.renewedAt, o.timing),
	}
	at.worker.noteCall(now, workercall.KindStart, s.Until)
	return s
}

// Wants reports whether a start is still to be sent: its run was not stopped meanwhile.
func (o *Owner) Wants(s Start) bool {
	at := o.attempt(s.Worker, s.Job, s.Key, s.Run)
	return at != nil && at.phase == phaseSent
}

// Started handles the answer to a start.
func (o *Owner) Started(now time.Time, s Start, r Reply) {
	if w := o.workers[s.Worker]; w != nil {
		w.noteRenewalOutcome(now, s.Until, r.Outcome, o.timing)
	}
	at := o.attempt(s.Worker, s.Job, s.Key, s.Run)
	if at == nil {
		return
	}
	at.inFlight, at.starts = false, o.timing.withOutcome(at.starts, now, r.Outcome)
	if r.Outcome == OutcomeUnknown {
		o.recordLoss(at)
	}
	if s.Token < at.worker.fenceToken {
		at.retryAt = now.Add(resendDelay)
		return // the response may be of an earlier lifetime of the worker
	}
	if o.doubtsLifetime(now, at, r.Clock) {
		at.retryAt = now.Add(resendDelay)
		return
	}
	if at.phase != phaseSent && r.Outcome != OutcomeDone {
		return // the run is being stopped, and the answer to the stop decides
	}
	at.retryAt = now.Add(resendDelay)
	switch r.Outcome {
	case OutcomeDone:
		if at.phase == phaseSent {
			at.phase = phaseRunning
			o.observeStart(now.Sub(at.plannedAt))
			o.logRestart(now, at)
			o.paceStart(at)
		}
		at.confirmedAt, at.retryAt = now, time.Time{}
		o.noteAnswered(at)
		at.worker.nextPollAt = minTime(at.worker.nextPollAt, now.Add(o.timing.PollInterval))
	case OutcomeNotSent, OutcomeUnknown, OutcomeOldRun, OutcomeFenced:
		// Sending the same run again is safe: a worker that already executed the start does not start it twice.
		if r.Outcome == OutcomeOldRun {
			o.logRefusedStart(s, "old")
			o.stopRun(at, "worker refused the run as old")
		}
	case OutcomeLeaseExpired:
		// Only this call was refused. The run number can be reused with a new lease.
		o.logRefusedStart(s, "late")
	case OutcomeRefused, OutcomeNoRoom, OutcomeNoTicket, OutcomeWorkerRestarted:
		o.logRefusedStart(s, r.Outcome.String())
		if r.Outcome == OutcomeNoTicket {
			o.expireTicket(at)
		}
		if r.Outcome == OutcomeRefused {
			at.worker.health.failed(now)
		}
		// An earlier start of the same run may still be unanswered; the stop keeps it from running.
		o.stopRun(at, "worker refused the run")
	}
}

func (o *Owner) logRefusedStart(s Start, outcome string) {
	o.log.WithFields(logrus.Fields{
		"decision": "start_refused", "job": s.Job, "task": s.Key.String(), "run": s.Run, "worker": s.Worker, "born": s.Born,
		"outcome": outcome,
	}).Warn("worker refused a start")
}

// Stopped handles the answer to a stop.
func (o *Owner) Stopped(now time.Time, s Stop, r Reply) {
	at := o.attempt(s.Worker, s.Job, s.Key, s.Run)
	if at == nil {
		return
	}
	at.inFlight = false
	if s.Token < at.worker.fenceToken {
		at.retryAt = now.Add(resendDelay)
		return // the response may be of an earlier lifetime of the worker
	}
	if r.Outcome != OutcomeDone {
		at.retryAt = now.Add(resendDelay)
		return
	}
	at.phase, at.confirmedAt = phaseStopped, now
	at.worker.nextPollAt = minTime(at.worker.nextPollAt, now.Add(o.timing.PollInterval))
}

func (o *Owner) attempt(worker, job string, k workflow.TaskKey, run int) *attempt {
	w := o.workers[worker]
	if w == nil {
		return nil
	}
	return w.attemptOf(o.task(job, k), run)
}

func minTime(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
