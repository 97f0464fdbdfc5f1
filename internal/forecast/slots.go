package forecast

import "time"

const (
	// minRetryDelay is the least delay after which a refused caller may come back.
	minRetryDelay = time.Second
	// maxRetryDelay bounds the delay. The late limits of most jobs are 6 to 24 s after the caller's first attempt, and what is submitted
	// meanwhile makes forecasts further ahead worthless.
	maxRetryDelay = 10 * time.Second
)

// Slots spreads the callers that a host refuses over the time at which room becomes free, in the order of arrival. It is immutable.
type Slots struct {
	last time.Time
}

// Take returns the delay for the next refused caller, given when its job could be served and how often a shard has room for such a job.
// Each of the hosts gives out every so many slots of all shards. Once the slots reach the bound they begin anew, so that callers don't
// come back all at once.
func (s Slots) Take(now time.Time, d Decision, hosts, shards int) (Slots, time.Duration) {
	first := now.Add(min(max(d.Delay, minRetryDelay), maxRetryDelay))
	end := now.Add(maxRetryDelay)
	width := d.Slot * time.Duration(max(hosts, 1)) / time.Duration(max(shards, 1))
	at := first
	if next := s.last.Add(width); next.After(first) {
		at = next
	}
	if at.After(end) {
		// The part of the interval from the least delay on is used again, also if room becomes free later than the bound.
		at = now.Add(minRetryDelay + (at.Sub(now)-minRetryDelay)%(maxRetryDelay-minRetryDelay))
	}
	return Slots{last: at}, at.Sub(now)
}
