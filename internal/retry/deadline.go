package retry

import "time"

// HopMargin is the time that a hop reserves for the return of the response. The one-way delay between zones is
// about 5 ms.
const HopMargin = 10 * time.Millisecond

// Deadline is the time by which a caller needs the response; zero means none.
type Deadline struct{ time.Time }

// DeadlineAfter returns the deadline of a request that was received with the given remaining time; zero or less
// means no deadline. Hosts send the remaining time, not a point in time, because their clocks differ.
func DeadlineAfter(now time.Time, remaining time.Duration) Deadline {
	if remaining <= 0 {
		return Deadline{}
	}
	return Deadline{now.Add(remaining)}
}

// Allows reports whether an attempt that starts after the pause and takes the given time would end HopMargin
// before the deadline.
func (d Deadline) Allows(now time.Time, pause, attempt time.Duration) bool {
	return d.IsZero() || !now.Add(pause+attempt+HopMargin).After(d.Time)
}

// RemainingForNextHop returns the remaining time to send to the next hop, which is HopMargin less than the host's own,
// and whether enough is left to send the request at all. Without a deadline it returns zero and true.
func (d Deadline) RemainingForNextHop(now time.Time) (time.Duration, bool) {
	if d.IsZero() {
		return 0, true
	}
	left := d.Sub(now) - HopMargin
	if left <= 0 {
		return 0, false
	}
	return left, true
}
