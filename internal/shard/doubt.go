package shard

import (
	"time"

	"github.com/sirupsen/logrus"
)

// doubtsLifetime reports whether a response to a start, which names no lifetime, reads another clock than that of the lifetime that the owner
// knows, so that the worker has restarted. Nothing but polls under a new token, without a lease, is sent then before a listing tells which
// lifetime is there.
func (o *Owner) doubtsLifetime(now time.Time, at *attempt, clock int64) bool {
	w := at.worker
	if !w.life.Contradicts(clock, at.sentAt, now, o.timing.ClockDrift) {
		return false
	}
	o.observeLifetime(eventDoubt, 1)
	o.log.WithFields(o.lifetimeFields(now, w)).WithFields(logrus.Fields{
		"decision": "lifetime_in_doubt", "job": at.task.job.ID, "task": at.task.key.String(), "run": at.run,
		"sent_ago": now.Sub(at.sentAt).String(), "other_clock_ms": clock,
	}).Warn("worker answered a start with the clock of another lifetime; polling it without a lease")
	// The start that was answered may have given the later lifetime the longest lease.
	w.life = w.life.WithContradiction(o.timing.longestLeaseFrom(now, leaseFromWorkerRestart))
	o.raiseToken(w)
	return true
}
