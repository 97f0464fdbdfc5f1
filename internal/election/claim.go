package election

import (
	"slices"
	"time"
)

const (
	// rankDelay separates the claims of the candidates for a shard, so that usually only one host writes.
	rankDelay = 120 * time.Millisecond
	// yieldUnit is how long a host leaves a shard to others while the membership is incomplete, for each time that its load
	// would exceed the load of a host with one shard. Hosts that lost power at once registered within 0.15 s of the first one.
	yieldUnit = 150 * time.Millisecond
	// maxYieldDelay bounds the time for which a shard stays without an owner because of that.
	maxYieldDelay = 450 * time.Millisecond
)

// ClaimDelay returns how long self waits before it claims a shard without an owner. Candidates claim in the order of their
// scores, rankDelay apart. If isIncomplete is set, hosts may be about to register, such as one as strong as the strongest of the
// last owners, whose strengths are formerStrengths. A candidate that would be more loaded than a host of that strength with one
// shard then waits longer, and so do those behind it, so that the order stays the same.
func ClaimDelay(self Candidate, others []Candidate, shard int, isIncomplete bool, formerStrengths ...float64) time.Duration {
	delay := -rankDelay
	for _, c := range append(preferred(self, others, shard), self) {
		delay += rankDelay
		if isIncomplete {
			delay = max(delay, c.yieldDelay(formerStrengths))
		}
	}
	return delay
}

// yieldDelay returns how long the candidate leaves a further shard to hosts that may be about to register.
func (c Candidate) yieldDelay(formerStrengths []float64) time.Duration {
	excess := float64(c.Shards)
	if len(formerStrengths) > 0 {
		excess = max(excess, c.loadWith(1)*slices.Max(formerStrengths)-1)
	}
	return min(time.Duration(excess*float64(yieldUnit)), maxYieldDelay)
}
