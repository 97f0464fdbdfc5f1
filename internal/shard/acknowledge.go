package shard

import (
	"time"

	"github.com/laburnumridge/laburnumridge/internal/workercall"
)

// Acknowledgement returns a poll that acknowledges the recorded ends of a worker, to be sent at once after the answer to the poll p,
// which was sent at sent, has been handled; ok is false if there is none. It follows a poll that left the acknowledgement out. The
// rounds of an owner that is short of processor time may be further apart than maxAckGap, so their polls alone would never have one.
func (o *Owner) Acknowledgement(now time.Time, p Poll, sent time.Time) (next Poll, ok bool) {
	w := o.workers[p.Worker]
	// The worker has answered after sent, however late the owner handles the answer.
	if w == nil || !p.omitsAcknowledgement || now.Sub(sent) >= maxAckGap || p.Seq != w.pollSeq || w.pollInFlight ||
		p.Token < w.fenceToken || !w.fenced || w.ackedEnd >= w.recordedEnd || o.withholdsAcknowledgement(now, w) {
		return Poll{}, false
	}
	o.seq++
	w.pollInFlight, w.pollSeq = true, o.seq
	next = p
	next.Token, w.ackInFlight, w.ackBlockedSince = o.orderToken(w), true, time.Time{}
	next.LastSeen, next.Seq, next.Until, next.omitsAcknowledgement = w.recordedEnd, o.seq, w.renewLease(now, o.renewedAt, o.timing), false
	w.noteCall(now, workercall.KindPoll, next.Until)
	if w.recordedEnd < w.lastEnd {
		next.Wait = 0
	}
	return next, true
}

// withheldUntil returns until when the ends of a worker are not acknowledged because a start of any task may still be carried out there: in
// a later lifetime, an acknowledgement that is late as well would reach the end of what that start began. The time moves on while a start is in
// flight. Starts of a crashed owner that may have a response don't count, or the ends of most workers would be withheld after a crash.
func (o *Owner) withheldUntil(now time.Time, w *worker) time.Time {
	until := w.withheldUntil
	for _, at := range w.attempts {
		until = maxTime(until, at.starts.Until(now, o.timing.CallDelay))
	}
	return until
}

// withholdsAcknowledgement reports whether the ends of a worker are not acknowledged now.
func (o *Owner) withholdsAcknowledgement(now time.Time, w *worker) bool {
	return now.Before(o.withheldUntil(now, w))
}

const (
	// ackOverdue is how long a poll that has ends to acknowledge waits for responses to starts before further starts wait for the poll.
	ackOverdue = 300 * time.Millisecond
	// maxAckWait is how long such a poll waits at most. Then it renews the lease without an acknowledgement.
	maxAckWait = time.Second
	// maxStartDelay is how long starts wait at most, until the acknowledgement is sent with that poll or follows it.
	maxStartDelay = 2 * time.Second
)

// isAckOverdue reports whether no start is sent to the worker before its next poll, so that starts in series don't keep its ends from being
// acknowledged.
func (w *worker) isAckOverdue(now time.Time) bool {
	wait := now.Sub(w.ackBlockedSince)
	return !w.ackBlockedSince.IsZero() && wait >= ackOverdue && wait < maxStartDelay
}

// awaitsStarts reports whether a poll that is due waits because nothing but starts in flight keeps it from acknowledging ends.
func (o *Owner) awaitsStarts(now time.Time, w *worker, a *Actions) bool {
	isInFlight := false
	until := w.withheldUntil
	for _, at := range w.attempts {
		isInFlight = isInFlight || at.starts.IsInFlight()
		until = maxTime(until, at.starts.LostUntil(o.timing.CallDelay))
	}
	mayAcknowledge := w.fenced && w.ackedEnd < w.recordedEnd && !now.Before(until)
	if !mayAcknowledge || now.Sub(w.ackBlockedSince) >= maxStartDelay {
		w.ackBlockedSince = time.Time{}
	}
	if !mayAcknowledge || !isInFlight {
		return false
	}
	if w.ackBlockedSince.IsZero() {
		w.ackBlockedSince = now
	}
	end := w.ackBlockedSince.Add(maxAckWait)
	if !now.Before(end) {
		return false
	}
	a.wakeAt(end)
	return true
}
