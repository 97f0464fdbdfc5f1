package ledger

import "time"

// ContactFailed takes the news that a fence or heartbeat got no response; it is sent again when it is due.
func (o *Owner) ContactFailed(Contact) {}

// ContactRefused takes a worker's refusal of a fence or heartbeat with the epoch that the worker holds.
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

// Reported takes a worker's response to a fence or heartbeat; responses may arrive late, twice or out of order.
// It returns false if the response says nothing of who owns the shard now, so that a claim lease can't rely on it.
func (o *Owner) Reported(now time.Time, c Contact, r WorkerReport) bool {
	v := o.views[c.Worker]
	if o.deposed || v == nil || c.Seq <= v.lastSeq || v.oldBoots[r.BootID] {
		return false
	}
	if r.EpochCapable && r.Epoch != o.epoch {
		o.deposed = r.Epoch > o.epoch
		return false
	}
	// A worker forgets its epoch when it restarts, so a new boot is trusted only while no other owner can
	// have taken over: a later owner may have been proven that the earlier boot held no attempt.
	if !o.holdsLease(now) && (r.BootID != v.bootID || !r.EpochCapable) {
		return false
	}
	if r.BootID != v.bootID {
		o.rebooted(now, v)
		v.bootID = r.BootID
	}
	if c.Fence {
		v.lastContact = time.Time{}
	}
	v.capable, v.capacity, v.lastResponse, v.lastSeq, v.token = r.EpochCapable, r.Capacity, now, c.Seq, r.Token
	v.trusted = v.trusted || r.EpochCapable || c.SentAt.Sub(o.takenAt) >= o.timing.platformEnd()
	o.takeTasks(now, v, c, r.Tasks)
	return true
}

// Started takes the news that the worker runs the attempt.
func (o *Owner) Started(now time.Time, s Start) {
	if r := o.runOf(s.Task, s.Worker, s.Attempt); r != nil && r.phase == runStarting && r.answeredAt.IsZero() {
		r.answeredAt = now
	}
}

// StartRefused takes a worker's refusal to start with the last attempt of the task that it knows of.
func (o *Owner) StartRefused(now time.Time, s Start, last int, reason string) {
	r := o.runOf(s.Task, s.Worker, s.Attempt)
	if r == nil || r.phase != runStarting {
		return
	}
	if last >= s.Attempt {
		// The attempt may have run and ended: the next report tells.
		r.answeredAt, r.attempt = now, last
		return
	}
	// A duplicate of the start may arrive later, so the attempt is stopped before the task moves on.
	r.stopReason = reason
	r.holdUntil = now.Add(o.timing.RetryHold)
}

// Stopped takes a worker's response to a stop: the last attempt that it knows of, at least the stopped one.
func (o *Owner) Stopped(now time.Time, s Stop, t TaskReport) {
	r := o.runOf(s.Task, s.Worker, s.Attempt)
	if r == nil || !r.mayHold() || r.phase == runUnproven || t.Attempt != s.Attempt || t.Phase == PhaseRunning {
		return
	}
	o.settle(now, r, t)
}

func (o *Owner) rebooted(now time.Time, v *view) {
	if v.bootID == "" {
		return
	}
	if v.oldBoots == nil {
		v.oldBoots = map[string]bool{}
	}
	v.oldBoots[v.bootID] = true
	v.trusted, v.strays = false, map[TaskEnd]time.Time{}
	for _, r := range o.sortedRuns() {
		if r.worker == v.id && (r.phase == runStarting || r.phase == runRunning) {
			o.lost(r, "worker restarted", now)
		}
	}
}

func (o *Owner) runOf(task, worker string, attempt int) *run {
	if r := o.runs[task]; r != nil && r.worker == worker && r.attempt == attempt && !o.deposed {
		return r
	}
	return nil
}

