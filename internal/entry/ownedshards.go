package entry

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/laburnumridge/laburnumridge/internal/retry"
	"github.com/laburnumridge/laburnumridge/internal/shard"
	"github.com/laburnumridge/laburnumridge/internal/workflow"
)

const (
	// electionInterval is how often a host checks for shards without an owner while it sees no change.
	electionInterval = 200 * time.Millisecond
)

// ownedShards holds the runners of the shards that this host owns.
type ownedShards struct {
	claims    *claims
	handovers *handovers
	// lastUnhealthy is when an election round last saw that the host's lease was not renewed.
	lastUnhealthy time.Time
	host          *Host
	mu            sync.Mutex
	// releases tracks the shards of earlier processes of this host whose owner keys are being deleted.
	releases shardSet
	runners  map[int]*runner
	// ownerlessSince holds the time at which this host first saw that a shard has no owner, by shard.
	ownerlessSince map[int]time.Time
	// wake starts an election round early.
	wake chan struct{}
}

func newOwnedShards(h *Host) *ownedShards {
	return &ownedShards{
		claims: newClaims(), handovers: newHandovers(), host: h, runners: map[int]*runner{}, ownerlessSince: map[int]time.Time{},
		releases: newShardSet(), wake: make(chan struct{}, 1),
	}
}

func (o *ownedShards) wakeElection() {
	select {
	case o.wake <- struct{}{}:
	default:
	}
}

func (o *ownedShards) runner(n int) *runner {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.runners[n]
}

func (o *ownedShards) allRunners() []*runner {
	o.mu.Lock()
	defer o.mu.Unlock()
	var out []*runner
	for _, r := range o.runners {
		out = append(out, r)
	}
	return out
}

// countWithClaims returns the number of shards that this host owns or is trying to take.
func (o *ownedShards) countWithClaims() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.runners) + o.claims.countExcept(o.runners)
}

// noteOwnerless returns when this host first saw that a shard has no owner, which is now unless it was noted before.
func (o *ownedShards) noteOwnerless(n int, now time.Time) time.Time {
	o.mu.Lock()
	defer o.mu.Unlock()
	if _, ok := o.ownerlessSince[n]; !ok {
		o.ownerlessSince[n] = now
	}
	return o.ownerlessSince[n]
}

func (o *ownedShards) forgetOwnerless(n int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.ownerlessSince, n)
}

func (o *ownedShards) configChanged(c workflow.Config) {
	for _, r := range o.allRunners() {
		r.setConfig(c)
	}
}

// addJob passes a job that was recorded at a store revision to the shard's runner. It returns false if this host does not own the
// shard.
func (o *ownedShards) addJob(n int, j workflow.Job, revision int64) bool {
	r := o.runner(n)
	return r != nil && r.add(j, revision)
}

func (o *ownedShards) cancelJob(n int, id string) bool {
	r := o.runner(n)
	return r != nil && r.cancelJob(id)
}

// state returns a job's state; isOwner reports whether this host owns the shard and has loaded it, found whether the shard knows
// the job.
func (o *ownedShards) state(n int, id string) (s workflow.State, isOwner, found bool) {
	r := o.runner(n)
	if r == nil {
		return "", false, false
	}
	return r.state(id)
}

func (o *ownedShards) pending(n int, queue string) (int, bool) {
	r := o.runner(n)
	if r == nil {
		return 0, false
	}
	return r.pending(queue)
}

func (o *ownedShards) serviceLoad(n int, service string, demands []shard.Demand) (l shard.Load, suits, isOwner bool) {
	r := o.runner(n)
	if r == nil {
		return shard.Load{}, false, false
	}
	return r.serviceLoad(service, demands)
}

// expectJob passes on that a host has chosen a shard for a job. It returns false if this host does not own the shard.
func (o *ownedShards) expectJob(n int, id, service string, demand shard.Load) bool {
	r := o.runner(n)
	if r != nil {
		r.expectJob(id, service, demand)
	}
	return r != nil
}

// runElection takes over shards without an owner and hands shards over to less loaded hosts until ctx ends, then stops all
// runners.
func (o *ownedShards) runElection(ctx context.Context) {
	for ctx.Err() == nil {
		changed := o.host.directory.nextChange()
		pause := o.electionRound(ctx)
		t := time.NewTimer(max(pause, retry.ShortestTimer))
		select {
		case <-ctx.Done():
		case <-changed:
		case <-o.wake:
		case <-t.C:
		}
		t.Stop()
	}
	o.claims.finishWithin(0)
	o.handovers.finish()
	for _, r := range o.allRunners() {
		o.stopRunner(r, "the host stops")
	}
}

