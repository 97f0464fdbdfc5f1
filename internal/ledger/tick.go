package ledger

import (
	"fmt"
	"slices"
	"time"

	"github.com/laburnumridge/laburnumridge/internal/fleet"
)

// Tick returns the actions that are due. The host calls it several times a second and carries out the actions
// without delay. It drops messages that it can't send, because Tick returns them again.
func (o *Owner) Tick(now time.Time) Actions {
	var a Actions
	if o.deposed {
		return a
	}
	if !o.takeoverAt.IsZero() && !o.ReadyToHandOver() {
		o.settleTimedOut(now)
		o.proposeWithdrawnEnds()
		for _, v := range o.sortedViews() {
			if !o.MayAct(now, v.id) {
				continue
			}
			a.Contacts = o.appendContact(now, v, a.Contacts)
			if !o.handingOver {
				a.Stops = o.appendOrphanStops(now, v, a.Stops)
			}
		}
		if !o.handingOver {
			a.Stops = o.appendStops(now, a.Stops)
			a.Starts = o.nextStarts(now)
		}
	}
	a.Commit = o.nextCommit(now)
	a.Ended, o.endedAttempts = o.endedAttempts, nil
	return a
}

// appendContact appends a heartbeat to the worker if one is due, or a fence if there is no valid token of it.
func (o *Owner) appendContact(now time.Time, v *workerView, out []Contact) []Contact {
	if !v.listed || now.Sub(v.lastContact) < o.timing.HeartbeatInterval {
		return out
	}
	o.lastSeq++
	c := Contact{Epoch: o.epoch, SentAt: now, Seq: o.lastSeq, Worker: v.id}
	if v.hasToken(now, o.timing) {
		c.Token, c.Acks = v.token, v.acks
	} else {
		c.Fence = true
	}
	v.lastContact = now
	return append(out, c)
}

// proposeWithdrawnEnds proposes the end of bound tasks of withdrawn jobs that have no attempt any more.
func (o *Owner) proposeWithdrawnEnds() {
	for _, r := range o.sortedRuns() {
		j := o.state.jobs[r.job.ID]
		if j.Withdrawn && r.attemptState == attemptNone && !r.endProposed && r.proposedWorker == "" && r.worker != "" {
			o.proposeEnd(r, PhaseCancelled, j.Reason)
		}
	}
}

// inStartOrder returns the runs in the order of startsBefore.
func (o *Owner) inStartOrder() []*taskRun {
	out := o.sortedRuns()
	slices.SortStableFunc(out, func(a, b *taskRun) int {
		if a.startsBefore(b) {
			return -1
		}
		if b.startsBefore(a) {
			return 1
		}
		return 0
	})
	return out
}

// settleTimedOut settles attempts that must have ended by now: the lease of their worker has expired or, for
// attempts of earlier owners, no message of such an owner can have effect any more.
func (o *Owner) settleTimedOut(now time.Time) {
	for _, r := range o.sortedRuns() {
		if !r.mayHaveAttempt() || r.worker == "" {
			continue
		}
		v := o.ensureView(r.worker)
		if !v.lastResponse.IsZero() && now.Sub(v.lastResponse) < o.timing.workerLeaseTimeout() {
			continue
		}
		if r.attemptState != attemptUnverified {
			o.settleUnreported(r, "worker lease ended", now)
		} else if o.earlierOwnersExpired(now, v, r) {
			r.setNoAttempt()
		}
	}
}

// earlierOwnersExpired reports whether enough time has passed since the takeover, or since the worker left the
// host list, that no attempt of an earlier owner can run on the worker.
func (o *Owner) earlierOwnersExpired(now time.Time, v *workerView, r *taskRun) bool {
	if o.takeoverAt.IsZero() {
		return false
	}
	since := now.Sub(o.takeoverAt)
	noEpochs := o.state.tasks[r.id].NoEpochs || v.bootID != "" && !v.supportsEpochs
	return noEpochs && since >= o.timing.platformLeaseTimeout() ||
		!v.absentSince.IsZero() && now.Sub(v.absentSince) >= o.timing.absenceTimeout() ||
		since >= o.timing.autonomyTimeout()
}

