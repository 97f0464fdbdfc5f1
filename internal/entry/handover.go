package entry

import (
	"context"
	"errors"
	"maps"
	"slices"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"github.com/laburnumridge/laburnumridge/internal/election"
	"github.com/laburnumridge/laburnumridge/internal/kvstore"
	"github.com/laburnumridge/laburnumridge/internal/retry"
	"github.com/laburnumridge/laburnumridge/internal/workflow"
)

// commitWaitTimeout bounds the wait for the commit in flight when a shard is handed over: two transactions of a store that answers
// in 200 ms, fifty times its usual latency. Other changes are handed over, or the next owner learns of them from the workers.
const commitWaitTimeout = 500 * time.Millisecond

// deletionTimeout is how long an owner that has stopped its work on a shard tries to delete the owner key. Overloaded hosts need
// almost 2 s for it. The tasks of the shard keep running for at least 4.6 s after the stop: a worker's lease lasts 7 s, and the poll
// that renewed it is at most 2.4 s old.
const deletionTimeout = 2500 * time.Millisecond

const (
	// drainDeletionTimeout replaces deletionTimeout in a drain, which has to serve callers for drainServePeriod of its drainTimeout
	// after the handovers.
	drainDeletionTimeout = time.Second
	// handoverWriteTimeout bounds the attempts to write what the next owner reads once the owner key is gone. Other hosts claim the shard
	// within half a second then.
	handoverWriteTimeout = 500 * time.Millisecond
	// takeBackTimeout bounds the attempts to take a shard back after a handover that failed.
	takeBackTimeout = time.Second
)

// errShardTaken is returned for a shard that another host has taken.
var errShardTaken = eris.New("another host has taken the shard")

// handovers tracks the shards that this host is handing over.
type handovers struct {
	shardSet
	// receivers holds the hosts to which shards are handed over, by shard, until the directory shows the next owner.
	receivers map[int]string
	// revisions holds, by shard, the revision of the last owner key that this host gave up. The directory still shows such a
	// key until the deletion is seen.
	revisions map[int]int64
}

func newHandovers() *handovers {
	return &handovers{shardSet: newShardSet(), receivers: map[int]string{}, revisions: map[int]int64{}}
}

// begin marks a shard as being handed over, to a host if to is not empty. It returns false if it is already, or if no handover may begin.
func (h *handovers) begin(shard int, to string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.add(shard) {
		return false
	}
	if to != "" {
		h.receivers[shard] = to
	}
	return true
}

// pendingReceivers returns the hosts to which shards are handed over, by shard, while the directory does not show the next owner.
func (h *handovers) pendingReceivers(d *directory) map[int]string {
	h.mu.Lock()
	defer h.mu.Unlock()
	maps.DeleteFunc(h.receivers, func(shard int, _ string) bool {
		owner, ok := d.owner(shard)
		return !h.active[shard] && ok && owner.revision > h.revisions[shard]
	})
	return maps.Clone(h.receivers)
}

func (h *handovers) recordGivenUp(shard int, revision int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.revisions[shard] = revision
}

// isGivenUp reports whether this host gave up the owner key of a shard with this revision.
func (h *handovers) isGivenUp(shard int, revision int64) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return revision <= h.revisions[shard]
}

// beginHandover keeps the owner from planning starts and beginning commits, and waits until the commit in flight is done or ctx
// ends.
func (r *runner) beginHandover(ctx context.Context) {
	r.updateOwner(func(time.Time) { r.owner.BeginHandover() })
	for ctx.Err() == nil {
		r.mu.Lock()
		isCommitting := r.owner.IsCommitting()
		r.mu.Unlock()
		if !isCommitting {
			return
		}
		retry.Sleep(ctx, minStepInterval)
	}
}

// giveUp stops the runner of a shard once its commit in flight is done or commitWaitTimeout has passed, then deletes the owner key and
// writes what the next owner has to know. The runner stops first: an owner that is short of processor time would not get the deletion
// done beside its other work, and would keep the shard because of its load.
func (o *ownedShards) giveUp(ctx context.Context, r *runner, successor *successorRecord, reason string, log *logrus.Entry) {
	waitCtx, cancelWait := context.WithTimeout(ctx, commitWaitTimeout)
	r.beginHandover(waitCtx)
	cancelWait()
	revision := r.ownerRevision()
	o.handovers.recordGivenUp(r.shard, revision)
	puts := r.handoverPuts(ctx)
	o.stopRunner(r, reason)
	if successor != nil {
		puts = append(puts, kvstore.Put{Key: successorKey(r.shard), Value: workflow.Encode(*successor)})
	}
	o.deleteOrTell(ctx, r, log, puts)
}

// deleteOrTell deletes the owner key of a runner that has stopped. If the deletion is not known to be carried out, it tells the next owner
// what the last one knew.
func (o *ownedShards) deleteOrTell(ctx context.Context, r *runner, log *logrus.Entry, puts []kvstore.Put) {
	if isDeleted := o.deleteOwnerKey(ctx, r, log, puts...); !isDeleted && len(puts) > 0 {
		go o.tellNextOwner(ctx, r)
	}
}