// electionRound checks every shard once and returns the time until the next round.
func (o *ownedShards) electionRound(ctx context.Context) time.Duration {
	h := o.host
	l, _, loaded := h.directory.currentLayout()
	if !loaded {
		return electionInterval
	}
	if l.Shards == 0 {
		h.createLayout(ctx)
		return electionInterval
	}
	pause := electionInterval
	for n := range l.Shards {
		if wait := o.checkShard(ctx, n); wait > 0 {
			pause = min(pause, wait)
		}
	}
	o.giveUpUnloaded(ctx)
	o.rebalance(ctx)
	return pause
}

// checkShard takes a shard without an owner once this host's delay has passed, and stops the runner of a shard
// that another host owns. It returns the rest of the delay, or 0 if there is nothing to wait for.
func (o *ownedShards) checkShard(ctx context.Context, n int) time.Duration {
	h := o.host
	if o.claims.isActive(n) {
		return 0 // the outcome of the claim decides
	}
	current, owned := h.directory.owner(n)
	r := o.runner(n)
	if owned {
		o.forgetOwnerless(n)
		o.followOwner(ctx, n, r, current)
		return 0
	}
	if o.handovers.isActive(n) {
		return 0 // the key was deleted by this host, or its handover is about to fail
	}
	lease, expires := h.session.currentLease()
	now := h.now()
	if h.draining.Load() || lease == 0 || !now.Before(expires) || !h.config.isKnown() {
		return 0
	}
	if r == nil {
		if wait := o.noteOwnerless(n, now).Add(h.directory.claimDelay(h.self, n, o.countWithClaims())).Sub(now); wait > 0 {
			return wait
		}
	}
	if !o.claims.begin(n) {
		return 0
	}
	go func() {
		o.claim(n, lease, r)
		o.claims.end(n)
		// The owner may have been seen while the claim was under way. Without an owner, an early round would only repeat the claim.
		if _, ok := h.directory.owner(n); ok {
			o.wakeElection()
		}
	}()
	return 0
}

// followOwner acts on the owner key of a shard, for which this host has runner r if that is not nil.
func (o *ownedShards) followOwner(ctx context.Context, n int, r *runner, current ownerRecord) {
	h := o.host
	isNew := r != nil && current.revision > r.ownerRevision()
	switch {
	case current.Incarnation != h.self.Incarnation:
		if isNew && o.stopRunner(r, "another host owns the shard") {
			go o.tellNextOwner(ctx, r)
		}
		if r == nil && current.isPredecessorOf(h.self) {
			o.releasePredecessor(ctx, n, current)
		}
	case isNew:
		// A response to the claim with which this host took the shard again was lost. The guard on the epoch key means that no other
		// host has owned the shard since.
		o.resumeRunner(r, current)
	case r != nil && r.isRefused(current.revision):
		o.renewClaim(n, r, current.lease)
	case r != nil, o.handovers.isGivenUp(n, current.revision):
	case h.draining.Load():
		o.dropOwnerKey(ctx, n, current)
	default:
		// The response to the claim was lost, or this host took back a shard that it could not hand over.
		taken := newRunner(h, n, current.revision, current.lease)
		taken.setEarlier(current.PreviousEpoch, current.recordedEarlier(o.host.now()))
		o.startRunner(taken)
	}
}

// resumeRunner continues with the state in memory under an owner key that this host has written, unless the lease of the key has
// ended.
func (o *ownedShards) resumeRunner(r *runner, current ownerRecord) {
	if lease, _ := o.host.session.currentLease(); lease == 0 || current.lease != lease {
		return
	}
	o.host.log.WithFields(logrus.Fields{
		"decision": "own", "shard": r.shard, "revision": current.revision, "lease": current.lease,
	}).Info("took ownership of the shard again; the response was lost")
	ownerChanges.Add("taken_again", 1)
	r.resume(current.revision, current.lease, current.EarlierLeases)
}

func (o *ownedShards) startRunner(r *runner) {
	o.mu.Lock()
	o.runners[r.shard] = r
	o.mu.Unlock()
	ownerChanges.Add("taken", 1)
	r.start()
}

// stopRunner ends the runner of a shard. It returns false if it has been stopped before.
func (o *ownedShards) stopRunner(r *runner, reason string) bool {
	o.mu.Lock()
	isRunning := o.runners[r.shard] == r
	if isRunning {
		delete(o.runners, r.shard)
	}
	o.mu.Unlock()
	if !isRunning {
		return false
	}
	o.host.log.WithFields(logrus.Fields{"decision": "disown", "shard": r.shard, "reason": reason, "revision": r.ownerRevision()}).
		Info("gave up the shard")
	ownerChanges.Add("given_up", 1)
	r.close()
	r.deleteGauges()
	return true
}
