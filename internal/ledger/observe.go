package ledger

import "time"

// ContactFailed records that a fence or heartbeat got no response. It does nothing, because Tick sends the next
// one when it is due.
func (o *Owner) ContactFailed(Contact) {}

// ContactRefused records that a worker refused a fence or heartbeat; epoch is the epoch that the worker has
// accepted. If that is higher than the owner's, the owner is deposed; otherwise the worker is fenced again.
func (o *Owner) ContactRefused(c Contact, epoch int64) {
	if epoch > o.epoch {
		o.deposed = true
		return
	}
	if v := o.views[c.Worker]; v != nil && v.token == c.Token {
		v.token = ""
		v.lastContact = time.Time{}
	}
}

// Reported applies a worker's response to a fence or heartbeat. Responses may arrive late, twice or out of order.
// It returns false if the response is ignored because it is no evidence that this owner still owns the shard; a
// claim lease must not be based on it.
func (o *Owner) Reported(now time.Time, c Contact, r WorkerReport) bool {
	v := o.views[c.Worker]
	if o.deposed || v == nil || c.Seq <= v.lastSeq || v.oldBoots[r.BootID] {
		return false
	}
	if r.EpochCapable && r.Epoch != o.epoch {
		o.deposed = r.Epoch > o.epoch
		return false
	}
	// A worker loses its epoch when it restarts, so a new boot does not show whether another owner has taken over.
	// It is accepted only while this owner holds its platform lease, since otherwise a later owner may already have
	// proof that the earlier boot ran no attempt and may have rebound its tasks.
	if !o.holdsLease(now) && (r.BootID != v.bootID || !r.EpochCapable) {
		return false
	}
	// A contact that was sent before the last response arrived may have been handled before that response was sent. Its boot may
	// then be an earlier one, even one that no response has named yet, whose attempts say nothing about those of the present boot.
	if r.BootID != v.bootID && c.Seq <= v.sentBeforeResponse {
		return false
	}
	if r.BootID != v.bootID {
		o.workerRestarted(now, v)
		v.bootID = r.BootID
	}
	if c.Fence {
		v.lastContact = time.Time{}
	}
	v.supportsEpochs, v.capacity, v.lastResponse, v.lastSeq, v.token = r.EpochCapable, r.Capacity, now, c.Seq, r.Token
	v.sentBeforeResponse = o.lastSeq
	v.trusted = v.trusted || r.EpochCapable || c.SentAt.Sub(o.takeoverAt) >= o.timing.platformLeaseTimeout()
	o.applyTaskReports(now, v, c, r.Tasks)
	return true
}

// Started records a worker's confirmation that it runs the attempt.
func (o *Owner) Started(now time.Time, s Start) {
	if r := o.runOfAttempt(s.Task, s.Worker, s.Attempt); r != nil && r.attemptState == attemptStarting && r.startAnsweredAt.IsZero() {
		r.startAnsweredAt = now
	}
}

// StartRefused records that a worker refused to start an attempt; lastAttempt is the highest attempt of the task
// that the worker has seen.
func (o *Owner) StartRefused(now time.Time, s Start, lastAttempt int, reason string) {
	r := o.runOfAttempt(s.Task, s.Worker, s.Attempt)
	if r == nil || r.attemptState != attemptStarting {
		return
	}
	if lastAttempt >= s.Attempt {
		// The attempt may have run and ended; the next report shows how.
		r.startAnsweredAt, r.attempt = now, lastAttempt
		return
	}
	// A duplicate of the start request may arrive later, so the attempt is stopped before the task may be bound to
	// another worker.
	r.stopReason = reason
	r.notBefore = now.Add(o.timing.RetryDelay)
}

// Stopped records a worker's response to a stop. t is the last attempt that the worker has seen, which is at least
// the stopped one.
func (o *Owner) Stopped(now time.Time, s Stop, t TaskReport) {
	r := o.runOfAttempt(s.Task, s.Worker, s.Attempt)
	if r == nil || !r.mayHaveAttempt() || r.attemptState == attemptUnverified || t.Attempt != s.Attempt || t.Phase == PhaseRunning {
		return
	}
	o.settle(now, r, t)
}

// workerRestarted records that a worker has a new boot id, which proves that its attempts of the earlier boot ended.
func (o *Owner) workerRestarted(now time.Time, v *workerView) {
	if v.bootID == "" {
		return
	}
	if v.oldBoots == nil {
		v.oldBoots = map[string]bool{}
	}
	v.oldBoots[v.bootID] = true
	v.trusted, v.orphans = false, map[AttemptRef]time.Time{}
	for _, r := range o.sortedRuns() {
		if r.worker == v.id && (r.attemptState == attemptStarting || r.attemptState == attemptRunning) {
			o.settleUnreported(r, "worker restarted", now)
		}
	}
}

// runOfAttempt returns the run of a task if the attempt is the current one on that worker, else nil.
func (o *Owner) runOfAttempt(task, worker string, attempt int) *taskRun {
	if r := o.runs[task]; r != nil && r.worker == worker && r.attempt == attempt && !o.deposed {
		return r
	}
	return nil
}

