package entry

import (
	"context"
	"errors"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/laburnumridge/laburnumridge/internal/kvstore"
	"github.com/laburnumridge/laburnumridge/internal/retry"
	"github.com/laburnumridge/laburnumridge/internal/workflow"
)

// claims tracks the shards that this host is trying to take.
type claims struct {
	shardSet
	cancel context.CancelFunc
	// ctx ends when claims that are under way are given up.
	ctx context.Context
}

func newClaims() *claims {
	ctx, cancel := context.WithCancel(context.Background())
	return &claims{shardSet: newShardSet(), cancel: cancel, ctx: ctx}
}

// countExcept returns the number of claims of shards for which this host has no runner.
func (c *claims) countExcept(runners map[int]*runner) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for shard := range c.active {
		if runners[shard] == nil {
			n++
		}
	}
	return n
}

// finishWithin lets no further claim begin, and waits until none is under way. Claims that take longer than a timeout are given up.
func (c *claims) finishWithin(timeout time.Duration) {
	defer time.AfterFunc(max(timeout, retry.ShortestTimer), c.cancel).Stop()
	c.finish()
}

// ownershipTxn returns the transaction with which this host takes a shard without an owner.
func (o *ownedShards) ownershipTxn(n int, lease, epoch int64, earlier earlierLeases) kvstore.Txn {
	owner := o.host.self
	owner.PreviousEpoch, owner.EarlierLeases = epoch, earlier.total
	record := workflow.Encode(owner)
	return kvstore.Txn{
		Guards: []kvstore.Guard{{Key: ownerKey(n)}, {Key: epochKey(n), Revision: epoch}},
		Puts:   []kvstore.Put{{Key: ownerKey(n), Lease: lease, Value: record}, {Key: epochKey(n), Value: record}},
	}
}

// claim tries to make this host the owner of a shard without one. If r is not nil, this host owned the shard before, and r
// resumes with its state in memory unless another host has owned the shard since. The guards make repeated attempts harmless. If the
// response to an attempt that was carried out is lost, the next election round sees the owner key.
func (o *ownedShards) claim(n int, lease int64, r *runner) {
	h := o.host
	ctx, cancel := context.WithCancel(o.claims.ctx)
	defer cancel()
	epoch := h.directory.epoch(n)
	if r != nil {
		epoch = r.epochRevision()
	}
	log := h.log.WithFields(logrus.Fields{
		"decision": "own", "shard": n, "epoch": epoch, "hosts": h.directory.hostCount(), "lease": lease,
		"owned": len(o.allRunners()),
	})
	earlier := h.directory.earlierLeases(n, epoch, h.timing())
	t, outcomes := o.ownershipTxn(n, lease, epoch, earlier), make(chan txnOutcome)
	for ctx.Err() == nil {
		outcome, hasResponse := h.attemptTxn(ctx, t, outcomes)
		if !hasResponse && ctx.Err() != nil {
			return
		}
		if !errors.Is(outcome.err, kvstore.ErrUnknownOutcome) {
			o.applyClaim(n, lease, epoch, r, earlier, outcome, log)
			return
		}
		if _, ok := h.directory.owner(n); ok {
			return // an attempt was carried out, or another host was faster
		}
		if current, expires := h.session.currentLease(); current != lease || !h.now().Before(expires) {
			log.WithError(outcome.err).Warn("failed to take ownership of the shard before the host's lease expired")
			return
		}
		log.WithError(outcome.err).Warn("claim of the shard got no response; repeating it")
		retry.Sleep(ctx, minWriteBackoff)
	}
}

// applyClaim acts on the outcome of a claim that was guarded by a revision of the epoch key.
func (o *ownedShards) applyClaim(
	n int, lease, epoch int64, r *runner, earlier earlierLeases, outcome txnOutcome, log *logrus.Entry,
) {
	log = log.WithField("revision", outcome.result.Revision)
	switch {
	case outcome.err == nil && r != nil:
		log.Info("took ownership of the shard again")
		ownerChanges.Add("taken_again", 1)
		r.resume(outcome.result.Revision, lease, earlier.total)
	case outcome.err == nil:
		log.WithFields(earlier.fields()).Info("took ownership of the shard")
		taken := newRunner(o.host, n, outcome.result.Revision, lease)
		taken.setEarlier(epoch, earlier)
		o.startRunner(taken)
	case errors.Is(outcome.err, kvstore.ErrConflict) && r != nil:
		o.applyEpochConflict(n, r, outcome.result.Current)
	case errors.Is(outcome.err, kvstore.ErrConflict):
		o.forgetOwnerless(n)
	default:
		log.WithError(outcome.err).Warn("failed to take ownership of the shard; retrying in a later election round")
	}
}

// applyEpochConflict acts on a conflict of a claim of a shard that this host owned before, by the present state of the guarded keys. The
// epoch key may have been changed by an attempt of this host whose response was lost: then no other host has owned the shard since,
// and later claims are guarded by the new epoch.
func (o *ownedShards) applyEpochConflict(n int, r *runner, current []kvstore.KV) {
	for _, kv := range current {
		if kv.Key != epochKey(n) || kv.ModRevision == r.epochRevision() {
			continue
		}
		if owner, err := workflow.Decode[hostRecord](kv.Value); err != nil || owner.Incarnation != o.host.self.Incarnation {
			o.stopRunner(r, "another host owned the shard meanwhile")
			return
		}
		r.setEpochRevision(kv.ModRevision)
	}
}
