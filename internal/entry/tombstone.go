package entry

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/laburnumridge/laburnumridge/internal/kvstore"
	"github.com/laburnumridge/laburnumridge/internal/peer"
	"github.com/laburnumridge/laburnumridge/internal/workflow"
)

const (
	// tombstoneLifetime is how long at least the tombstone of a job is kept. A write of its record that got no response may be executed
	// seconds later, and a host that wakes from a freeze may still send one.
	tombstoneLifetime = 2 * time.Minute
	// tombstoneLeaseTTL lets a host use one lease for all the tombstones that it writes within tombstoneLifetime.
	tombstoneLeaseTTL = 2 * tombstoneLifetime
	// tombstoneRate is how many tombstones a second all hosts write together, a fraction of the writes that the store accepts:
	// callers can cancel ids that never existed.
	tombstoneRate = 60
	// minTombstoneRate is the least rate of a host in a large fleet.
	minTombstoneRate = 1
	// tombstoneBurst is the number of tombstones that a host writes at once.
	tombstoneBurst = 32
)

// errJobPrevented means that a job was cancelled before it was recorded. It will not be recorded any more.
var errJobPrevented = fmt.Errorf("%w: cancelled before its record", errJobNotFound)

// tombstones holds the lease under which this host writes tombstones, and the limit on their number. The store deletes the keys
// when the lease ends, so no host has to keep a list of them.
type tombstones struct {
	// allowance is the number of tombstones that may be written at once; it was computed at computedAt.
	allowance  float64
	computedAt time.Time
	lease      int64
	// leaseUntil is until when further tombstones may be written under the lease.
	leaseUntil time.Time
	mu         sync.Mutex
}

// take reports whether a further tombstone may be written by one of a number of hosts.
func (t *tombstones) take(now time.Time, hosts int) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.computedAt.IsZero() {
		t.allowance = tombstoneBurst
	} else {
		rate := max(tombstoneRate/float64(max(hosts, 1)), minTombstoneRate)
		t.allowance = min(t.allowance+rate*now.Sub(t.computedAt).Seconds(), tombstoneBurst)
	}
	t.computedAt = now
	if t.allowance < 1 {
		return false
	}
	t.allowance--
	return true
}

