package election_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/laburnumridge/laburnumridge/internal/election"
)

// Guards against a shard that nobody serves staying where it is, or going to a host that has just failed or come, while another host
// could serve it.
func TestReceiverIsKnownAndHasNotFailed(t *testing.T) {
	host := func(name string, known time.Duration, rejoins int, strength float64) election.Member {
		return election.Member{
			Candidate: election.Candidate{Host: name, Shards: 1, Strength: strength}, KnownFor: known, Rejoins: rejoins,
		}
	}
	for name, tc := range map[string]struct {
		others []election.Member
		want   string
	}{
		"nobody":          {nil, ""},
		"only a new one":  {[]election.Member{host("new", time.Second, 0, 1)}, ""},
		"strongest":       {[]election.Member{host("weak", time.Minute, 0, 0.2), host("strong", time.Minute, 0, 1)}, "strong"},
		"one that failed": {[]election.Member{host("weak", time.Minute, 0, 0.2), host("failed", 30*time.Second, 1, 1)}, "weak"},
		"all have failed": {[]election.Member{host("twice", 9*time.Second, 2, 1), host("once", 9*time.Second, 1, 1)}, "once"},
	} {
		t.Run(name, func(t *testing.T) {
			to, ok := election.Receiver(tc.others, 0)
			assert.Equal(t, to.Host, tc.want)
			assert.Equal(t, ok, tc.want != "")
		})
	}
}
