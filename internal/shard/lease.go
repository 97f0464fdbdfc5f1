package shard

import (
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/laburnumridge/laburnumridge/internal/workercall"
)

// Origins of bounds for the end of a worker's lease.
const (
	// leaseFromGrant: the latest grant of this owner.
	leaseFromGrant workercall.Origin = "grant"
	// leaseFromTakeover: the takeover of the shard. An earlier owner may have granted the longest lease just before it.
	leaseFromTakeover workercall.Origin = "takeover"
	// leaseFromClaim: the takeover of the shard, by what the claims of earlier owners say of the leases that they requested.
	leaseFromClaim workercall.Origin = "claim"
	// leaseFromRecentRestart: the takeover of the shard, as the worker restarted so recently that calls for an earlier lifetime may have given
	// it a longer lease than the claims say.
	leaseFromRecentRestart workercall.Origin = "recent_restart"
	// leaseFromHandover: the latest grant of the last owner, or of an owner before it.
	leaseFromHandover workercall.Origin = "handover"
	// leaseFromRefusal: the moment at which this owner got a new token because the worker had refused the last one.
	leaseFromRefusal workercall.Origin = "refusal"
	// leaseFromLateStart: the moment until which a later lifetime of the worker can carry out a start that has no response.
	leaseFromLateStart workercall.Origin = "late_start"
	// leaseFromWorkerRestart: the moment until which calls for an earlier lifetime of the worker can have renewed its lease.
	leaseFromWorkerRestart workercall.Origin = "worker_restart"
)

// longestLeaseFrom returns the bound for a lease that was granted at a time or earlier.
func (t Timing) longestLeaseFrom(granted time.Time, origin workercall.Origin) workercall.Bound {
	return workercall.Bound{End: granted.Add(t.LeaseBound(t.MaxWorkerLease)), Origin: origin}
}

// leaseBound returns the time by which everything has certainly ended that the lifetime of the worker which the owner knows runs, provided
// that nothing more is sent. Calls for that lifetime that are executed late don't extend it, since the lease end that they carry is
// absolute. Those for an earlier lifetime are refused once the worker has answered this owner.
func (o *Owner) leaseBound(w *worker) workercall.Bound {
	bound := w.life.Inherited()
	if bound.Origin == leaseFromClaim && o.mayExceedRequests(w) {
		bound = bound.Later(o.timing.longestLeaseFrom(o.acquiredAt, leaseFromRecentRestart))
	}
	if left, from, ok := w.life.Granted(); ok {
		bound = bound.Later(workercall.Bound{End: from.Add(o.timing.onSlowestClock(left) + o.timing.LeaseMargin), Origin: leaseFromGrant})
	}
	return bound
}

// mayExceedRequests reports whether calls for an earlier lifetime of a worker can have given the one that the owner knows a longer lease
// than any owner has requested, as of the takeover: they name a lease end on another clock, which the worker shortens to the longest lease.
func (o *Owner) mayExceedRequests(w *worker) bool {
	born := max(w.life.Born(), w.Born)
	age := o.wallClock().Sub(time.UnixMilli(born)) - o.now.Sub(o.acquiredAt)
	return born != 0 && age < o.timing.restartMemory()
}

// clockDifference bounds how much the times of day of a worker and of an owner differ.
const clockDifference = 10 * time.Second

// noteAcceptedToken bounds what calls for an earlier lifetime of a worker did to the lease of the present one until it accepted this owner's
// token: they name times on another clock, and the worker shortens the lease to the longest. If this is the first lifetime that the owner
// knows of, owners before it may know an earlier one, and their calls can be carried out for CallDelay after the restart.
func (o *Owner) noteAcceptedToken(now time.Time, w *worker, isFirst bool) {
	last := now
	if !w.life.IsUnreached() {
		if !isFirst {
			return
		}
		age, _ := w.life.Age(o.wallClock())
		last = minTime(now, now.Add(o.timing.CallDelay+clockDifference-age))
	}
	w.life = w.life.WithReached(o.timing.longestLeaseFrom(last, leaseFromWorkerRestart))
}

