package election

import "time"

const (
	// rankDelay separates the claims of the candidates for a shard, so that usually only one host writes.
	rankDelay = 120 * time.Millisecond
	// paceDelay is multiplied by the number of shards that a host owns to get the least time that it leaves a further shard to
	// others while the membership is incomplete. Hosts that lost power at once registered within 0.15 s of the first one.
	paceDelay = 150 * time.Millisecond
	// maxPaceDelay bounds the time for which pacing leaves a shard without an owner.
	maxPaceDelay = 450 * time.Millisecond
)

// ClaimDelay returns how long self waits before it claims a shard without an owner. Candidates claim in the order of their
// scores, rankDelay apart. If isIncomplete is set, hosts may be about to register, and a candidate that owns shards waits
// longer. Those behind it wait as well, so that pacing does not change the order.
func ClaimDelay(self Candidate, others []Candidate, shard int, isIncomplete bool) time.Duration {
	delay := -rankDelay
	for _, c := range append(preferred(self, others, shard), self) {
		delay += rankDelay
		if isIncomplete {
			delay = max(delay, min(time.Duration(c.Shards)*paceDelay, maxPaceDelay))
		}
	}
	return delay
}
