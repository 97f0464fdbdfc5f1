package host_test

import (
	"strconv"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/laburnumridge/laburnumridge/internal/settings"
)

// Guards against a key table that exceeds a peer frame or loses keys on its way, and against a successor that takes a part of a
// table for all of it: keys that are missing would run again.
func TestLargeKeyTableIsHandedOverInParts(t *testing.T) {
	h := newHost(t, func(s *settings.Settings) { s.Host, s.Zone = "a", "z" })
	for _, n := range []int{0, 1, 5000, 12_001} {
		messages := 0
		got, err := h.SendKeys(t.Context(), n, func(int) bool { messages++; return true })
		assert.NilError(t, err)
		assert.Equal(t, len(got), n)
		for i, k := range got {
			assert.Equal(t, k, strconv.Itoa(i))
		}
		assert.Equal(t, messages, max(1, (n+4999)/5000))
	}
	for lost := range 2 {
		_, err := h.SendKeys(t.Context(), 12_001, func(part int) bool { return part != lost })
		assert.Assert(t, err != nil, "part %d is missing", lost)
	}
}
