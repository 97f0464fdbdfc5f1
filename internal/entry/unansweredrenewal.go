package entry

import (
	"context"
	"time"

	"github.com/laburnumridge/laburnumridge/internal/retry"
	"github.com/sirupsen/logrus"
)

const (
	// renewalGap is a pause between renewals in which the store ends the lease: its TTL, with the longest usual time of a call.
	renewalGap = sessionTTL + 200*time.Millisecond
	// minUnanswered is the number of renewals in turn that end without an answer before a gap: more than are in flight when a host
	// freezes, whose lease needs no gap to end. The fifth one ends 3.1 s after the first was sent, which leaves the next owner 3 s
	// until the leases of workers end.
	minUnanswered = maxRenewalsInFlight + 1
	// maxUnanswered bounds that number, which doubles with each gap: the store may be down and keep its leases meanwhile, and a host
	// that pauses as it returns acts up to 0.4 s later.
	maxUnanswered = 8 * minUnanswered
	// maxRenewalsInFlight is the number of renewals that renewalTimeout and sessionRenewInterval allow.
	maxRenewalsInFlight = int((renewalTimeout + sessionRenewInterval - 1) / sessionRenewInterval)
)

// unansweredRenewals counts the renewals in turn that ended without an answer.
type unansweredRenewals struct{ count, limit int }

func newUnansweredRenewals() unansweredRenewals { return unansweredRenewals{limit: minUnanswered} }

// withUnanswered returns the count after a further renewal without an answer, and whether a gap is due.
func (u unansweredRenewals) withUnanswered() (next unansweredRenewals, isGapDue bool) {
	if u.count++; u.count < u.limit {
		return u, false
	}
	return unansweredRenewals{limit: min(2*u.limit, maxUnanswered)}, true
}

// applyAnswer begins a gap between renewals if too many of them got no answer, or ends it with the first answer. The store may carry
// renewals out whose answers are lost: this host does not rely on its lease then and does not act for its shards, and no other host
// could take them.
func (r *renewals) applyAnswer(a renewal) {
	now := r.session.now()
	if !a.isUnanswered {
		r.unanswered = newUnansweredRenewals()
		if r.gap.isOpen(now) {
			r.next.Reset(renewalPause(a.err))
		}
		r.gap = renewalsGap{probed: r.gap.probed}
		return
	}
	limit, isGapDue := r.unanswered.limit, false
	if r.unanswered, isGapDue = r.unanswered.withUnanswered(); !isGapDue {
		return
	}
	r.session.log.WithFields(logrus.Fields{
		"decision": "renewal_gap", "lease": r.lease, "unanswered": limit, "gap": renewalGap.String(),
	}).Warn("renewals of the host's lease get no answer; pausing them, so that other hosts can take its shards")
	r.gap.until = now.Add(renewalGap)
	r.next.Reset(min(sessionRenewInterval, renewalGap))
}

// renewalsGap is a pause between renewals.
type renewalsGap struct {
	// ignoresProbes is set once a probe has ended a gap, until a renewal is answered: the store answers reads and no renewals.
	ignoresProbes bool
	// probed receives that a probe was answered.
	probed chan struct{}
	until  time.Time
}

// isOpen reports whether renewals pause.
func (g renewalsGap) isOpen(now time.Time) bool { return now.Before(g.until) }

// probe reads from the store in a gap, which does not prolong the lease. An answer shows that the store can be reached again, so that
// the host need not wait for the end of the gap after an outage.
func (r *renewals) probe(ctx context.Context) {
	left := r.gap.until.Sub(r.session.now())
	if r.gap.ignoresProbes || r.session.store.Get == nil {
		r.next.Reset(max(left, retry.ShortestTimer))
		return
	}
	r.next.Reset(max(min(sessionRenewInterval, left), retry.ShortestTimer))
	probed, record := r.gap.probed, hostPrefix+r.session.record.Host
	go func() {
		callCtx, cancel := context.WithTimeout(ctx, renewalTimeout)
		defer cancel()
		if _, err := r.session.store.Get(callCtx, record); err != nil {
			return
		}
		select {
		case probed <- struct{}{}:
		case <-ctx.Done():
		}
	}()
}

// applyProbe ends a gap after the answer to a probe.
func (r *renewals) applyProbe() {
	if r.gap.ignoresProbes || !r.gap.isOpen(r.session.now()) {
		return
	}
	r.gap.until, r.gap.ignoresProbes = time.Time{}, true
	r.unanswered = newUnansweredRenewals()
	r.next.Reset(retry.ShortestTimer)
}
