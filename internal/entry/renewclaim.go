package entry

import (
	"context"
	"errors"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/laburnumridge/laburnumridge/internal/kvstore"
	"github.com/laburnumridge/laburnumridge/internal/retry"
)

// claimRenewalTimeout is how long an owner that a worker refused tries to renew its claim: as long as it tries to delete a key that it
// gives up. Nobody acts for the shard meanwhile.
const claimRenewalTimeout = deletionTimeout

// isRefused reports whether a worker has refused the token of this runner and the owner key is still at the revision of that token.
func (r *runner) isRefused(current int64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.deposed && current == r.ownerKeyRevision
}

// renewClaim takes a shard again whose owner key this host still has by the directory, although a worker knows a higher token. The
// guards on the present keys prove that no other host has owned the shard since; the runner then continues with a higher token, and
// fences each worker before it sends anything else. If they do not hold, the election follows the owner that there is.
func (o *ownedShards) renewClaim(n int, r *runner, keyLease int64) {
	h := o.host
	lease, expires := h.session.currentLease()
	if h.draining.Load() || lease == 0 || lease != keyLease || !h.now().Before(expires) || o.handovers.isActive(n) || !o.claims.begin(n) {
		return
	}
	go func() {
		defer o.wakeElection()
		defer o.claims.end(n)
		o.writeRenewedClaim(n, r, lease)
	}()
}

// writeRenewedClaim carries out renewClaim. If the store does not carry out the transaction in time, the host ends its lease: it would
// otherwise keep a shard for which it does not act.
func (o *ownedShards) writeRenewedClaim(n int, r *runner, lease int64) {
	h := o.host
	ctx, cancel := context.WithCancel(o.claims.ctx)
	defer cancel()
	revision, epoch := r.ownerRevision(), r.epochRevision()
	earlier := h.directory.earlierLeases(n, epoch, h.timing())
	t, outcomes, began := o.ownershipTxn(n, lease, epoch, earlier), make(chan txnOutcome), h.now()
	t.Guards[0].Revision = revision
	log := h.log.WithFields(logrus.Fields{
		"decision": "renew_claim", "shard": n, "before": revision, "lease": lease,
		"reason": "a worker knows a higher token than the owner's",
	})
	for r.ctx.Err() == nil {
		outcome, hasResponse := h.attemptTxn(ctx, t, outcomes)
		if hasResponse {
			countWrite(outcome.err)
		}
		switch {
		case outcome.err == nil:
			log.WithField("revision", outcome.result.Revision).Warn("renewed the claim of the shard; no other host has owned it")
			ownerChanges.Add("renewed", 1)
			r.resume(outcome.result.Revision, lease, earlier.total)
			return
		case errors.Is(outcome.err, kvstore.ErrConflict):
			log.WithError(outcome.err).Warn("claim of the shard not renewed: its owner key has changed")
			retry.Sleep(ctx, electionInterval) // until the change is seen
			return
		}
		if current, _ := h.session.currentLease(); ctx.Err() != nil || current != lease {
			return
		}
		if elapsed := h.now().Sub(began); elapsed >= claimRenewalTimeout {
			log.WithError(errors.Join(outcome.err, h.session.abandon(ctx, lease))).WithField("elapsed", elapsed.Round(time.Millisecond)).
				Warn("failed to renew the claim of the shard in time; giving up the host's lease")
			return
		}
		retry.Sleep(ctx, minWriteBackoff)
	}
}
