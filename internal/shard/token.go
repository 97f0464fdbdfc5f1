package shard

import "time"

const (
	// tokenBits is the number of low-order token bits reserved for raising the token of a single worker within one
	// ownership.
	tokenBits      = 8
	maxTokenOffset = 1<<tokenBits - 1
	// lowTokenOffset is the offset from which the tokens of all workers go on from a later revision.
	lowTokenOffset = maxTokenOffset / 4
)

// orderToken returns the fencing token that orders to the worker carry.
func (o *Owner) orderToken(w *worker) int64 { return o.token<<tokenBits | w.tokenOffset }

func (o *Owner) newOrder(w *worker) Order {
	return Order{Address: w.Address, Born: w.life.Born(), Token: o.orderToken(w), Worker: w.ID}
}

// outdateCalls raises the worker's token for the calls that are sent from now on. A later lifetime that carries out one of them refuses those
// that were sent before. The worker need not be polled.
func (o *Owner) outdateCalls(w *worker) {
	w.tokenOffset = min(w.tokenOffset+1, maxTokenOffset)
	o.isTokenLow = o.isTokenLow || w.tokenOffset >= lowTokenOffset
}

// raiseToken raises the worker's fencing token, and sends nothing but polls until the worker has accepted it. This invalidates all earlier
// calls that are still in flight and might be executed late.
func (o *Owner) raiseToken(w *worker) {
	o.outdateCalls(w)
	w.fenced, w.fenceToken, w.nextPollAt = false, o.orderToken(w), time.Time{}
}

// AdvanceToken lets the tokens of workers go on from a revision of the store at which this owner held the shard, if they have used up much of
// their offsets. The token of a later owner is that of its claim, which has a higher revision.
func (o *Owner) AdvanceToken(revision int64) {
	if !o.isTokenLow || revision <= o.token {
		return
	}
	o.token, o.isTokenLow = revision, false
	clear(o.tokenOffsets)
	for _, w := range o.workers {
		w.tokenOffset = 0
	}
}

// NeedsToken reports whether the token of a worker can't be raised any more, so that the owner has to renew its claim for a higher one.
func (o *Owner) NeedsToken() bool {
	for _, w := range o.workers {
		if w.tokenOffset == maxTokenOffset {
			return true
		}
	}
	return false
}

// SetToken replaces the token after the shard was taken again with no other owner in between.
func (o *Owner) SetToken(now time.Time, token int64) {
	o.token = token
	o.boundRefusedLeases(now)
	clear(o.tokenOffsets)
	for _, w := range o.sortedWorkers() {
		w.fenced, w.tokenOffset, w.nextPollAt = false, 0, time.Time{}
		w.fenceToken = o.orderToken(w)
	}
}

// IsCurrent reports whether an order carries the current token of its worker.
func (o *Owner) IsCurrent(order Order) bool {
	w := o.workers[order.Worker]
	return w != nil && order.Token == o.orderToken(w)
}

// Renew returns an order with the current token of its worker; ok is false if the worker has been fenced since the order was made.
func (o *Owner) Renew(order Order) (current Order, ok bool) {
	w := o.workers[order.Worker]
	if w == nil || order.Token < w.fenceToken {
		return order, false
	}
	order.Token = o.orderToken(w)
	return order, true
}
