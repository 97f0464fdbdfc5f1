package host_test

import (
	"testing"
	"testing/synctest"

	"gotest.tools/v3/assert"

	"github.com/laburnumridge/laburnumridge/internal/settings"
)

// Guards against a shard owner that never commits again: the outcome of a commit arrived while the queue of the owner's loop
// was full, for example after a takeover with many starts, and was dropped, so that the commit stayed in flight.
func TestCommitOutcomeSurvivesFullQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHost(t, func(s *settings.Settings) {
			s.Host, s.Zone = "a", "z"
			s.Platform.Endpoints = []string{"http://127.0.0.1:1"}
		})
		assert.Assert(t, h.CommitWithFullQueue(t.Context(), synctest.Wait), "the batch is not proposed again")
	})
}
