package entry

import (
	"time"

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
	// that pauses as it returns acts later.
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
		if now.Before(r.gapUntil) {
			r.gapUntil = time.Time{}
			r.next.Reset(renewalPause(a.err))
		}
		return
	}
	limit, isGapDue := r.unanswered.limit, false
	if r.unanswered, isGapDue = r.unanswered.withUnanswered(); !isGapDue {
		return
	}
	r.session.log.WithFields(logrus.Fields{
		"decision": "renewal_gap", "lease": r.lease, "unanswered": limit, "gap": renewalGap.String(),
	}).Warn("renewals of the host's lease get no answer; pausing them, so that other hosts can take its shards")
	r.gapUntil = now.Add(renewalGap)
	r.next.Reset(renewalGap)
}
