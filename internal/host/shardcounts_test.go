package host_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/laburnumridge/laburnumridge/internal/fake"
	"github.com/laburnumridge/laburnumridge/internal/fleet"
	"github.com/laburnumridge/laburnumridge/internal/host"
	"github.com/laburnumridge/laburnumridge/internal/settings"
)

// Guards against a zone whose number of shards stays unknown because it started after this host's zone. It then counts as one
// shard, so that keys of its other partitions are sent to a host that does not own them, as often as they are repeated.
func TestShardCountOfLaterZoneIsRead(t *testing.T) {
	p := fake.NewPlatform()
	url, err := p.Start()
	assert.NilError(t, err)
	t.Cleanup(p.Stop)
	hostOf := func(zone string, shards int) *host.Host {
		h := newHost(t, func(s *settings.Settings) {
			s.Host, s.Zone, s.ZoneSettings.Shards = "host-"+zone, zone, shards
			s.Platform.Endpoints = []string{url}
		})
		h.SetHostList(
			fleet.Host{ID: "host-y", Kind: fleet.KindEntryHost, Zone: "y"},
			fleet.Host{ID: "host-z", Kind: fleet.KindEntryHost, Zone: "z"},
		)
		return h
	}
	y, z := hostOf("y", 1), hostOf("z", 3)
	assert.NilError(t, y.LoadShardCounts(t.Context()))
	assert.NilError(t, z.LoadShardCounts(t.Context()))
	assert.Equal(t, z.ShardCount("y"), 1)
	assert.Equal(t, z.ShardCount("z"), 3)
	assert.NilError(t, y.LoadShardCounts(t.Context()))
	assert.Equal(t, y.ShardCount("z"), 3)
	reads := p.Counts().Reads
	assert.NilError(t, y.LoadShardCounts(t.Context()))
	assert.Equal(t, p.Counts().Reads, reads, "counts that are known are read again")
}
