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
