package ledger

import (
	"fmt"
	"slices"
	"time"

	"github.com/laburnumridge/laburnumridge/internal/fleet"
)

// Tick returns what is to be done now. The host calls it several times a second and carries out the actions
// without delay; what it could not send it drops.
func (o *Owner) Tick(now time.Time) Actions {
	var a Actions
	if o.deposed {
		return a
	}
	if !o.takenAt.IsZero() && !o.HandedOver() {
		o.proveEnds(now)
		o.endWithdrawn()
		for _, v := range o.sortedViews() {
			if !o.MayAct(now, v.id) {
				continue
			}
			a.Contacts = o.contact(now, v, a.Contacts)
			if !o.draining {
				a.Stops = o.stopStrays(now, v, a.Stops)
			}
		}
		if !o.draining {
			a.Stops = o.stops(now, a.Stops)
			a.Starts = o.starts(now)
		}
	}
	a.Commit = o.nextCommit(now)
	a.Ended, o.ended = o.ended, nil
	return a
}

func (o *Owner) contact(now time.Time, v *view, out []Contact) []Contact {
	if !v.listed || now.Sub(v.lastContact) < o.timing.HeartbeatEvery {
		return out
	}
	o.seq++
	c := Contact{Epoch: o.epoch, SentAt: now, Seq: o.seq, Worker: v.id}
	if v.hasToken(now, o.timing) {
		c.Token, c.Acks = v.token, v.acks
	} else {
		c.Fence = true
	}
	v.lastContact = now
	return append(out, c)
}

// endWithdrawn proposes the end of bound tasks of withdrawn jobs once no attempt exists.
func (o *Owner) endWithdrawn() {
	for _, r := range o.sortedRuns() {
		j := o.state.jobs[r.job.ID]
		if j.Withdrawn && r.phase == runIdle && !r.finished && r.proposed == "" && r.worker != "" {
			o.finish(r, PhaseCancelled, j.Reason)
		}
	}
}

func (o *Owner) inStartOrder() []*run {
	out := o.sortedRuns()
	slices.SortStableFunc(out, func(a, b *run) int {
		if a.before(b) {
			return -1
		}
		if b.before(a) {
			return 1
		}
		return 0
	})
	return out
}

// proveEnds applies the proofs that come with time.
func (o *Owner) proveEnds(now time.Time) {
	for _, r := range o.sortedRuns() {
		if !r.mayHold() || r.worker == "" {
			continue
		}
		v := o.view(r.worker)
		if !v.lastResponse.IsZero() && now.Sub(v.lastResponse) < o.timing.leaseEnd() {
			continue
		}
		if r.phase != runUnproven {
			o.lost(r, "worker lease ended", now)
		} else if o.isPastEarlierOwners(now, v, r) {
			r.idle()
		}
	}
}

func (o *Owner) isPastEarlierOwners(now time.Time, v *view, r *run) bool {
	if o.takenAt.IsZero() {
		return false
	}
	since := now.Sub(o.takenAt)
	noEpochs := o.state.tasks[r.id].NoEpochs || v.bootID != "" && !v.capable
	return noEpochs && since >= o.timing.platformEnd() ||
		!v.absentSince.IsZero() && now.Sub(v.absentSince) >= o.timing.absentEnd() ||
		since >= o.timing.autonomyEnd()
}

func (o *Owner) start(now time.Time, v *view, r *run) Start {
	if t := o.state.tasks[r.id]; t.Worker != v.id || t.Phase != PhaseBound {
		o.violated("bind_before_start", fmt.Sprintf("task %s is %s on %q, not on %s", r.id, t.Phase, t.Worker, v.id))
	}
	r.sentAt = now
	return Start{
		Attempt: r.attempt, Checkpoint: r.checkpoint, Epoch: o.epoch, Job: r.job, Task: r.id,
		Token: v.token, Worker: v.id,
	}
}

// starts returns the attempts that fit now. A task that does not fit holds back those behind it, so that
// small tasks can't starve a large one; one that exceeds the whole worker holds back nothing.
func (o *Owner) starts(now time.Time) []Start {
	var out []Start
	running := map[string]fleet.Resources{}
	for worker, r := range o.Reservations() {
		running[worker] = r.Running
	}
	blocked, fresh := map[string]bool{}, map[string]bool{}
	for _, r := range o.inStartOrder() {
		v := o.views[r.worker]
		if v == nil || !v.mayStart(now, o.timing) || !o.MayAct(now, v.id) || r.stopReason != "" || r.closing {
			continue
		}
		if r.phase == runStarting && r.answeredAt.IsZero() && now.Sub(r.sentAt) >= o.timing.ResendEvery {
			out = append(out, o.start(now, v, r))
		}
		if !r.isBindable() || now.Before(r.holdUntil) || !r.job.Resources.FitsIn(v.capacity) || blocked[v.id] ||
			!o.startGate(v.id, r.job) {
			continue
		}
		sum := running[v.id].Add(r.job.Resources)
		if !sum.FitsIn(v.capacity) {
			blocked[v.id] = true
			continue
		}
		running[v.id], fresh[v.id] = sum, true
		r.phase = runStarting
		r.attempt++
		out = append(out, o.start(now, v, r))
	}
	after := o.Reservations()
	for worker := range fresh {
		if sum := after[worker].Running; !sum.FitsIn(o.views[worker].capacity) {
			o.violated("capacity", fmt.Sprintf("worker %s: running tasks take %s", worker, sum))
		}
	}
	return out
}

func (o *Owner) stops(now time.Time, out []Stop) []Stop {
	for _, r := range o.sortedRuns() {
		v := o.views[r.worker]
		if v == nil || !r.mayHold() || !v.trusted || r.phase == runUnproven || !o.MayAct(now, v.id) {
			continue
		}
		j := o.state.jobs[r.job.ID]
		if j.Withdrawn || j.Parked {
			r.stopReason = j.Reason
			if r.stopReason == "" {
				r.stopReason = "job closed"
			}
		} else if r.phase == runStarting && v.leaving && r.stopReason == "" {
			r.stopReason = "worker is leaving"
		}
		if r.stopReason != "" && now.Sub(r.stopSentAt) >= o.timing.ResendEvery {
			r.stopSentAt = now
			out = append(out, Stop{
				Attempt: r.attempt, Epoch: o.epoch, Reason: r.stopReason, Task: r.id, Worker: v.id,
			})
		}
	}
	return out
}

func (o *Owner) stopStrays(now time.Time, v *view, out []Stop) []Stop {
	for _, end := range sortedEnds(v.strays) {
		if now.Sub(v.strays[end]) >= o.timing.ResendEvery {
			v.strays[end] = now
			out = append(out, Stop{
				Attempt: end.Attempt, Epoch: o.epoch, Reason: "not in the ledger", Task: end.Task, Worker: v.id,
			})
		}
	}
	return out
}
