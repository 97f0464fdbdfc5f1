package idempotency

import "time"

// claimLease decides when an owner may claim keys. A shard's owner may claim only while a majority of the
// shard's workers accepts its epoch, so two owners never claim at the same time.
type claimLease struct {
	// acceptedSentAt is when the latest fence or heartbeat that a worker accepted was sent to it.
	acceptedSentAt     map[string]time.Time
	platformLeaseUntil time.Time
	limits             Limits
	// withoutEpochs is the set of workers that do not support epochs.
	withoutEpochs map[string]bool
	// servesFrom is the time from which no earlier owner can claim keys; zero until a majority of workers
	// is fenced.
	servesFrom time.Time
	workers    []string
}

func (l *claimLease) recordAccepted(now time.Time, worker string, sentAt time.Time) {
	delete(l.withoutEpochs, worker)
	if sentAt.After(l.acceptedSentAt[worker]) {
		l.acceptedSentAt[worker] = sentAt
	}
	l.updateServesFrom(now)
}

func (l *claimLease) hasMajority(has func(worker string) bool) bool {
	n := 0
	for _, w := range l.workers {
		if has(w) {
			n++
		}
	}
	return 2*n > len(l.workers)
}

// mayClaim reports whether a majority of workers accepted the epoch in heartbeats sent within the claim lease.
// If most workers do not support epochs, it reports whether the owner's platform lease is held.
func (l *claimLease) mayClaim(now time.Time) bool {
	if l.servesFrom.IsZero() || now.Before(l.servesFrom) {
		return false
	}
	if l.hasMajority(func(w string) bool { return l.withoutEpochs[w] }) {
		return now.Before(l.platformLeaseUntil)
	}
	return l.hasMajority(func(w string) bool {
		at, ok := l.acceptedSentAt[w]
		return ok && !l.withoutEpochs[w] && now.Sub(at) < l.limits.ClaimLease
	})
}

// updateServesFrom sets servesFrom once a majority of workers refuses earlier epochs, or a majority does not
// support epochs: one claim lease from now, so that the lease of an earlier owner has expired, plus 10% for clock
// drift between the owners.
func (l *claimLease) updateServesFrom(now time.Time) {
	fenced := l.hasMajority(func(w string) bool { return !l.acceptedSentAt[w].IsZero() && !l.withoutEpochs[w] })
	if l.servesFrom.IsZero() && (fenced || l.hasMajority(func(w string) bool { return l.withoutEpochs[w] })) {
		l.servesFrom = now.Add(l.limits.ClaimLease + l.limits.ClaimLease/10)
	}
}

// EpochAccepted records, at now, that the worker accepted the owner's epoch in a fence or heartbeat sent at sentAt.
// Do not call it for a response that the ledger does not trust, see ledger.Owner.Reported.
func (t *Table) EpochAccepted(now time.Time, worker string, sentAt time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lease.recordAccepted(now, worker, sentAt)
}

// SetPlatformLease sets the time until which the owner's platform lease counts as held.
func (t *Table) SetPlatformLease(until time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lease.platformLeaseUntil = until
}

// MayClaim reports whether the owner may claim keys now.
func (t *Table) MayClaim(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.lease.mayClaim(now)
}

// EpochsUnsupported records that the worker does not support epochs, so that it does not count as accepting one.
func (t *Table) EpochsUnsupported(now time.Time, worker string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lease.withoutEpochs[worker] = true
	t.lease.updateServesFrom(now)
}

// SetWorkers replaces the set of the shard's workers, of which a majority must accept the owner's epoch.
func (t *Table) SetWorkers(workers []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lease.workers = append([]string(nil), workers...)
}
