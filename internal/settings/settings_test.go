package settings_test

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/laburnumridge/laburnumridge/internal/settings"
)

// Guards against an example, from which the defaults are read, that does not parse or fails a check.
func TestExampleIsValid(t *testing.T) {
	_, err := settings.Parse([]byte(settings.Example))
	assert.NilError(t, err)
}

// Guards against invalid settings that are accepted, and against errors that do not tell the operator which key to
// correct.
func TestParseErrorNamesTheKey(t *testing.T) {
	for _, tc := range []struct{ old, new, want string }{
		{`shards = 1`, `shards = 0`, "zone_settings.shards"},
		{`shards = 1`, `shards = "one"`, "shards"},
		{`shards = 1`, `shard_count = 1`, "shard_count"},
		{`format = "text"`, `format = "xml"`, "text or json"},
		{`writes_per_second = 30.0`, `writes_per_second = -1.0`, "platform.writes_per_second"},
		{`caller = "127.0.0.1:8400"`, `caller = "localhost"`, "listen.caller"},
		{`timeout = "2s"`, `timeout = "soon"`, "timeout"},
		{`memory_mb = 0.0`, `memory_mb = -1.0`, "limits.memory_mb"},
		{`memory_mb = 0.0`, `memory_mb = 31.9`, "limits.memory_mb"},
		{`memory_mb = 0.0`, `memory_mb = nan`, "limits.memory_mb"},
		{`memory_mb = 0.0`, `memory_mb = "much"`, "memory_mb"},
		{`remote_factor = 1.0`, `remote_factor = 0.5`, "worker.remote_factor"},
		{`remote_factor = 1.0`, `remote_factor = nan`, "worker.remote_factor"},
		{`remote_factor = 1.0`, `remote_factor = "three"`, "remote_factor"},
		{`host = "kelaniya-entry-1"`, `host = ""`, "host"},
	} {
		t.Run(tc.new, func(t *testing.T) {
			text := strings.Replace(settings.Example, tc.old, tc.new, 1)
			_, err := settings.Parse([]byte(text))
			assert.ErrorIs(t, err, settings.ErrInvalid)
			assert.ErrorContains(t, err, tc.want)
		})
	}
}

// Guards against a platform whose numbers can't be read because they have no fraction, or one.
func TestRemoteFactorMayBeFraction(t *testing.T) {
	for text, want := range map[string]float64{"1": 1, "3": 3, "1.5": 1.5} {
		s, err := settings.Parse([]byte(strings.Replace(settings.Example, "remote_factor = 1.0", "remote_factor = "+text, 1)))
		assert.NilError(t, err)
		assert.Equal(t, s.Worker.RemoteFactor, want)
	}
}

// Guards against overrides that reset the settings beside them, and against a platform without a figure, which fills in nothing.
func TestOverridesReplaceSingleSettings(t *testing.T) {
	s, err := settings.Parse([]byte(settings.Example), "worker.remote_factor=1.5", "limits.memory_mb=284", "worker.max_lease=")
	assert.NilError(t, err)
	want, err := settings.Parse([]byte(settings.Example))
	assert.NilError(t, err)
	want.Worker.RemoteFactor, want.Limits.MemoryMB = 1.5, 284
	assert.DeepEqual(t, s, want)
	for _, override := range []string{"limits.memory_mb=8", "limits.memory_mb=much", "limits.memori=1", "limits"} {
		_, err := settings.Parse([]byte(settings.Example), override)
		assert.ErrorIs(t, err, settings.ErrInvalid)
		assert.ErrorContains(t, err, "limits")
	}
}
