package host_test

import (
	"io"
	"testing"

	"github.com/sirupsen/logrus"
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
	newHost := func(zone string, shards int) *host.Host {
		s := settings.Default()
		s.Host, s.Zone, s.ZoneSettings.Shards = "host-"+zone, zone, shards
		s.Platform.Endpoints = []string{url}
		log := logrus.New()
		log.SetOutput(io.Discard)
		h, err := host.New(s, host.WithLog(log))
		assert.NilError(t, err)
		h.SetHostList(
			fleet.Host{ID: "host-y", Kind: fleet.KindEntryHost, Zone: "y"},
			fleet.Host{ID: "host-z", Kind: fleet.KindEntryHost, Zone: "z"},
		)
		return h
	}
	y, z := newHost("y", 1), newHost("z", 3)
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
