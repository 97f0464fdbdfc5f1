package host_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/laburnumridge/laburnumridge/internal/settings"
)

// Guards against a move that never ends, so that the host neither claims the shard nor moves others any more: the owner lost the
// shard while the queue of its loop was full, and the request waited for room in the queue.
func TestHandoverOfEndedOwnerIsNotAwaited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHost(t, func(s *settings.Settings) {
			s.Host, s.Zone, s.Platform.Endpoints = "a", "z", []string{"http://127.0.0.1:1"}
		})
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		h.RequestHandoverOfEndedOwner(ctx)
		assert.NilError(t, ctx.Err())
	})
}

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