// endBound returns the bound for the end of a run, given the one for the lease of the lifetime that the owner knows. A later lifetime may
// carry out a start that has no response, and then the renewals under way. A worker that has left the registry counts as gone for its
// long-running tasks, which would otherwise have nothing running for too long, and for starts of which only a crashed owner knew whether they
// have a response.
func (o *Owner) endBound(now time.Time, at *attempt, lease workercall.Bound) workercall.Bound {
	starts := o.startsOf(at)
	if o.isGone(at.worker) {
		if at.task.step.LongRunning {
			return lease
		}
		starts = at.starts
	}
	until := starts.Until(now, o.timing.CallDelay)
	lifetime := max(at.worker.life.Born(), at.worker.Born) // the registry may tell of a restart before the worker does
	isOfEarlierLifetime := at.phase == phaseInherited && at.born != lifetime && lifetime != 0
	if isOfEarlierLifetime {
		// A handover does not name the renewals that got no response, and after a crash nothing names the last starts.
		until = maxTime(until, o.acquiredAt.Add(o.timing.CallDelay))
	}
	if isOfEarlierLifetime || !until.IsZero() || at.worker.life.IsContradicted() {
		until = maxTime(until, at.worker.life.Renewals().Until(now, o.timing.CallDelay))
	}
	if until.IsZero() {
		return lease
	}
	if bound := o.timing.longestLeaseFrom(until, leaseFromLateStart); bound.End.After(lease.End) {
		return bound
	}
	return lease
}

// leaseExpiry returns the end of leaseBound.
func (o *Owner) leaseExpiry(w *worker) time.Time { return o.leaseBound(w).End }

// isSilent reports whether the worker has not answered this owner's last poll, or none yet.
func (w *worker) isSilent() bool { return !w.fenced || w.pollFailures > 0 }

// isFromTakeover reports whether the bound counts from the takeover because nothing else is known of the worker.
func isFromTakeover(b workercall.Bound) bool {
	return b.Origin == leaseFromTakeover || b.Origin == leaseFromClaim
}

// expireLeases removes the attempts whose runs have ended because the lease of their worker expired. A worker without attempts that were
// sent has nothing that a lease could end. It was not polled, so it has to answer a poll before it is sent a start.
func (o *Owner) expireLeases(now time.Time, a *Actions) {
	for _, w := range o.sortedWorkers() {
		if len(w.attempts) == 0 {
			continue
		}
		bound := o.leaseBound(w)
		if now.Before(bound.End) {
			a.wakeAt(bound.End)
			continue
		}
		sent := w.sentAttempts()
		if len(sent) == 0 {
			if w.fenced {
				w.fenced, w.nextPollAt = false, time.Time{}
			}
			continue
		}
		sent = slices.DeleteFunc(sent, func(at *attempt) bool {
			end := o.endBound(now, at, bound).End
			if now.Before(end) {
				a.wakeAt(end)
			}
			return now.Before(end)
		})
		if len(sent) == 0 {
			continue
		}
		reason := "worker did not answer until its lease expired; its runs count as ended"
		if w.pollFailures == 0 {
			reason = "lease of the worker was not renewed in time; its runs count as ended"
		}
		for _, at := range sent {
			if last := o.endBound(now, at, bound); last.End.After(bound.End) {
				bound = last
			}
		}
		ofOtherLifetime, unknownStarts := o.countInherited(sent)
		o.log.WithFields(o.lifetimeFields(now, w)).WithFields(logrus.Fields{
			"counts_from": string(bound.Origin), "decision": "lease_over", "lease_over_in": bound.End.Sub(now).String(), "runs": len(sent), "poll_failures": w.pollFailures, "registered": w.registered,
			"runs_of_other_lifetime": ofOtherLifetime, "starts_unknown": unknownStarts,
		}).Warn(reason)
		for _, at := range sent {
			o.removeAttempt(at, "lease over")
		}
		o.raiseToken(w)
	}
}