// deleteOwnerKey deletes the owner key of a runner that has stopped, and writes what the next owner reads in the same transaction. Each
// write of the owner key changes the epoch key as well. With a guard on the latter, what the next owner reads is also written if the store
// has ended the lease of the owner key meanwhile and no host has taken the shard yet. It returns whether the deletion is
// known to be carried out.
func (o *ownedShards) deleteOwnerKey(ctx context.Context, r *runner, log *logrus.Entry, puts ...kvstore.Put) (isDeleted bool) {
	t := kvstore.Txn{
		Deletes: []string{ownerKey(r.shard)}, Guards: []kvstore.Guard{{Key: epochKey(r.shard), Revision: r.epochRevision()}}, Puts: puts,
	}
	err := o.deleteOrTakeBack(ctx, r, t)
	if err != nil && !errors.Is(err, errShardTaken) {
		log.WithError(err).Warn("failed to delete the owner key of the shard; it expires with the host's lease")
	}
	return err == nil
}

// deleteOrTakeBack carries out the transaction that deletes the owner key of a runner. The guards make repeated attempts harmless.
// After deletionTimeout it takes the shard back instead: the host would otherwise renew the lease of a shard that nobody serves.
// If that fails as well, or the host drains, it abandons the lease. It returns an error if the lease of the key has ended or ctx
// ends, errShardTaken if another host has taken the shard, perhaps after an attempt that was carried out.
func (o *ownedShards) deleteOrTakeBack(ctx context.Context, r *runner, t kvstore.Txn) error {
	h := o.host
	attemptCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	outcomes := make(chan txnOutcome)
	began, isTakingBack, handover := h.now(), false, t.Puts
	for {
		outcome, hasResponse := h.attemptTxn(attemptCtx, t, outcomes)
		err := outcome.err
		if hasResponse {
			countWrite(err)
		}
		isDraining := h.draining.Load()
		// A conflict means that an earlier attempt has deleted or rewritten the key, or that the ownership was lost.
		isDone := err == nil || errors.Is(err, kvstore.ErrConflict)
		lease, _ := h.session.currentLease()
		hasEnded := lease != r.ownerLease()
		switch {
		case !isTakingBack && isOwnerless(outcome, r.shard), !isTakingBack && !isDone && hasEnded && isDraining:
			return o.writeHandover(ctx, r, handover)
		case isDone && !isTakingBack && err != nil:
			return errShardTaken
		case isDone && !(isTakingBack && isDraining):
			return nil
		case ctx.Err() != nil, hasEnded:
			// A lease on which the host does not rely at the moment may go on: its next renewal may succeed.
			return err
		}
		elapsed := h.now().Sub(began)
		switch {
		case isDraining && (isTakingBack || elapsed >= drainDeletionTimeout), isTakingBack && elapsed >= takeBackTimeout:
			return errors.Join(err, h.session.abandon(ctx, r.ownerLease()), o.writeHandover(ctx, r, handover))
		case !isTakingBack && elapsed >= deletionTimeout:
			h.log.WithError(err).WithFields(logrus.Fields{"decision": "keep", "shard": r.shard, "revision": r.ownerRevision()}).
				Warn("failed to delete the owner key of the shard; taking the shard back")
			h.directory.recordFailedHandover(h.self.Host)
			began, isTakingBack, t = h.now(), true, o.takeBackTxn(r, t)
		case !isTakingBack:
			// The first attempt may be carried out still. A second deletion would look like another handover.
			t.Guards = []kvstore.Guard{{Key: ownerKey(r.shard), Revision: r.ownerRevision()}}
		}
		retry.Sleep(ctx, minWriteBackoff)
	}
}

// isOwnerless reports whether a transaction was not carried out because its shard has no owner key.
func isOwnerless(outcome txnOutcome, shard int) bool {
	return errors.Is(outcome.err, kvstore.ErrConflict) && slices.ContainsFunc(outcome.result.Current, func(kv kvstore.KV) bool {
		return kv.Key == ownerKey(shard) && kv.ModRevision == 0
	})
}

// writeHandover writes what the next owner reads once the owner key is gone. It returns errShardTaken if another host has taken the shard,
// and another error if the write is not done within handoverWriteTimeout or ctx ends.
func (o *ownedShards) writeHandover(ctx context.Context, r *runner, puts []kvstore.Put) error {
	if len(puts) == 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, handoverWriteTimeout)
	defer cancel()
	t := kvstore.Txn{Guards: []kvstore.Guard{{Key: ownerKey(r.shard)}, {Key: epochKey(r.shard), Revision: r.epochRevision()}}, Puts: puts}
	for outcomes := make(chan txnOutcome); ; retry.Sleep(ctx, minWriteBackoff) {
		outcome, hasResponse := o.host.attemptTxn(ctx, t, outcomes)
		if hasResponse {
			countWrite(outcome.err)
		}
		switch {
		case outcome.err == nil:
			return nil
		case errors.Is(outcome.err, kvstore.ErrConflict):
			return errShardTaken
		case ctx.Err() != nil:
			return outcome.err
		}
	}
}

