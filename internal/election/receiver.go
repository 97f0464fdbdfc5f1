package election

import (
	"cmp"
	"slices"
	"time"
)

// Receiver returns the host to which an owner leaves a shard that it can't serve, and whether there is one. Of the other live hosts, none
// of which is draining, it is one of those that failed or came and went the least lately, and of these the one with the highest score.
// Hosts that have just come are left out, since they may not be ready to take a shard, but their load need not be stable: any owner is
// better than one that does not serve the shard.
func Receiver(others []Member, shard int) (Candidate, bool) {
	known := slices.DeleteFunc(slices.Clone(others), func(m Member) bool { return m.KnownFor < stableTime })
	if len(known) == 0 {
		return Candidate{}, false
	}
	return slices.MinFunc(known, func(a, b Member) int {
		return cmp.Or(cmp.Compare(a.Rejoins, b.Rejoins), cmp.Compare(b.Score(shard), a.Score(shard)))
	}).Candidate, true
}

// LastClaimDelay returns the further delay after which a host claims a shard behind all others, one of which may wait for its turn behind
// each of the rest. It is for hosts that could probably not serve the shard.
func LastClaimDelay(others int) time.Duration { return rankDelay * time.Duration(others+1) }