// newStart returns the request that starts the current attempt, and checks that its binding is committed.
func (o *Owner) newStart(now time.Time, v *workerView, r *taskRun) Start {
	if t := o.state.tasks[r.id]; t.Worker != v.id || t.Phase != PhaseBound {
		o.reportViolation("bind_before_start", fmt.Sprintf("task %s is %s on %q, not on %s", r.id, t.Phase, t.Worker, v.id))
	}
	r.startSentAt = now
	return Start{
		Attempt: r.attempt, Checkpoint: r.checkpoint, Epoch: o.epoch, Job: r.job, Task: r.id,
		Token: v.token, Worker: v.id,
	}
}

// nextStarts returns the start requests to send, including those that are sent again. A task that does not fit
// beside what runs blocks later tasks of its worker, so that small tasks can't starve a large one. A task that
// exceeds the worker's whole capacity blocks none.
func (o *Owner) nextStarts(now time.Time) []Start {
	var out []Start
	running := map[string]fleet.Resources{}
	for worker, r := range o.Reservations() {
		running[worker] = r.Running
	}
	blocked, startedOn := map[string]bool{}, map[string]bool{}
	for _, r := range o.inStartOrder() {
		v := o.views[r.worker]
		if v == nil || !v.mayStart(now, o.timing) || !o.MayAct(now, v.id) || r.stopReason != "" || r.jobClosing {
			continue
		}
		if r.attemptState == attemptStarting && r.startAnsweredAt.IsZero() && now.Sub(r.startSentAt) >= o.timing.ResendInterval {
			out = append(out, o.newStart(now, v, r))
		}
		if !r.isBindable() || now.Before(r.notBefore) || !r.job.Resources.FitsIn(v.capacity) || blocked[v.id] ||
			!o.startAllowed(v.id, r.job) {
			continue
		}
		sum := running[v.id].Add(r.job.Resources)
		if !sum.FitsIn(v.capacity) {
			blocked[v.id] = true
			continue
		}
		running[v.id], startedOn[v.id] = sum, true
		r.attemptState = attemptStarting
		r.attempt++
		out = append(out, o.newStart(now, v, r))
	}
	after := o.Reservations()
	for worker := range startedOn {
		if sum := after[worker].Running; !sum.FitsIn(o.views[worker].capacity) {
			o.reportViolation("capacity", fmt.Sprintf("worker %s: running tasks take %s", worker, sum))
		}
	}
	return out
}

// appendStops appends stop requests for tasks that were evicted, whose start was refused, whose job was closed, or
// whose attempt is not reported yet by a worker that is leaving.
func (o *Owner) appendStops(now time.Time, out []Stop) []Stop {
	for _, r := range o.sortedRuns() {
		v := o.views[r.worker]
		if v == nil || !r.mayHaveAttempt() || !v.trusted || r.attemptState == attemptUnverified || !o.MayAct(now, v.id) {
			continue
		}
		j := o.state.jobs[r.job.ID]
		if j.Withdrawn || j.Parked {
			r.stopReason = j.Reason
			if r.stopReason == "" {
				r.stopReason = "job closed"
			}
		} else if r.attemptState == attemptStarting && v.leaving && r.stopReason == "" {
			r.stopReason = "worker is leaving"
		}
		if r.stopReason != "" && now.Sub(r.stopSentAt) >= o.timing.ResendInterval {
			r.stopSentAt = now
			out = append(out, Stop{
				Attempt: r.attempt, Epoch: o.epoch, Reason: r.stopReason, Task: r.id, Worker: v.id,
			})
		}
	}
	return out
}

// appendOrphanStops appends stop requests for attempts on the worker that must not run by the ledger.
func (o *Owner) appendOrphanStops(now time.Time, v *workerView, out []Stop) []Stop {
	for _, end := range sortedAttempts(v.orphans) {
		if now.Sub(v.orphans[end]) >= o.timing.ResendInterval {
			v.orphans[end] = now
			out = append(out, Stop{
				Attempt: end.Attempt, Epoch: o.epoch, Reason: "not in the ledger", Task: end.Task, Worker: v.id,
			})
		}
	}
	return out
}
