package workercall

import (
	"time"

	"github.com/rotisserie/eris"
)

// ErrOtherLifetime is returned for what another lifetime of a worker has said.
var ErrOtherLifetime = eris.New("the worker has restarted")

// readingSlack is the difference between readings of one clock that is not taken for another lifetime: rounding, and steps of the clock.
const readingSlack = 100 * time.Millisecond

// Lifetime is an immutable summary of what an owner knows of one lifetime of a worker: readings of its clock, the lease that the owner has
// granted on that clock, and a bound for what others have granted. A worker that restarts gets another Lifetime, so that a clock and a
// lease end of different lifetimes can't meet.
type Lifetime struct {
	born int64
	// clock is a reading in milliseconds. It was made between clockSentAt and clockAt.
	clock                int64
	clockAt, clockSentAt time.Time
	inherited            Bound
	// isContradicted is set if a clock that was read can't be that of this lifetime, and isInDoubt if another one may be there.
	isContradicted, isInDoubt bool
	// isRenewalLost is set while the last renewal of the lease has no response.
	isRenewalLost bool
	// isUnreached is set for a lifetime after a restart until it has accepted a token that calls for earlier lifetimes don't carry.
	isUnreached bool
	// leaseEnd is the end of the lease that was granted last, on the clock of the lifetime.
	leaseEnd int64
	// renewals holds the renewals of the lease that may still be carried out.
	renewals Pending
}

// NewLifetime returns a lifetime of which nothing is known but its start time, in Unix milliseconds or 0 if that is not known either, and
// a bound for the leases of others.
func NewLifetime(born int64, inherited Bound) Lifetime {
	return Lifetime{born: born, inherited: inherited}
}

// Born returns the start time of the lifetime in Unix milliseconds; 0 if it is not known.
func (l Lifetime) Born() int64 { return l.born }

// Age returns how long ago the lifetime began; ok is false if its start time is not known.
func (l Lifetime) Age(wallClock time.Time) (age time.Duration, ok bool) {
	return wallClock.Sub(time.UnixMilli(l.born)), l.born != 0
}

// Inherited returns the bound for leases that others have granted, or that calls for earlier lifetimes have.
func (l Lifetime) Inherited() Bound { return l.inherited }

// WithInherited replaces the bound for leases that others have granted.
func (l Lifetime) WithInherited(b Bound) Lifetime {
	l.inherited = b
	return l
}

// WithBorn sets the start time of a lifetime for which it was not known. It returns ErrOtherLifetime if the start time is another one.
func (l Lifetime) WithBorn(born int64) (Lifetime, error) {
	switch {
	case born == 0 || born == l.born:
		return l, nil
	case l.born != 0:
		return l, ErrOtherLifetime
	}
	l.born = born
	return l, nil
}

// WithRestart returns the lifetime that follows, which no token has reached yet, with a bound for the leases that calls for the earlier
// ones give it.
func (l Lifetime) WithRestart(born int64, inherited Bound) Lifetime {
	return Lifetime{born: born, inherited: inherited, isUnreached: true, renewals: l.renewals}
}

// WithListing returns the lifetime after a listing that names its start time and reads its clock, as the response to a call that was sent
// and received at these times. It returns ErrOtherLifetime for the listing of another lifetime. Responses that name no lifetime are no
// readings of its clock.
func (l Lifetime) WithListing(born, clock int64, sent, received time.Time) (Lifetime, error) {
	out, err := l.WithBorn(born)
	if err != nil {
		return l, err
	}
	out.isContradicted, out.isInDoubt = false, false
	if clock > 0 && !received.Before(out.clockAt) {
		out.clock, out.clockAt, out.clockSentAt = clock, received, sent
	}
	return out, nil
}

