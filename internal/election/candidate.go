package election

import (
	"math"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// minStrength stands for hosts whose share of a processor is not known.
const minStrength = 0.01

// Candidate is a host that may own a shard.
type Candidate struct {
	Host string
	// Shards is how many other shards the host owns.
	Shards int
	// Strength is the host's share of a processor, as a part of 1.
	Strength float64
}

// Preference orders candidates as owners of a shard; higher comes first. It steps down by one each time the shards for a
// host's strength double, since an owner without processor time to spare delays all its workers; rendezvous hashing orders
// hosts of the same step.
func (c Candidate) Preference(shard int) float64 {
	load := float64(1+c.Shards) / max(c.Strength, minStrength)
	u := float64(xxhash.Sum64String(strconv.Itoa(shard)+"/"+c.Host)>>11) / (1 << 53)
	return u - math.Floor(math.Log2(load))
}

// Rank returns how many of the others come before self as the owner of a shard.
func Rank(self Candidate, others []Candidate, shard int) int {
	mine, before := self.Preference(shard), 0
	for _, c := range others {
		if c.Host != self.Host && c.Preference(shard) > mine {
			before++
		}
	}
	return before
}