// currentLease returns a lease that lasts for tombstoneLifetime at least. It requests one from the store if there is none.
func (t *tombstones) currentLease(ctx context.Context, now time.Time, s kvstore.Store) (int64, error) {
	t.mu.Lock()
	lease, isUsable := t.lease, now.Before(t.leaseUntil)
	t.mu.Unlock()
	if isUsable {
		return lease, nil
	}
	callCtx, cancel := withTimeout(ctx, storeCallTimeout)
	defer cancel()
	lease, err := s.Grant(callCtx, tombstoneLeaseTTL)
	if err != nil {
		return 0, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lease, t.leaseUntil = lease, now.Add(tombstoneLeaseTTL-tombstoneLifetime)
	return lease, nil
}

// dropLease makes the next tombstone be written under another lease, because this one has ended.
func (t *tombstones) dropLease(lease int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.lease == lease {
		t.leaseUntil = time.Time{}
	}
}

// preventJob makes sure that a job without a record is never recorded, through a peer if this host can't write to the store. The
// outcome is OutcomeNoJob if the job will not exist, and OutcomeAccepted with its location if it has been recorded meanwhile.
func (h *Host) preventJob(ctx context.Context, id string) (Answer, workflow.JobLocation) {
	if !h.tombstones.take(h.now(), h.directory.hostCount()) {
		return Answer{
			Outcome: OutcomeRefused, Reason: "too many cancellations of jobs that are not on record", RetryAfter: retryAfter,
		}, workflow.JobLocation{}
	}
	a, location := Answer{Outcome: OutcomeRefused, Reason: "the store does not answer", RetryAfter: retryAfter}, workflow.JobLocation{}
	if h.session.isHealthy() {
		a, location = h.recordTombstone(ctx, id)
	}
	if a.Outcome == OutcomeNoJob || a.Outcome == OutcomeAccepted {
		return a, location
	}
	reply, err := h.relay(ctx, 0, peer.Message{JobPrevent: &peer.JobPrevent{ID: id}})
	if err != nil {
		return a, location
	}
	switch outcome := Outcome(reply.Outcome); outcome {
	case OutcomeNoJob:
		return Answer{Outcome: outcome, Reason: "not on record; relayed"}, location
	case OutcomeAccepted:
		return Answer{Outcome: outcome}, workflow.JobLocation{Shard: reply.Shard, State: workflow.State(reply.State)}
	case OutcomeUnknown:
		a.Outcome = outcome
	}
	return a, location
}

// recordTombstone writes the tombstone of a job unless the job has a record. It makes the guard of each write of that record fail
// whose outcome is not known.
func (h *Host) recordTombstone(ctx context.Context, id string) (Answer, workflow.JobLocation) {
	tombstone := workflow.JobLocation{EndedAt: time.Now().UnixMilli(), Shard: workflow.NoShard, State: workflow.StateCancelled}
	lease, err := h.tombstones.currentLease(ctx, h.now(), h.platform.Store)
	if err != nil {
		return Answer{Outcome: OutcomeRefused, Reason: err.Error(), RetryAfter: retryAfter}, tombstone
	}
	res, err := h.writeWithRetry(ctx, kvstore.Txn{
		Guards: []kvstore.Guard{{Key: locationKey(id)}},
		Puts:   []kvstore.Put{{Key: locationKey(id), Lease: lease, Value: workflow.Encode(tombstone)}},
	}, acceptTimeout)
	switch {
	case err == nil:
		return Answer{Outcome: OutcomeNoJob, Reason: "not on record; it will not be recorded"}, tombstone
	case errors.Is(err, kvstore.ErrUnknownOutcome):
		return Answer{Outcome: OutcomeUnknown, Reason: err.Error()}, tombstone
	case !errors.Is(err, kvstore.ErrConflict):
		return Answer{Outcome: OutcomeRefused, Reason: err.Error(), RetryAfter: retryAfter}, tombstone
	}
	existing, err := existingRecord(res.Current)
	switch {
	case err == nil && existing.IsTombstone():
		return Answer{Outcome: OutcomeNoJob, Reason: errJobPrevented.Error()}, tombstone
	case err == nil:
		h.locations.put(id, existing)
		return Answer{Outcome: OutcomeAccepted}, existing.JobLocation
	}
	h.tombstones.dropLease(lease)
	return Answer{Outcome: OutcomeRefused, Reason: "the lease of tombstones has ended", RetryAfter: retryAfter}, tombstone
}

// recordCancelledJob replaces a tombstone, which is at a revision, by the records of its job, which was submitted after its cancellation. The job counts as
// accepted and cancelled, and its final state is kept as that of any other job. Its tasks never start.
func (h *Host) recordCancelledJob(ctx context.Context, j workflow.Job, shard int, tombstone int64, limit time.Duration) (Answer, jobRecord) {
	location := workflow.JobLocation{EndedAt: time.Now().UnixMilli(), Shard: shard, State: workflow.StateCancelled}
	record := jobRecord{JobLocation: location}
	res, err := h.writeWithRetry(ctx, kvstore.Txn{
		Guards: []kvstore.Guard{{Key: locationKey(j.ID), Revision: tombstone}},
		Puts: []kvstore.Put{
			{Key: locationKey(j.ID), Value: workflow.Encode(location)},
			{Key: jobKey(shard, j.ID), Value: workflow.Encode(j)},
			{Key: cancelKey(shard, j.ID), Value: []byte{1}},
		},
	}, limit)
	record.revision = res.Revision
	switch {
	case err == nil:
		return Answer{Outcome: OutcomeAccepted, Reason: "cancelled before", State: location.State}, record
	case errors.Is(err, kvstore.ErrConflict):
		if existing, err := existingRecord(res.Current); err == nil && !existing.IsTombstone() {
			return Answer{Outcome: OutcomeAccepted, Reason: "on record", State: existing.State}, existing
		}
	case errors.Is(err, kvstore.ErrUnavailable):
		return Answer{Outcome: OutcomeRefused, Reason: err.Error(), RetryAfter: retryAfter}, record
	}
	return Answer{Outcome: OutcomeUnknown, Reason: err.Error()}, record
}

// handlePrevent writes a tombstone for a host that can't reach the store.
func (h *Host) handlePrevent(ctx context.Context, p peer.JobPrevent) peer.Message {
	if !h.session.isHealthy() {
		return jobReply(OutcomeRefused, workflow.NoShard, "")
	}
	a, location := h.recordTombstone(ctx, p.ID)
	h.logAnswer("prevent_for_peer", p.ID, "", a)
	return jobReply(a.Outcome, location.Shard, location.State)
}
