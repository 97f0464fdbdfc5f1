package election

import (
	"cmp"
	"slices"
	"time"
)

const (
	// minRelief is the least fraction of its load by which an owner has to exceed the load of another host after the handover.
	// It keeps a shard from moving between hosts whose strength differs little.
	minRelief = 0.2
	// stableTime is how long both hosts must have been stable, so that a host that is still starting, or about to take other
	// shards, receives none.
	stableTime = 1500 * time.Millisecond
	// maxRejoins bounds how often the stable time doubles for a host that keeps coming and going: up to 24 s.
	maxRejoins = 4
	// turnTime is how long an owner waits for each more loaded owner if there is no host for each of them. A handover takes up to
	// 0.8 s until others see it, 0.5 s of it for the commit in flight, and owners that decide on the same view would choose the
	// same host.
	turnTime = time.Second
)

// Member is a live host that may give or receive a shard. Its Shards are all that it owns.
type Member struct {
	Candidate
	// Giving is the number of shards that the host is handing over at present. They do not count as its Shards any more.
	Giving int
	// KnownFor is how long the host has been known, or since it last failed to take, hand over or load a shard.
	KnownFor time.Duration
	// Rejoins is how often the host has come back recently.
	Rejoins int
	// StableFor is how long the host has been known without a change in the shards that it owns. A host does not count the shards
	// that it has handed over as changes of its own.
	StableFor time.Duration
}

// Handover is the decision of an owner to hand one of its shards over to another host.
type Handover struct {
	From, To Candidate
	Shard    int
}

// Rebalance decides whether self hands one of owned, the shards that it owns and may hand over, to one of the other live hosts,
// none of which is draining. It does if a host would be clearly less loaded with the shard than self is now. Of such hosts, self
// leaves the least loaded ones to the owners that are more loaded than self, one to each, so that all of them can hand over at the
// same time. While self is handing over another shard, it hands over a further one only if no other owner needs relief: the
// handovers of others are not seen until they are done. With a steady membership, the sum over all hosts of the loads at which they
// took each of their shards drops with every handover, so handovers end.
func Rebalance(self Member, owned []int, others []Member) (Handover, bool) {
	h := Handover{From: self.Candidate, Shard: -1}
	if len(owned) == 0 {
		return h, false
	}
	wait := self.requiredStableTime()
	if self.StableFor < wait {
		return h, false
	}
	var relieving []Member
	for _, m := range others {
		if self.isRelievedBy(m) && m.StableFor >= max(wait, m.requiredStableTime()) {
			relieving = append(relieving, m)
		}
	}
	slices.SortFunc(relieving, func(a, b Member) int {
		return cmp.Or(cmp.Compare(a.loadWith(1), b.loadWith(1)), cmp.Compare(a.Host, b.Host))
	})
	if len(relieving) == 0 || self.Giving > 0 && slices.ContainsFunc(others, func(m Member) bool {
		return m.Shards > 0 && m.isRelievedBy(relieving[0])
	}) {
		return h, false
	}
	ahead := ownersAhead(self, others)
	if ahead >= len(relieving) {
		turn := wait + turnTime*time.Duration(ahead)
		relieving = slices.DeleteFunc(relieving, func(m Member) bool { return min(self.StableFor, m.StableFor) < turn })
		ahead = 0
	}
	if len(relieving) == 0 {
		return h, false
	}
	h.To = relieving[ahead].Candidate
	for _, n := range owned {
		if h.Shard < 0 || h.To.Score(n) > h.To.Score(h.Shard) {
			h.Shard = n
		}
	}
	return h, true
}

// isRelievedBy reports whether another host would be clearly less loaded with a further shard than m is now.
func (m Member) isRelievedBy(other Member) bool {
	return other.loadWith(1) <= m.loadWith(0)*(1-minRelief)
}

// requiredStableTime returns how long the host must be stable before it gives or receives a shard. It doubles with each rejoin,
// so that a host that comes and goes does not cause a handover each time.
func (m Member) requiredStableTime() time.Duration { return stableTime << min(m.Rejoins, maxRejoins) }

// ownersAhead returns the number of owners that are more loaded than self; the names order owners of the same load.
func ownersAhead(self Member, others []Member) int {
	ahead := 0
	for _, m := range others {
		load, selfLoad := m.loadWith(0), self.loadWith(0)
		if m.Shards > 0 && (load > selfLoad || load == selfLoad && m.Host < self.Host) {
			ahead++
		}
	}
	return ahead
}
