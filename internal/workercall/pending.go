package workercall

import "time"

// Pending is an immutable summary of calls of one kind, such as the starts of a run, as far as the worker may still carry them out.
type Pending struct {
	firstLost, lastLost     time.Time
	inFlight, lost, reached int
}

// NewLost returns the summary of a call that was lost at a time, and perhaps repeated.
func NewLost(lost time.Time, isRepeated bool) Pending {
	p := Pending{firstLost: lost, lastLost: lost, lost: 1}
	if isRepeated {
		p.reached = 1
	}
	return p
}

// WithSent returns the summary after a call was sent.
func (p Pending) WithSent() Pending {
	p.inFlight++
	return p
}

// WithoutCall returns the summary after it became known that a call that was sent never left this host.
func (p Pending) WithoutCall() Pending {
	p.inFlight = max(p.inFlight-1, 0)
	return p
}

// WithResponse returns the summary after a response: the call was carried out or refused, and will not be carried out again.
func (p Pending) WithResponse() Pending {
	p.inFlight, p.reached = max(p.inFlight-1, 0), p.reached+1
	return p
}

// WithLoss returns the summary after the sender stopped waiting for a response to a call, at a time that is not before its sending.
func (p Pending) WithLoss(now time.Time) Pending {
	p.inFlight = max(p.inFlight-1, 0)
	if p.lost == 0 {
		p.firstLost = now
	}
	p.lost, p.lastLost = p.lost+1, now
	return p
}

// WithoutResponses returns the summary after the sender stopped waiting for responses to all calls.
func (p Pending) WithoutResponses(now time.Time) Pending {
	for p.inFlight > 0 {
		p = p.WithLoss(now)
	}
	return p
}

// WithEffect returns the summary after the effect of the calls was seen. If there was only one, it has been carried out.
func (p Pending) WithEffect() Pending {
	if p.Count() == 1 && p.reached == 0 {
		return Pending{reached: 1}
	}
	return p
}

// Without returns the summary without the lost calls that can't be carried out any more, given the longest delay of a call.
func (p Pending) Without(now time.Time, delay time.Duration) Pending {
	if p.lost > 0 && !now.Before(p.lastLost.Add(delay)) {
		p.firstLost, p.lastLost, p.lost = time.Time{}, time.Time{}, 0
	}
	return p
}

// Until returns the time until which a call may be carried out that was sent until now, given the longest delay of a call; it is the
// zero time if there is none.
func (p Pending) Until(now time.Time, delay time.Duration) time.Time {
	if p.inFlight > 0 {
		return now.Add(delay)
	}
	return p.LostUntil(delay)
}

// LostUntil returns the time until which a lost call may be carried out, given the longest delay of a call; it is the zero time if there
// are none.
func (p Pending) LostUntil(delay time.Duration) time.Time {
	if p.lost == 0 {
		return time.Time{}
	}
	return p.lastLost.Add(delay)
}

// IsSingle reports whether a single call was sent, which is lost.
func (p Pending) IsSingle() bool { return p.IsUnanswered() && p.lost == 1 }

// IsUnanswered reports whether calls were sent of which none has a response, and none is in flight.
func (p Pending) IsUnanswered() bool { return p.lost > 0 && p.inFlight == 0 && p.reached == 0 }

// IsInFlight reports whether the sender waits for a response.
func (p Pending) IsInFlight() bool { return p.inFlight > 0 }

// Count returns the number of calls without a response.
func (p Pending) Count() int { return p.inFlight + p.lost }

// Since returns when the first of the lost calls was given up; it is the zero time if there are none.
func (p Pending) Since() time.Time { return p.firstLost }
