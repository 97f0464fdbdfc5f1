package election

import (
	"slices"
	"time"
)

const (
	// rankDelay separates the claims of the candidates for a shard, so that usually only one host writes.
	rankDelay = 120 * time.Millisecond
	// paceDelay is how long a host leaves a shard to others while the membership is incomplete, for each time that its load
	// would exceed the load of a host with one shard. Hosts that lost power at once registered within 0.15 s of the first one.
	paceDelay = 150 * time.Millisecond
	// maxPaceDelay bounds the time for which pacing leaves a shard without an owner.
	maxPaceDelay = 450 * time.Millisecond
)

// ClaimDelay returns how long self waits before it claims a shard without an owner. Candidates claim in the order of their
// scores, rankDelay apart. If isIncomplete is set, hosts may be about to register, such as one as strong as the strongest of
// formerOwners, and a candidate that would be more loaded than a host of that strength with one shard waits longer. Those
// behind it wait as well, so that pacing does not change the order.
func ClaimDelay(self Candidate, others []Candidate, shard int, isIncomplete bool, formerOwners ...float64) time.Duration {
	delay := -rankDelay
	for _, c := range append(preferred(self, others, shard), self) {
		delay += rankDelay
		if isIncomplete {
			delay = max(delay, c.pace(formerOwners))
		}
	}
	return delay
}

// pace returns how long the candidate leaves a further shard to hosts that may be about to register.
func (c Candidate) pace(formerOwners []float64) time.Duration {
	excess := float64(c.Shards)
	if len(formerOwners) > 0 {
		excess = max(excess, c.loadWith(1)*slices.Max(formerOwners)-1)
	}
	return min(time.Duration(excess*float64(paceDelay)), maxPaceDelay)
}
