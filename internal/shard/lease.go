package shard

import "time"

// leaseOrigin is the event from which the bound for the end of a worker's lease counts, as it appears in logs.
type leaseOrigin string

const (
	// leaseFromGrant: the latest grant of this owner.
	leaseFromGrant leaseOrigin = "grant"
	// leaseFromTakeover: the takeover of the shard. An earlier owner may have granted the longest lease just before it.
	leaseFromTakeover leaseOrigin = "takeover"
	// leaseFromClaim: the takeover of the shard, by what the claims of earlier owners say of their leases.
	leaseFromClaim leaseOrigin = "claim"
	// leaseFromHandover: the latest grant of the last owner, or of an owner before it.
	leaseFromHandover leaseOrigin = "handover"
	// leaseFromRefusal: the moment at which this owner got a new token because the worker had refused the last one.
	leaseFromRefusal leaseOrigin = "refusal"
	// leaseFromWorkerRestart: the moment at which this owner learned that the worker had restarted.
	leaseFromWorkerRestart leaseOrigin = "worker_restart"
)

// leaseBound is the latest time at which leases of a worker that this owner did not grant can expire.
type leaseBound struct {
	end    time.Time
	origin leaseOrigin
}

// longestLeaseFrom returns the bound for a lease that was granted at a time or earlier.
func (t Timing) longestLeaseFrom(granted time.Time, origin leaseOrigin) leaseBound {
	return leaseBound{end: granted.Add(t.LeaseBound(t.MaxWorkerLease)), origin: origin}
}

// leaseBound returns the time by which everything on the worker has certainly ended, provided that nothing more is sent. Calls that
// are executed late don't extend it, since the lease end that they carry is absolute.
func (w *worker) leaseBound(t Timing) leaseBound {
	bound := w.inheritedLease
	if w.leaseEnd > 0 {
		left := time.Duration(w.leaseEnd-w.clock) * time.Millisecond
		if own := w.clockAt.Add(t.onSlowestClock(left) + t.LeaseMargin); own.After(bound.end) {
			bound = leaseBound{end: own, origin: leaseFromGrant}
		}
	}
	return bound
}

// leaseExpiry returns the end of leaseBound.
func (w *worker) leaseExpiry(t Timing) time.Time { return w.leaseBound(t).end }

// isSilent reports whether the worker has not answered this owner's last poll, or none yet.
func (w *worker) isSilent() bool { return !w.fenced || w.pollFailures > 0 }

// isFromTakeover reports whether the bound counts from the takeover because nothing else is known of the worker.
func (b leaseBound) isFromTakeover() bool {
	return b.origin == leaseFromTakeover || b.origin == leaseFromClaim
}
