package entry

import (
	"context"
	"errors"
	"net"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/laburnumridge/laburnumridge/internal/kvstore"
	"github.com/laburnumridge/laburnumridge/internal/retry"
	"github.com/laburnumridge/laburnumridge/internal/shard"
	"github.com/laburnumridge/laburnumridge/internal/workflow"
)

// settleInterval is how often an owner checks whether all leases of earlier owners have ended.
const settleInterval = time.Second

// seenEpoch is an epoch of a shard with the time at which this host first saw it, which is after the claim.
type seenEpoch struct {
	at       time.Time
	revision int64
}

// earlierLeases bounds the leases of workers that earlier owners of a shard granted, from a claim of the shard.
type earlierLeases struct {
	// carried is the part of total that is due to owners before the last one.
	carried time.Duration
	// claimedAt is when this host first saw the claim of the last owner, which is after the claim; zero if there was no owner before.
	claimedAt time.Time
	// keepsLateStarts is set if the last owner kept the late starts of ended jobs on record.
	keepsLateStarts bool
	// source is the last owner.
	source shard.LeaseSource
	total  time.Duration
}

// fields returns the bound for a log line.
func (e earlierLeases) fields() logrus.Fields {
	return logrus.Fields{
		"earlier_leases": e.total.String(), "earlier_leases_carried": e.carried.String(), "earlier_owner": e.source.Host, "earlier_incarnation": e.source.Incarnation,
		"earlier_claim": e.source.Revision, "earlier_request": e.source.Requested.String(),
	}
}

// recordedEarlier returns the bound that a claim recorded. The record does not tell the parts of it apart.
func (o ownerRecord) recordedEarlier(now time.Time) earlierLeases {
	return earlierLeases{claimedAt: now, carried: o.EarlierLeases, total: o.EarlierLeases}
}

// earlierLeases returns how long leases of earlier owners can last from now on, for a claim that is guarded by an epoch. The last owner can
// have granted leases until its key ended, which is before the claim. Those of owners before it are bounded by its own claim.
func (d *directory) earlierLeases(n int, epoch int64, t shard.Timing) earlierLeases {
	d.mu.Lock()
	defer d.mu.Unlock()
	longest := t.LeaseBound(t.MaxWorkerLease)
	last := d.formerOwners[n]
	switch {
	case epoch == 0:
		return earlierLeases{} // the shard has had no owner
	case d.epochs[n] != epoch, last.LeaseFromRenewal == 0:
		return earlierLeases{carried: longest, claimedAt: d.now(), total: longest}
	}
	out := earlierLeases{keepsLateStarts: last.KeepsLateStarts, source: shard.LeaseSource{Host: last.Host, Incarnation: last.Incarnation, Revision: epoch, Requested: last.LeaseFromRenewal}}
	if last.PreviousEpoch != 0 {
		out.claimedAt = d.epochsSeen[n].at
	}
	if d.settled[n] != epoch {
		out.carried = min(max(d.epochsSeen[n].at.Add(last.EarlierLeases).Sub(d.now()), 0), longest)
	}
	out.total = max(out.carried, t.LeaseBound(last.LeaseFromRenewal))
	return out
}

// setEarlier sets the epoch that guarded the claim of this owner, and what the claim says of the leases of earlier owners.
func (r *runner) setEarlier(previousEpoch int64, earlier earlierLeases) {
	r.previousEpoch, r.earlier = previousEpoch, earlier
	r.owner.BoundEarlierLeases(r.takenAt.Add(earlier.total), earlier.source)
	r.owner.NoteLastClaim(earlier.claimedAt)
	if earlier.keepsLateStarts {
		r.owner.TrustEndedRecords()
	}
	if earlier.total > 0 {
		r.earlierEnd = r.takenAt.Add(earlier.total)
	}
}

// noteCrash applies that the process of the last owner had ended before this owner took the shard.
func (r *runner) noteCrash(leases time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.loaded {
		return
	}
	end := r.takenAt.Add(max(leases, r.earlier.carried))
	if end.Before(r.earlierEnd) {
		r.earlierEnd = end
		r.owner.BoundEarlierLeases(end, r.earlier.source)
		r.log.WithFields(logrus.Fields{"decision": "crashed_owner", "earlier_leases": end.Sub(r.takenAt).String(), "earlier_owner": r.earlier.source.Host}).
			Info("the process of the last owner had ended before the takeover; its leases end earlier than its claim says")
	}
}

// isPredecessorOf reports whether a host record is that of an earlier process of a host. That process has ended, since its peer
// address is in use by this one. An address that stands for all of a machine's tells nothing.
func (o ownerRecord) isPredecessorOf(self hostRecord) bool {
	address, _, err := net.SplitHostPort(self.PeerAddress)
	if ip := net.ParseIP(address); err == nil && (address == "" || ip != nil && ip.IsUnspecified()) {
		return false
	}
	return o.Host == self.Host && o.PeerAddress == self.PeerAddress && o.Incarnation != self.Incarnation && o.LeaseFromOrder > 0
}

// releasePredecessor deletes the owner key of an earlier process of this host, so that the shard need not wait until the lease of that
// process has ended, and records until when its leases of workers last at most.
func (o *ownedShards) releasePredecessor(ctx context.Context, n int, current ownerRecord) {
	if !o.releases.begin(n) {
		return
	}
	h := o.host
	t := h.timing()
	record := handoverRecord{CrashedEpoch: current.revision, CrashedLeases: t.LeaseBound(current.LeaseFromOrder)}
	log := h.log.WithFields(logrus.Fields{"decision": "release", "shard": n, "revision": current.revision})
	log.Info("deleting the owner key of an earlier process of this host")
	go func() {
		defer o.wakeElection()
		defer o.releases.end(n)
		callCtx, cancel := withTimeout(ctx, storeCallTimeout)
		defer cancel()
		_, err := h.platform.Store.Txn(callCtx, kvstore.Txn{
			Deletes: []string{ownerKey(n)}, Guards: []kvstore.Guard{{Key: ownerKey(n), Revision: current.revision}},
			Puts: []kvstore.Put{{Key: handoverKey(n), Value: workflow.Encode(record)}},
		})
		countWrite(err)
		if err != nil && !errors.Is(err, kvstore.ErrConflict) {
			log.WithError(err).Warn("failed to delete the owner key of an earlier process; it expires with the lease of that process")
		}
		retry.Sleep(ctx, electionInterval) // until the deletion is seen
	}()
}

// settle records once that all leases of earlier owners have ended, so that the next claim need not count them.
func (r *runner) settle() {
	settled := int64(0)
	for r.ctx.Err() == nil {
		retry.Sleep(r.ctx, settleInterval)
		r.mu.Lock()
		now, epoch, revision := r.host.now(), r.epochKeyRevision, r.ownerKeyRevision
		isDue := epoch != settled && !r.earlierEnd.IsZero() && !now.Before(r.earlierEnd) && r.mayAct(now)
		r.mu.Unlock()
		if !isDue {
			continue
		}
		ctx, cancel := withTimeout(r.ctx, storeCallTimeout)
		_, err := r.host.platform.Store.Txn(ctx, kvstore.Txn{
			Guards: []kvstore.Guard{{Key: ownerKey(r.shard), Revision: revision}},
			Puts:   []kvstore.Put{{Key: settledKey(r.shard), Value: workflow.Encode(epoch)}},
		})
		cancel()
		countWrite(err)
		if err == nil {
			settled = epoch
		}
	}
}
