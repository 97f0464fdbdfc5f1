package settings_test

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/laburnumridge/laburnumridge/internal/settings"
)

// FuzzParseSettings guards against settings files that make Parse panic, and against settings that Parse accepts
// although Check rejects them.
func FuzzParseSettings(f *testing.F) {
	f.Add([]byte(settings.Example))
	f.Add([]byte("host = \"h\"\n[limits]\nmax_body_bytes = -1\n"))
	f.Add([]byte(strings.Replace(settings.Example, "reads_per_second = 100.0", "reads_per_second = nan", 1)))
	f.Add([]byte(strings.Replace(settings.Example, "127.0.0.1:2379", "%zz", 1)))
	f.Add([]byte("[listen]\ncaller = 1\n\x00"))
	f.Fuzz(func(t *testing.T, text []byte) {
		s, err := settings.Parse(text)
		if err != nil {
			assert.ErrorIs(t, err, settings.ErrInvalid)
			return
		}
		assert.NilError(t, s.Check())
		assert.Assert(t, s.Platform.ReadsPerSecond >= 1 && s.Platform.WritesPerSecond >= 1)
	})
}
