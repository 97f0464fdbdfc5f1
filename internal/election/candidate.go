package election

import (
	"cmp"
	"math"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

const (
	// hashWeight is how much of a score depends on the hash: as much as a difference in load of 7%. Two hosts of equal strength
	// differ by more than that up to 13 shards each.
	hashWeight = 0.1
	// minStrength is the lower bound of a host's strength, and its value if the strength is unknown.
	minStrength = 0.01
)

// Candidate is a host that may own a shard.
type Candidate struct {
	Host string
	// Shards is the number of other shards that the host owns.
	Shards int
	// Strength is the processor time available to the host, in cores.
	Strength float64
}

// Score ranks candidates as owners of a shard; a higher score comes first. It drops by one each time the number of shards
// per strength doubles, since an owner without spare processor time delays all its workers. The hash of shard
// and host (rendezvous hashing) orders candidates whose loads differ by less than hashWeight.
func (c Candidate) Score(shard int) float64 {
	hash := float64(xxhash.Sum64String(strconv.Itoa(shard)+"/"+c.Host)>>11) / (1 << 53)
	return hashWeight*hash - math.Log2(c.loadWith(1))
}

// loadWith returns the shards per strength of the candidate if it owned more of them.
func (c Candidate) loadWith(more int) float64 {
	return float64(c.Shards+more) / max(c.Strength, minStrength)
}

// Rank returns how many of the others have a higher score than self as the owner of a shard.
func Rank(self Candidate, others []Candidate, shard int) int {
	return len(preferred(self, others, shard))
}

// preferred returns the others that have a higher score than self as the owner of a shard, the highest first.
func preferred(self Candidate, others []Candidate, shard int) []Candidate {
	scores := map[string]float64{}
	var out []Candidate
	for _, c := range others {
		if score := c.Score(shard); c.Host != self.Host && score > self.Score(shard) {
			scores[c.Host] = score
			out = append(out, c)
		}
	}
	slices.SortFunc(out, func(a, b Candidate) int { return cmp.Compare(scores[b.Host], scores[a.Host]) })
	return out
}
