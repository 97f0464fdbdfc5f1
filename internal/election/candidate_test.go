package election_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/laburnumridge/laburnumridge/internal/election"
)

// Guards against a score that ignores how many shards a host already owns, so that one host owns all of them, and against
// hosts with little processor time that own a shard while stronger hosts own none.
func TestShardsAreSpreadOverStrongHosts(t *testing.T) {
	for _, shards := range []int{4, 5, 8} {
		hosts := make([]election.Candidate, 42)
		for i := range hosts {
			hosts[i] = election.Candidate{Host: fmt.Sprintf("front-%d", i), Strength: 0.11}
			if i < 8 {
				hosts[i].Strength = 0.8
			}
		}
		owners := map[string]bool{}
		for n := range shards {
			for i, h := range hosts {
				if election.Rank(h, hosts, n) == 0 {
					owners[h.Host] = true
					hosts[i].Shards++
					assert.Equal(t, h.Strength, 0.8, "weak host owns one of %d shards: %s", shards, h.Host)
					break
				}
			}
		}
		assert.Assert(t, len(owners) >= shards-1, "%d shards are owned by %d hosts", shards, len(owners))
	}
}

// Guards against bands of load in which a host with two shards ranks like one with a single shard, and against a fixed order of
// hosts whose loads are nearly equal, in which one host would own every first shard.
func TestLessLoadedHostIsPreferred(t *testing.T) {
	for _, strength := range []float64{0.11, 0.16, 0.4, 0.55, 0.8} {
		for owned := range 6 {
			for n := range 50 {
				less := election.Candidate{Host: "less", Shards: owned, Strength: strength}
				more := election.Candidate{Host: "more", Shards: owned + 1, Strength: strength}
				assert.Equal(t, election.Rank(less, []election.Candidate{more}, n), 0, "%d or %d shards at %v", owned, owned+1, strength)
				assert.Equal(t, election.Rank(more, []election.Candidate{less}, n), 1, "%d or %d shards at %v", owned, owned+1, strength)
			}
		}
	}
	first := 0
	for n := range 50 {
		first += election.Rank(election.Candidate{Host: "a", Strength: 0.8},
			[]election.Candidate{{Host: "b", Strength: 0.79}, {Host: "c", Strength: 0.8}}, n)
	}
	assert.Assert(t, first > 20 && first < 80, "sum of ranks over 50 shards: %d", first)
}
