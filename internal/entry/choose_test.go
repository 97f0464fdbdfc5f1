package entry_test

import (
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/laburnumridge/laburnumridge/internal/entry"
	"github.com/laburnumridge/laburnumridge/internal/kvstore"
	"github.com/laburnumridge/laburnumridge/internal/peer"
	"github.com/laburnumridge/laburnumridge/internal/workflow"
)

// Guards against jobs that go to an owner that no longer answers, because the load that it reported before was low.
func TestLateOwnerDoesNotLookEmpty(t *testing.T) {
	var late atomic.Bool
	end := make(chan struct{})
	owner := func(free int64, isLate func() bool) string {
		return startPeer(t, func() peer.Message {
			if isLate() {
				<-end
			}
			return peer.Message{LoadReply: &peer.LoadReply{Free: free, Known: true, Room: 1000}}
		})
	}
	h := newHost(1, kvstore.Store{})
	h.SetOwners(owner(900, late.Load), owner(100, func() bool { return false }))
	defer close(end)
	choose := func() int {
		n, ok := h.ChooseShard(t.Context(), workflow.Job{Steps: []workflow.Step{{Count: 1}}})
		assert.Assert(t, ok)
		return n
	}
	assert.Equal(t, choose(), 0, "the shard with more room")
	late.Store(true)
	time.Sleep(entry.MaxUnansweredLoadAge + 100*time.Millisecond)
	assert.Equal(t, choose(), 1, "the shard whose owner answers")
}
