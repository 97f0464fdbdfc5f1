package retry

import "time"

// HopMargin is what a hop keeps of the remaining time for the way back of the response: the delay
// between zones is about 5 ms one way.
const HopMargin = 10 * time.Millisecond

// Deadline is the time by which a caller needs the response; zero means none.
type Deadline struct{ time.Time }

// DeadlineAfter returns the deadline for a caller that stated its remaining time, as it travels
// between hosts; zero or less means none. A duration travels, not a time, because hosts' clocks differ.
func DeadlineAfter(now time.Time, remaining time.Duration) Deadline {
	if remaining <= 0 {
		return Deadline{}
	}
	return Deadline{now.Add(remaining)}
}

// Allows reports whether an attempt that begins after a pause and takes a time can still end.
func (d Deadline) Allows(now time.Time, pause, attempt time.Duration) bool {
	return d.IsZero() || !now.Add(pause+attempt+HopMargin).After(d.Time)
}

// Next returns the remaining time to state to the next hop, less HopMargin. It is false if too
// little is left to send at all, and zero and true if there is no deadline.
func (d Deadline) Next(now time.Time) (time.Duration, bool) {
	if d.IsZero() {
		return 0, true
	}
	left := d.Sub(now) - HopMargin
	if left <= 0 {
		return 0, false
	}
	return left, true
}
