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

// Preference orders candidates as owners of a shard by weighted rendezvous hashing; higher comes first. The weight is
// the fourth power of the strength that a host has for each shard, so that weak hosts own one only when the strong ones are
// gone: an owner without processor time to spare delays all its workers.
func (c Candidate) Preference(shard int) float64 {
	u := (float64(xxhash.Sum64String(strconv.Itoa(shard)+"/"+c.Host)>>11) + 1) / (1 << 53)
	weight := max(c.Strength, minStrength) / float64(1+c.Shards)
	return math.Pow(weight, 4) / -math.Log(u)
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