// Contradicts reports whether a reading of the worker's clock, in the response to a call that was sent and received at these times, is not
// of this lifetime: a clock that may be slow by the fraction drift has gone back, or has leapt ahead.
func (l Lifetime) Contradicts(clock int64, sent, received time.Time, drift float64) bool {
	if clock <= 0 || l.clockAt.IsZero() {
		return false
	}
	elapsed := time.Duration(clock-l.clock) * time.Millisecond
	shortest := time.Duration(float64(sent.Sub(l.clockAt)) * (1 - drift))
	longest := time.Duration(float64(received.Sub(l.clockSentAt)) * (1 + drift))
	if sent.Before(l.clockAt) {
		shortest = sent.Sub(l.clockAt)
	}
	return elapsed < shortest-readingSlack || elapsed > longest+readingSlack
}

// IsInDoubt reports whether a later lifetime may have replaced this one.
func (l Lifetime) IsInDoubt() bool { return l.isInDoubt }

// WithDoubt returns the lifetime after a sign that a later one may have replaced it. Until the next listing it gets no lease: its lease end
// on the clock of a later lifetime could be far ahead.
func (l Lifetime) WithDoubt() Lifetime {
	l.isInDoubt = true
	return l
}

// IsContradicted reports whether a reading of the clock has shown that a later lifetime has replaced this one.
func (l Lifetime) IsContradicted() bool { return l.isContradicted }

// WithContradiction returns the lifetime after a reading of the clock has shown that a later one has replaced it, with a bound for the leases
// of that one.
func (l Lifetime) WithContradiction(bound Bound) Lifetime {
	l.isContradicted, l.isInDoubt, l.inherited = true, true, l.inherited.Later(bound)
	return l
}

// HasClock reports whether the clock of the lifetime is known.
func (l Lifetime) HasClock() bool { return !l.clockAt.IsZero() }

// Reading returns the last reading of the clock in milliseconds and how old it is at most; ok is false if there is none.
func (l Lifetime) Reading(now time.Time) (clock int64, age time.Duration, ok bool) {
	return l.clock, now.Sub(l.clockAt), l.HasClock()
}

// WithGrant returns the lifetime after a lease was granted from now on, and the end of its leases on its clock, in milliseconds. The end
// never goes back. It is 0, and the lease is not extended, while the lifetime is in doubt or its clock is not known.
func (l Lifetime) WithGrant(now time.Time, lease time.Duration) (out Lifetime, until int64) {
	if !l.HasClock() || l.isInDoubt {
		return l, 0
	}
	l.leaseEnd = max(l.leaseEnd, l.clock+(now.Sub(l.clockAt)+lease).Milliseconds())
	return l, l.leaseEnd
}

// LeaseEnd returns the end of the lease that was granted last, in milliseconds on the clock of the lifetime; 0 if there was none.
func (l Lifetime) LeaseEnd() int64 { return l.leaseEnd }

// Granted returns how long the lease that was granted last lasts on the clock of the lifetime, from the moment of its last reading; ok is
// false if there was none.
func (l Lifetime) Granted() (left time.Duration, from time.Time, ok bool) {
	return time.Duration(l.leaseEnd-l.clock) * time.Millisecond, l.clockAt, l.leaseEnd > 0
}

// IsUnreached reports whether the lifetime follows a restart and has not accepted a token since.
func (l Lifetime) IsUnreached() bool { return l.isUnreached }

// WithReached returns the lifetime once it has accepted a token that calls for earlier lifetimes don't carry, with the bound for the leases
// that these have given it until then, if that is later than the one before.
func (l Lifetime) WithReached(bound Bound) Lifetime {
	l.isUnreached, l.inherited = false, l.inherited.Later(bound)
	return l
}

// Renewals returns the renewals of the lease that may still be carried out, also those that were meant for earlier lifetimes.
func (l Lifetime) Renewals() Pending { return l.renewals }

// WithRenewals replaces the renewals of the lease that may still be carried out.
func (l Lifetime) WithRenewals(p Pending) Lifetime {
	l.renewals = p
	return l
}

// IsRenewalLost reports whether the last renewal of the lease has no response.
func (l Lifetime) IsRenewalLost() bool { return l.isRenewalLost }

// WithRenewalLost sets whether the last renewal of the lease has no response.
func (l Lifetime) WithRenewalLost(isLost bool) Lifetime {
	l.isRenewalLost = isLost
	return l
}
