package shard

import (
	"time"

	"github.com/sirupsen/logrus"
)

const (
	// refusalMemory is how long the refusals of a worker count. It exceeds maxRefusalPause, so that a worker that goes on refusing gets
	// an order each maxRefusalPause only.
	refusalMemory = time.Minute
	// refusalPause is how long a worker gets no order after its second refusal in refusalMemory. It doubles with each further one: a
	// higher token did not help, and each refusal makes the owner prove its ownership and poll all its workers again.
	refusalPause = 2 * time.Second
	// maxRefusalPause bounds the pause.
	maxRefusalPause = 32 * time.Second
)

// refusal is what an owner remembers of the orders that a worker refused because it knows a higher token.
type refusal struct {
	// isLeaseBounded is set once boundRefusedLeases has taken the refusals since the worker's last answer into account.
	isLeaseBounded bool
	// isRefusing is set from a refusal until the worker answers a poll.
	isRefusing bool
	refusals   int
	refusedAt  time.Time
	// refusedToken is the highest token that the worker has refused.
	refusedToken int64
	// shunnedUntil is when the worker gets the next order.
	shunnedUntil time.Time
}

// withRefusal returns the refusal after a token was refused. Further refusals of the same token are of orders that were already on
// their way.
func (r refusal) withRefusal(now time.Time, token int64) refusal {
	if token <= r.refusedToken {
		return r
	}
	if now.Sub(r.refusedAt) >= refusalMemory {
		r.refusals = 0
	}
	r.isRefusing, r.refusedAt, r.refusedToken = true, now, token
	if r.refusals > 0 {
		r.shunnedUntil = now.Add(min(refusalPause<<min(r.refusals-1, 8), maxRefusalPause))
	}
	r.refusals++
	return r
}

// withAnswer returns the refusal after the worker answered a poll.
func (r refusal) withAnswer() refusal {
	r.isLeaseBounded, r.isRefusing = false, false
	return r
}

// isShunned reports whether the worker gets no orders because it refused the last ones.
func (r refusal) isShunned(now time.Time) bool { return now.Before(r.shunnedUntil) }

// NoteRefusal notes that a worker refused an order because it knows a higher token. The owner must not send further orders to any worker
// until it has proved its ownership and has got a new token. A worker that refuses that one too gets no orders for a while: its token is
// not one of the shard's owners, and the other workers must not wait for it.
func (o *Owner) NoteRefusal(now time.Time, order Order) {
	w := o.workers[order.Worker]
	if w == nil || order.Token <= w.refusedToken {
		return
	}
	w.refusal = w.withRefusal(now, order.Token)
	if !w.isShunned(now) {
		return
	}
	o.log.WithFields(logrus.Fields{
		"decision": "shun_worker", "worker": w.ID, "token": order.Token, "refusals": w.refusals, "runs": len(w.attempts),
		"pause": w.shunnedUntil.Sub(now).String(),
	}).Warn("worker refuses new tokens too; it gets no orders for a while")
	w.fenced = false
	o.dropUnsent(w)
}

// boundRefusedLeases assumes that whoever gave a worker the token for which it refuses this owner's also granted it the longest lease
// until now, as after a takeover. Further refusals don't prolong that: no other owner has been between them.
func (o *Owner) boundRefusedLeases(now time.Time) {
	for _, w := range o.workers {
		if w.isRefusing && !w.isLeaseBounded {
			w.life, w.isLeaseBounded = w.life.WithInherited(o.timing.longestLeaseFrom(now, leaseFromRefusal)), true
		}
	}
}
