package election_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/laburnumridge/laburnumridge/internal/election"
)

func member(host string, shards int, strength float64) election.Member {
	return election.Member{
		Candidate: election.Candidate{Host: host, Shards: shards, Strength: strength}, StableFor: time.Minute,
	}
}

// Guards against an owner that keeps more than its share beside idle hosts, and against handovers that relieve nobody.
func TestShardIsHandedToClearlyLessLoadedHost(t *testing.T) {
	fresh, returned, changed := member("fresh", 0, 0.8), member("returned", 0, 0.8), member("changed", 3, 0.8)
	fresh.StableFor, returned.StableFor, returned.Rejoins = time.Second, 2*time.Second, 1
	changed.StableFor = time.Second
	for name, tc := range map[string]struct {
		self   election.Member
		others []election.Member
		want   string
	}{
		"idle host as strong":                {member("a", 3, 0.8), []election.Member{member("b", 0, 0.8)}, "b"},
		"a shard less":                       {member("a", 3, 0.8), []election.Member{member("b", 1, 0.8)}, "b"},
		"weak owner":                         {member("a", 1, 0.11), []election.Member{member("b", 0, 0.8)}, "b"},
		"the less loaded one of two":         {member("a", 3, 0.8), []election.Member{member("b", 1, 0.8), member("c", 0, 0.7)}, "c"},
		"equal afterwards":                   {member("a", 2, 0.8), []election.Member{member("b", 1, 0.8)}, ""},
		"idle hosts are weak":                {member("a", 2, 0.8), []election.Member{member("b", 0, 0.11), member("c", 0, 0.4)}, ""},
		"hardly stronger":                    {member("a", 1, 0.7), []election.Member{member("b", 0, 0.8)}, ""},
		"nothing to give":                    {member("a", 0, 0.11), []election.Member{member("b", 0, 0.8)}, ""},
		"alone":                              {member("a", 3, 0.8), nil, ""},
		"candidate has just registered":      {member("a", 3, 0.8), []election.Member{fresh}, ""},
		"candidate comes and goes":           {member("a", 3, 0.8), []election.Member{returned}, ""},
		"stable candidate beside a new one":  {member("a", 3, 0.8), []election.Member{fresh, member("b", 1, 0.8)}, "b"},
		"owner has just taken or lost shard": {changed, []election.Member{member("b", 0, 0.8)}, ""},
	} {
		t.Run(name, func(t *testing.T) {
			var owned []int
			for n := range tc.self.Shards {
				owned = append(owned, n)
			}
			h, ok := election.Rebalance(tc.self, owned, tc.others)
			assert.Equal(t, ok, tc.want != "")
			assert.Equal(t, h.To.Host, tc.want)
		})
	}
}

// Guards against an owner that hands its shards over one after the other while hosts are idle for several of them, and against one
// that takes the hosts which other owners need at the same time.
func TestFurtherShardIsHandedOverUnlessOtherOwnersNeedRelief(t *testing.T) {
	self, receiver := member("a", 2, 0.8), member("b", 1, 0.8)
	self.Giving, receiver.StableFor = 1, 0
	for name, tc := range map[string]struct {
		others []election.Member
		want   string
	}{
		"idle host":                     {[]election.Member{receiver, member("c", 0, 0.8)}, "c"},
		"receiver of the other shard":   {[]election.Member{receiver}, ""},
		"other owners have their share": {[]election.Member{receiver, member("c", 0, 0.8), member("d", 1, 0.8)}, "c"},
		"less loaded owner":             {[]election.Member{receiver, member("c", 0, 0.8), member("d", 2, 0.9)}, ""},
		"more loaded owner":             {[]election.Member{receiver, member("c", 0, 0.8), member("d", 1, 0.192)}, ""},
	} {
		t.Run(name, func(t *testing.T) {
			h, ok := election.Rebalance(self, []int{0, 1}, tc.others)
			assert.Equal(t, ok, tc.want != "")
			assert.Equal(t, h.To.Host, tc.want)
		})
	}
}
