package shard

import (
	"maps"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/laburnumridge/laburnumridge/internal/workercall"
)

// Events of the lifetimes of workers that WithLifetimeObserver counts.
const (
	// eventCallOutlastsLifetime: a call had no response when its worker restarted.
	eventCallOutlastsLifetime = "call_outlasts_lifetime"
	// eventDoubt: a response names a clock that is not that of the known lifetime.
	eventDoubt = "doubt"
	// eventEndsHeld: ends of a worker are held because of starts that may still be carried out.
	eventEndsHeld = "ends_held"
	// eventRunAfterEnd: a run is found on a worker that had counted as ended, or that had been given up.
	eventRunAfterEnd = "run_after_end"
	eventRestart     = "restart"
)

// WithLifetimeObserver sets a function that counts what the owner learns of the lifetimes of workers, by event.
func WithLifetimeObserver(observe func(event string, n int)) Option {
	return func(o *Owner) { o.observeLifetime = observe }
}

// withOutcome returns the summary of calls after one of them had an outcome, at a time that is not before its sending.
func (t Timing) withOutcome(p workercall.Pending, now time.Time, outcome Outcome) workercall.Pending {
	switch outcome {
	case OutcomeUnknown:
		return p.Without(now, t.CallDelay).WithLoss(now)
	case OutcomeNotSent:
		return p.WithoutCall()
	case OutcomeDone, OutcomeFenced, OutcomeWorkerRestarted, OutcomeLeaseExpired, OutcomeNoRoom, OutcomeNoTicket, OutcomeOldRun, OutcomeRefused:
	}
	return p.WithResponse()
}

// callsWithoutResponse returns the numbers of starts, and of calls that renew the lease of a worker, that have no response, and when the first of them was given
// up; the time is zero if all are in flight.
func (w *worker) callsWithoutResponse() (starts, renewals int, since time.Time) {
	renewals, since = w.life.Renewals().Count(), w.life.Renewals().Since()
	for _, at := range w.attempts {
		starts += at.starts.Count()
		if s := at.starts.Since(); !s.IsZero() && (since.IsZero() || s.Before(since)) {
			since = s
		}
	}
	return starts, renewals, since
}

// lifetimeFields describes the lifetime of a worker that the owner knows, its lease on both clocks, and the calls without a response.
func (o *Owner) lifetimeFields(now time.Time, w *worker) logrus.Fields {
	starts, renewals, since := w.callsWithoutResponse()
	bound := o.leaseBound(w)
	fields := logrus.Fields{
		"born": w.life.Born(), "counts_from": string(bound.Origin), "lease_over_in": bound.End.Sub(now).String(), "worker": w.ID,
		"starts_without_response": starts, "renewals_without_response": renewals,
	}
	if clock, age, ok := w.life.Reading(now); ok {
		fields["clock_ms"], fields["clock_age"], fields["lease_end_ms"] = clock, age.String(), w.life.LeaseEnd()
	}
	if w.life.IsInDoubt() {
		fields["lifetime_in_doubt"] = w.doubtReason()
	}
	if !since.IsZero() {
		fields["without_response_for"] = now.Sub(since).String()
	}
	if w.Born != w.life.Born() {
		fields["registered_born"] = w.Born
	}
	if age, ok := w.lastCall.Age(now); ok {
		fields["last_call"], fields["last_call_age"], fields["last_call_born"] = string(w.lastCall.Kind), age.String(), w.lastCall.Born
	}
	if age, ok := w.lastGrant.Age(now); ok {
		fields["last_grant"], fields["last_grant_age"] = string(w.lastGrant.Kind), age.String()
		fields["last_grant_born"], fields["last_grant_until_ms"] = w.lastGrant.Born, w.lastGrant.Until
	}
	if bound.Origin == leaseFromClaim || bound.Origin == leaseFromRecentRestart {
		maps.Copy(fields, o.earlierLeasesSource.fields())
		fields["claims_bound_in"] = o.earlierLeasesEnd.Sub(now).String()
	}
	return fields
}

// noteCall notes a call that is sent to the worker. It renews the lease until a time on the worker's clock, unless that is 0.
func (w *worker) noteCall(now time.Time, kind workercall.Kind, until int64) {
	w.lastCall = workercall.Call{Born: w.life.Born(), Kind: kind, Until: until}.WithSending(now)
	if until > 0 {
		w.lastGrant, w.life = w.lastCall, w.life.WithRenewals(w.life.Renewals().WithSent())
	}
}

// doubtReason returns why the lifetime of a worker is in doubt, as it appears in logs.
func (w *worker) doubtReason() string {
	if w.life.IsContradicted() {
		return "clock"
	}
	return "no_response"
}

// countInherited returns how many of the runs of attempts are recorded for another lifetime of their worker than the one that the owner
// knows, and how many are of starts of which the owner does not know whether they have a response.
func (o *Owner) countInherited(attempts []*attempt) (ofOtherLifetime, unknownStarts int) {
	for _, at := range attempts {
		if at.phase == phaseInherited && at.born != at.worker.life.Born() {
			ofOtherLifetime++
		}
		if at.isStartUnknown && o.startsOf(at).Count() > 0 {
			unknownStarts++
		}
	}
	return ofOtherLifetime, unknownStarts
}

// noteRenewalOutcome notes the outcome of a call if it renews the lease.
func (w *worker) noteRenewalOutcome(now time.Time, until int64, outcome Outcome, t Timing) {
	if until > 0 {
		w.life = w.life.WithRenewals(t.withOutcome(w.life.Renewals(), now, outcome))
	}
}
