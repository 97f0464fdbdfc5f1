package shard

import (
	"slices"
	"time"

	"github.com/sirupsen/logrus"
)

// handleRestart resets the state of a worker that has restarted. All runs of its earlier lifetime have ended. The token is raised, so that
// the new lifetime refuses the calls for the earlier one as soon as it has answered a poll.
func (o *Owner) handleRestart(now time.Time, w *worker, born int64) {
	starts, renewals, _ := w.callsWithoutResponse()
	o.observeLifetime(eventRestart, 1)
	o.observeLifetime(eventCallOutlastsLifetime, max(starts, renewals)) // starts renew the lease, too
	before, earlier := w.life.Born(), o.leaseBound(w)
	fields := logrus.Fields{
		"before": before, "before_counts_from": string(earlier.Origin), "before_lease_over_in": earlier.End.Sub(now).String(),
		"decision": "worker_reborn", "runs": len(w.attempts),
	}
	if clock, age, ok := w.life.Reading(now); ok {
		fields["before_clock_ms"], fields["before_clock_age"], fields["before_lease_end_ms"] = clock, age.String(), w.life.LeaseEnd()
	}
	w.life = w.life.WithRestart(born, o.timing.longestLeaseFrom(now, leaseFromWorkerRestart))
	o.log.WithFields(o.lifetimeFields(now, w)).WithFields(fields).Warn("worker restarted; its earlier runs have ended")
	w.lastEnd, w.recordedEnd, w.ackedEnd = 0, 0, 0
	w.unrecordedEnds, w.endsHeldUntil, w.ackBlockedSince = nil, time.Time{}, time.Time{}
	o.raiseToken(w)
	w.health, w.refusal, w.longTailSince = health{}, refusal{}, time.Time{}
	for _, at := range slices.Clone(w.attempts) {
		switch {
		case !at.isSent():
		case at.listedIn == before && before != 0 && at.starts.Count() == 0:
			o.removeAttempt(at, "worker restarted")
		default:
			// The new lifetime may have carried out a start, so the next listing decides whether the run exists.
			at.phase, at.pace = phaseInherited, -1
		}
	}
}
