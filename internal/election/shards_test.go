package election_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/laburnumridge/laburnumridge/internal/election"
)

// Guards against shards so large that no host has the processor time to own them, and against
// more shards than the hosts' processor time requires.
func TestShardCountFollowsHostStrength(t *testing.T) {
	strong := []float64{0.8, 0.11, 0.8, 0.11, 0.8, 0.8}
	for name, tc := range map[string]struct {
		workers   int
		strengths []float64
		want      int
	}{
		"one shard for a small fleet":       {66, []float64{0.4, 0.4, 0.4}, 1},
		"weak hosts":                        {48, []float64{0.16, 0.16, 0.16}, 1},
		"strong hosts own large shards":     {350, strong, 2},
		"two strong hosts may fail at once": {350, []float64{0.8, 0.8, 0.2, 0.2}, 3},
		"very weak hosts":                   {350, []float64{0.05, 0.05, 0.05}, 7},
		"a large fleet has many shards":     {2500, strong, 13},
		"strength unknown":                  {10, nil, 1},
	} {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, election.Shards(tc.workers, tc.strengths), tc.want)
		})
	}
}