// settleUnreported records proof that the current attempt ended, for attempts whose end the worker has not
// reported.
func (o *Owner) settleUnreported(r *taskRun, reason string, now time.Time) {
	o.settle(now, r, TaskReport{Task: r.id, Attempt: r.attempt, Phase: PhaseExpired, Reason: reason})
	// A later report of how the attempt ended is still applied.
	r.settledAttempt = r.attempt - 1
}

// settle records proof that attempt t.Attempt ended and that no attempt with a lower number can appear. A task
// that is done ends for good; otherwise the attempt is added to the ended attempts.
func (o *Owner) settle(now time.Time, r *taskRun, t TaskReport) {
	r.attempt, r.settledAttempt, r.attemptKnown = t.Attempt, t.Attempt, true
	o.recordCheckpoint(r, t.Checkpoint)
	r.setNoAttempt()
	if r.endProposed {
		return
	}
	if t.Phase == PhaseDone && !r.job.IsLatencyCritical() {
		o.proposeEnd(r, PhaseDone, t.Reason)
		return
	}
	if t.Phase == PhaseFailed || t.Phase == PhaseDone {
		r.notBefore = now.Add(o.timing.RetryDelay)
	}
	o.endedAttempts = append(o.endedAttempts, AttemptEnd{
		Attempt: t.Attempt, Phase: t.Phase, Reason: t.Reason, Task: r.id, Worker: r.worker,
	})
}

// recordCheckpoint proposes to record a checkpoint that is above the last one. While an earlier checkpoint of the task waits
// for its batch, that one is replaced by nextBatch.
func (o *Owner) recordCheckpoint(r *taskRun, checkpoint int64) {
	if checkpoint <= r.checkpoint {
		return
	}
	r.checkpoint = checkpoint
	if !r.endProposed && !r.checkpointProposed && !o.handingOver {
		r.checkpointProposed = true
		o.propose(Checkpoint(r.id, checkpoint))
	}
}

// applyTaskReports applies the attempts that a worker reported, and settles those that it should have listed but did
// not.
func (o *Owner) applyTaskReports(now time.Time, v *workerView, c Contact, tasks []TaskReport) {
	listed := map[string]bool{}
	orphans := map[AttemptRef]time.Time{}
	v.acks = nil
	for _, t := range tasks {
		end := AttemptRef{Task: t.Task, Attempt: t.Attempt}
		r := o.runs[t.Task]
		if r != nil && r.worker != v.id {
			r = nil
		}
		if t.Phase != PhaseRunning {
			if r == nil || o.applyEndReport(now, v, r, t) {
				v.acks = append(v.acks, end)
			}
		} else if r == nil || !o.applyRunningReport(now, v, r, t) {
			orphans[end] = v.orphans[end]
		}
		if r != nil && t.Attempt == r.attempt {
			listed[t.Task] = true
		}
	}
	v.orphans = orphans
	for _, r := range o.sortedRuns() {
		if r.worker != v.id || listed[r.id] {
			continue
		}
		if r.attemptState == attemptUnverified && v.trusted {
			r.setNoAttempt()
		}
		// A report requested before the worker confirmed the start need not list the attempt yet.
		if r.mayHaveAttempt() && !r.startAnsweredAt.IsZero() && c.SentAt.After(r.startAnsweredAt) {
			o.settleUnreported(r, "worker does not know the attempt", now)
		}
	}
}

// applyEndReport applies the report of an attempt that ended. It returns true if nothing of it remains to be
// committed, so that the end may be acknowledged and the worker may forget it.
func (o *Owner) applyEndReport(now time.Time, v *workerView, r *taskRun, t TaskReport) bool {
	if r.attemptState == attemptUnverified && !v.trusted {
		return false
	}
	isLast := t.Attempt == r.attempt || t.Attempt > r.attempt && (r.attemptState == attemptUnverified || r.attemptState == attemptNone)
	if isLast && t.Attempt > r.settledAttempt {
		o.settle(now, r, t)
	} else if r.attemptState == attemptUnverified {
		r.setNoAttempt()
	}
	return !r.endProposed && r.checkpoint <= o.state.tasks[r.id].Checkpoint
}

// applyRunningReport applies the report of a running attempt. It returns false if the attempt must not run by the
// ledger, so that it is stopped.
func (o *Owner) applyRunningReport(now time.Time, v *workerView, r *taskRun, t TaskReport) bool {
	if r.attemptState == attemptUnverified {
		if !v.trusted {
			return true
		}
		r.setNoAttempt()
		if t.Attempt > r.settledAttempt {
			r.attempt, r.attemptKnown, r.attemptState, r.startAnsweredAt = t.Attempt, true, attemptRunning, now
		}
	}
	if r.attemptState == attemptNone {
		r.attempt = max(r.attempt, t.Attempt)
		return false
	}
	if t.Attempt != r.attempt {
		return false
	}
	if r.attemptState == attemptStarting || r.startAnsweredAt.IsZero() {
		r.attemptState, r.startAnsweredAt = attemptRunning, now
	}
	o.recordCheckpoint(r, t.Checkpoint)
	return true
}
