package election_test

import (
	"fmt"
	"maps"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/laburnumridge/laburnumridge/internal/election"
)

// returnTogether lets hosts go and come back 50 ms apart, five times within a minute, and returns how long the first one must
// then be stable until an overloaded owner hands its shard over to it.
func returnTogether(hosts int) time.Duration {
	now, histories := time.Unix(1000, 0), map[string]election.History{}
	for round := range 6 {
		for i := range hosts {
			name := fmt.Sprintf("strong-%d", i)
			now = now.Add(50 * time.Millisecond)
			histories[name] = histories[name].WithRecordGone().WithRecord(now, fmt.Sprint(round))
			maps.Copy(histories, election.SharedReturns(now, histories))
		}
		now = now.Add(8 * time.Second)
	}
	now = now.Add(-8 * time.Second)
	for waited := time.Duration(0); ; waited += 100 * time.Millisecond {
		returned := histories["strong-0"].Member(now.Add(waited), election.Candidate{Host: "strong-0", Strength: 0.8})
		if _, ok := election.Rebalance(member("weak", 1, 0.192), []int{0}, []election.Member{returned}); ok {
			return waited
		}
	}
}

// Guards against a shard that stays with an overloaded owner because all hosts that could take it came back several times: an
// outage of the store, a cut zone or a loss of power made each of them wait up to 24 s, as if it came and went by itself. A failed
// task may wait for 3 s, once there has been calm for 4 s.
func TestReturnsOfManyHostsTogetherDoNotCount(t *testing.T) {
	assert.Assert(t, returnTogether(1) > 20*time.Second, "a single host that comes and goes")
	assert.Assert(t, returnTogether(2) > 20*time.Second, "two hosts that come and go")
	assert.Assert(t, returnTogether(3) < 3*time.Second, "three hosts return together")
	assert.Assert(t, returnTogether(40) < 3*time.Second, "many hosts return together")
}

// Guards against a host that fails once and counts as having come and gone twice: it did not take a shard that was handed to it,
// and it came back. With both, it may receive no shard for 6 s, which leaves an owner of several shards overloaded for longer
// than the 7 s in which a failed task must run again.
func TestHostThatFailsDuringHandoverCountsOnce(t *testing.T) {
	now := time.Unix(1000, 0)
	h := election.History{}.WithRecord(now, "1")
	h = h.WithMissedHandover(now.Add(5*time.Second)).WithRecordGone().WithRecord(now.Add(7*time.Second), "2")
	assert.Equal(t, h.Member(now.Add(8*time.Second), election.Candidate{}).Rejoins, 1)
	h = h.WithRecordGone().WithRecord(now.Add(9*time.Second), "3")
	assert.Equal(t, h.Member(now.Add(10*time.Second), election.Candidate{}).Rejoins, 2)
	h = h.WithMissedHandover(now.Add(12 * time.Second)).WithMissedHandover(now.Add(15 * time.Second))
	assert.Equal(t, h.Member(now.Add(16*time.Second), election.Candidate{}).Rejoins, 4)
}