// lost records proof that an attempt ended without a report of it.
func (o *Owner) lost(r *run, reason string, now time.Time) {
	o.settle(now, r, TaskReport{Task: r.id, Attempt: r.attempt, Phase: PhaseExpired, Reason: reason})
	// The worker may still report how the attempt ended.
	r.settled = r.attempt - 1
}

// settle records proof that the attempt of t ended and that no lower one can appear.
func (o *Owner) settle(now time.Time, r *run, t TaskReport) {
	r.attempt, r.settled, r.attemptKnown = t.Attempt, t.Attempt, true
	o.keepCheckpoint(r, t.Checkpoint)
	r.idle()
	if r.finished {
		return
	}
	if t.Phase == PhaseDone && !r.job.IsLatencyCritical() {
		o.finish(r, PhaseDone, t.Reason)
		return
	}
	if t.Phase == PhaseFailed || t.Phase == PhaseDone {
		r.holdUntil = now.Add(o.timing.RetryHold)
	}
	o.ended = append(o.ended, AttemptEnd{
		Attempt: t.Attempt, Phase: t.Phase, Reason: t.Reason, Task: r.id, Worker: r.worker,
	})
}

func (o *Owner) keepCheckpoint(r *run, checkpoint int64) {
	if checkpoint > r.checkpoint {
		r.checkpoint = checkpoint
		if !r.finished {
			o.propose(Checkpoint(r.id, checkpoint))
		}
	}
}

func (o *Owner) takeTasks(now time.Time, v *view, c Contact, tasks []TaskReport) {
	listed := map[string]bool{}
	strays := map[TaskEnd]time.Time{}
	v.acks = nil
	for _, t := range tasks {
		end := TaskEnd{Task: t.Task, Attempt: t.Attempt}
		r := o.runs[t.Task]
		if r != nil && r.worker != v.id {
			r = nil
		}
		if t.Phase != PhaseRunning {
			if r == nil || o.takeEnd(now, v, r, t) {
				v.acks = append(v.acks, end)
			}
		} else if r == nil || !o.takeRunning(now, v, r, t) {
			strays[end] = v.strays[end]
		}
		if r != nil && t.Attempt == r.attempt {
			listed[t.Task] = true
		}
	}
	v.strays = strays
	for _, r := range o.sortedRuns() {
		if r.worker != v.id || listed[r.id] {
			continue
		}
		if r.phase == runUnproven && v.trusted {
			r.idle()
		}
		// A report that was asked for before the start was answered may not list the attempt yet.
		if r.mayHold() && !r.answeredAt.IsZero() && c.SentAt.After(r.answeredAt) {
			o.lost(r, "worker does not know the attempt", now)
		}
	}
}

// takeEnd returns whether the worker may forget the end.
func (o *Owner) takeEnd(now time.Time, v *view, r *run, t TaskReport) bool {
	if r.phase == runUnproven && !v.trusted {
		return false
	}
	isLast := t.Attempt == r.attempt || t.Attempt > r.attempt && (r.phase == runUnproven || r.phase == runIdle)
	if isLast && t.Attempt > r.settled {
		o.settle(now, r, t)
	} else if r.phase == runUnproven {
		r.idle()
	}
	return !r.finished && r.checkpoint <= o.state.tasks[r.id].Checkpoint
}

// takeRunning returns whether the attempt runs by the ledger.
func (o *Owner) takeRunning(now time.Time, v *view, r *run, t TaskReport) bool {
	if r.phase == runUnproven {
		if !v.trusted {
			return true
		}
		r.idle()
		if t.Attempt > r.settled {
			r.attempt, r.attemptKnown, r.phase, r.answeredAt = t.Attempt, true, runRunning, now
		}
	}
	if r.phase == runIdle {
		r.attempt = max(r.attempt, t.Attempt)
		return false
	}
	if t.Attempt != r.attempt {
		return false
	}
	if r.phase == runStarting || r.answeredAt.IsZero() {
		r.phase, r.answeredAt = runRunning, now
	}
	o.keepCheckpoint(r, t.Checkpoint)
	return true
}