// takeBackTxn returns a transaction that writes the owner key of a shard again under the same lease. An attempt to delete the key
// may be carried out after its call has ended; the new revision makes its guard fail. The next election round sees the key and
// starts a runner, which reads what was to be handed over.
func (o *ownedShards) takeBackTxn(r *runner, deletion kvstore.Txn) kvstore.Txn {
	t := o.ownershipTxn(r.shard, r.ownerLease(), r.epochRevision(),
		o.host.directory.earlierLeases(r.shard, r.epochRevision(), o.host.timing()))
	t.Guards[0].Revision = r.ownerRevision()
	for _, p := range deletion.Puts {
		if p.Key == handoverKey(r.shard) {
			t.Puts = append(t.Puts, p)
		}
	}
	return t
}

// handOverAll gives up all shards, at the same time so that a drain takes no longer with several shards. It waits for claims that are
// under way first: nobody would act for a shard that this host takes afterwards.
func (o *ownedShards) handOverAll(ctx context.Context) {
	o.claims.finishWithin(storeCallTimeout)
	for _, r := range o.allRunners() {
		if !o.handovers.begin(r.shard, "") {
			continue // a handover for rebalancing is under way
		}
		go func() {
			defer o.handovers.end(r.shard)
			o.giveUp(ctx, r, nil, "the host drains", o.host.log.WithField("shard", r.shard))
		}()
	}
	o.handovers.finish()
}

// dropOwnerKey deletes the owner key of a shard for which this host has no runner: it drains, and learned only now that its claim was
// carried out.
func (o *ownedShards) dropOwnerKey(ctx context.Context, n int, current ownerRecord) {
	log := o.host.log.WithFields(logrus.Fields{"decision": "disown", "shard": n, "reason": "the host drains", "revision": current.revision})
	log.Info("giving up a shard that was taken without a response")
	o.handovers.recordGivenUp(n, current.revision)
	r := newRunner(o.host, n, current.revision, current.lease)
	r.setEarlier(current.PreviousEpoch, current.recordedEarlier(o.host.now()))
	go func() {
		defer r.close()
		o.deleteOrTell(ctx, r, log, r.handoverPuts(ctx))
	}()
}

// rebalance hands shards over as long as election.Rebalance decides so. Nothing is handed over while this host drains, may lose its
// lease before the handover is done, or does not see its shards as the store has them.
func (o *ownedShards) rebalance(ctx context.Context) {
	h := o.host
	lease, expires := h.session.currentLease()
	if h.draining.Load() || !h.session.isHealthy() || lease == 0 || h.now().Add(commitWaitTimeout).After(expires) {
		return
	}
	for {
		decision, ok := o.nextHandover()
		if !ok {
			return
		}
		successor, ok := h.directory.host(decision.To.Host)
		if !ok || !o.handovers.begin(decision.Shard, successor.Host) {
			return
		}
		go o.handOver(ctx, decision, successor)
	}
}

// nextHandover decides whether to hand a further shard over. Handovers under way count as done. Shards that are not loaded, or whose
// workers have fenced this host, count as owned and stay: the state of the store or of a worker must not keep the others here.
// giveUpUnloaded decides on the former.
func (o *ownedShards) nextHandover() (election.Handover, bool) {
	h := o.host
	receivers := o.handovers.pendingReceivers(h.directory)
	var active []int
	owned, changedAt := 0, time.Time{}
	for _, r := range o.allRunners() {
		if _, isGiven := receivers[r.shard]; isGiven {
			continue
		}
		owned++
		at, isActive := r.stability()
		if at.After(changedAt) {
			changedAt = at
		}
		if isActive {
			active = append(active, r.shard)
		}
	}
	self, others, ok := h.directory.rebalancingView(h.self, receivers)
	if !ok || len(active) == 0 || self.Shards != owned {
		return election.Handover{}, false
	}
	// A shard that this host has handed over is no sign of instability: each one would keep the next one waiting.
	self.StableFor = h.now().Sub(changedAt)
	return election.Rebalance(self, active, others)
}

// handOver carries out the decision to hand a shard over.
func (o *ownedShards) handOver(ctx context.Context, d election.Handover, successor hostRecord) {
	defer o.wakeElection()
	defer o.handovers.end(d.Shard)
	log := o.host.log.WithFields(logrus.Fields{
		"decision": "rebalance", "shard": d.Shard, "owned": d.From.Shards, "strength": d.From.Strength,
		"to": d.To.Host, "to_owned": d.To.Shards, "to_strength": d.To.Strength, "reason": "the other host would be less loaded",
	})
	r := o.runner(d.Shard)
	if r == nil {
		return
	}
	log.Info("handing the shard over")
	o.giveUp(ctx, r, &successorRecord{hostRecord: successor}, "handed over to a less loaded host", log)
}
