package election_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/laburnumridge/laburnumridge/internal/election"
)

// claimSimulation lets hosts that register one after the other claim shards, in steps of a millisecond.
type claimSimulation struct {
	hosts        []election.Candidate
	registeredAt []int
	// owners holds the host that owns each shard, by index, or -1.
	owners []int
}

// run simulates hosts whose directory shows the registered hosts and owners of that moment, until every shard is owned, and
// returns the millisecond of the last claim.
func (s *claimSimulation) run(t *testing.T) int {
	for now := range 5000 {
		var live []election.Candidate
		for i, h := range s.hosts {
			if s.registeredAt[i] <= now {
				live = append(live, h)
			}
		}
		for i := range s.hosts {
			for n, owner := range s.owners {
				waited := time.Duration(now-s.registeredAt[i]) * time.Millisecond
				if owner >= 0 || waited < 0 || waited < election.ClaimDelay(s.hosts[i], live, n, true) {
					continue
				}
				s.owners[n] = i
				s.hosts[i].Shards++
			}
		}
		if !slices.Contains(s.owners, -1) {
			return now
		}
	}
	t.Fatal("shards without an owner after 5 s")
	return 0
}

// Guards against the first of many hosts that start at the same moment taking every shard, because it ranks itself before
// the others have registered.
func TestHostsThatStartTogetherShareTheShards(t *testing.T) {
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 1))
		s := claimSimulation{owners: []int{-1, -1, -1}}
		for i := range 42 {
			h := election.Candidate{Host: fmt.Sprintf("front-%d", i), Strength: 0.11}
			at := 30 + random.IntN(150)
			if i < 10 {
				h.Strength = 0.8
				at = random.IntN(140)
			}
			s.hosts, s.registeredAt = append(s.hosts, h), append(s.registeredAt, at)
		}
		s.run(t)
		for _, h := range s.hosts {
			assert.Assert(t, h.Shards <= 1, "seed %d: %s owns %d of 3 shards while 9 hosts as strong own none", seed, h.Host, h.Shards)
		}
	}
}

// Guards against shards that stay without an owner because the only host waits for others.
func TestHostThatIsAloneSoonTakesAllShards(t *testing.T) {
	for _, shards := range []int{1, 2, 3, 13} {
		s := claimSimulation{hosts: []election.Candidate{{Host: "alone", Strength: 0.8}}, registeredAt: []int{0}}
		for range shards {
			s.owners = append(s.owners, -1)
		}
		last := s.run(t)
		assert.Assert(t, last <= 450, "the last of %d shards was taken after %d ms", shards, last)
		assert.Equal(t, election.ClaimDelay(election.Candidate{Host: "alone"}, nil, 0, true), time.Duration(0))
	}
}

// Guards against a weak host that takes a shard because a stronger one, which owns a shard, waits longer; and against pacing
// once the membership is known.
func TestPacingKeepsTheOrderOfClaims(t *testing.T) {
	strong := election.Candidate{Host: "strong", Shards: 1, Strength: 0.8}
	weak := election.Candidate{Host: "weak", Strength: 0.11}
	for n := range 50 {
		first := election.ClaimDelay(strong, []election.Candidate{weak}, n, true)
		assert.Assert(t, first > 0)
		assert.Assert(t, election.ClaimDelay(weak, []election.Candidate{strong}, n, true) > first)
		assert.Equal(t, election.ClaimDelay(strong, []election.Candidate{weak}, n, false), time.Duration(0))
	}
}

// Guards against a weak host that takes a shard before a host as strong as its last owner has registered, against strong hosts that
// wait as well, and against a fleet of weak hosts that waits although no host is about to register.
func TestWeakHostLeavesShardToHostAsStrongAsItsLastOwner(t *testing.T) {
	strong, weak := election.Candidate{Host: "strong", Strength: 0.8}, election.Candidate{Host: "weak", Strength: 0.192}
	assert.Equal(t, election.ClaimDelay(strong, nil, 0, true, 0.8, 0.11), time.Duration(0))
	assert.Equal(t, election.ClaimDelay(weak, nil, 0, true, 0.11, 0.8), 450*time.Millisecond)
	assert.Equal(t, election.ClaimDelay(weak, nil, 0, true, 0.192), time.Duration(0))
	assert.Equal(t, election.ClaimDelay(weak, nil, 0, false, 0.8), time.Duration(0))
	assert.Equal(t, election.ClaimDelay(strong, []election.Candidate{weak}, 0, true, 0.8), time.Duration(0))
}
