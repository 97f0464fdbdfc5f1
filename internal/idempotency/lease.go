package idempotency

import "time"

// claimLease decides when an owner may claim keys. An owner of a shard can claim only with the consent of a
// majority of its workers, so two owners never claim at once.
type claimLease struct {
	accepted   map[string]time.Time
	leaseUntil time.Time
	limits     Limits
	noEpochs   map[string]bool
	// servesFrom is when no earlier owner can claim any longer; zero until a majority is fenced.
	servesFrom time.Time
	workers    []string
}

func (l *claimLease) accept(now time.Time, worker string, sentAt time.Time) {
	delete(l.noEpochs, worker)
	if sentAt.After(l.accepted[worker]) {
		l.accepted[worker] = sentAt
	}
	l.notice(now)
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

// mayClaim reports whether a majority of workers accepted the epoch in heartbeats sent within the lease. If
// most workers have no epochs, the owner's platform lease decides.
func (l *claimLease) mayClaim(now time.Time) bool {
	if l.servesFrom.IsZero() || now.Before(l.servesFrom) {
		return false
	}
	if l.hasMajority(func(w string) bool { return l.noEpochs[w] }) {
		return now.Before(l.leaseUntil)
	}
	return l.hasMajority(func(w string) bool {
		at, ok := l.accepted[w]
		return ok && !l.noEpochs[w] && now.Sub(at) < l.limits.ClaimLease
	})
}

// notice starts to serve one claim lease after a majority refuses earlier epochs; 10% of it allows for
// clock drift between the owners.
func (l *claimLease) notice(now time.Time) {
	fenced := l.hasMajority(func(w string) bool { return !l.accepted[w].IsZero() && !l.noEpochs[w] })
	if l.servesFrom.IsZero() && (fenced || l.hasMajority(func(w string) bool { return l.noEpochs[w] })) {
		l.servesFrom = now.Add(l.limits.ClaimLease + l.limits.ClaimLease/10)
	}
}

// Accepted takes the news, at now, that the worker accepted the owner's epoch in a fence or heartbeat sent at
// sentAt. Responses that the ledger does not trust must not be passed on.
func (t *Table) Accepted(now time.Time, worker string, sentAt time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lease.accept(now, worker, sentAt)
}

// LeaseUntil takes the time until which the owner's platform lease counts as held.
func (t *Table) LeaseUntil(until time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lease.leaseUntil = until
}

// MayClaim reports whether the owner may claim keys now.
func (t *Table) MayClaim(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.lease.mayClaim(now)
}

// NoEpochs takes the news that the worker does not support epochs, so it is no part of a majority.
func (t *Table) NoEpochs(now time.Time, worker string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lease.noEpochs[worker] = true
	t.lease.notice(now)
}

// Workers replaces the set of the shard's workers of which a majority is needed.
func (t *Table) Workers(workers []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lease.workers = append([]string(nil), workers...)
}
