package entry_test

import (
	"slices"
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
		return startPeer(t, func(peer.Message) peer.Message {
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
	waitForLoads(t, h, 0, 1)
	assert.Equal(t, choose(), 0, "the shard with more room")
	late.Store(true)
	time.Sleep(entry.MaxUnansweredLoadAge + 100*time.Millisecond)
	waitForLoads(t, h, 1)
	assert.Equal(t, choose(), 1, "the shard whose owner answers")
}

// waitForLoads waits until the host has a load of each of the shards, which it then uses for MaxUnansweredLoadAge. On a busy machine
// even an owner that answers at once may be later than the timeout of a query, above all if it is dialled first.
func waitForLoads(t *testing.T, h *entry.Host, shards ...int) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); ; {
		if !slices.ContainsFunc(shards, func(n int) bool { return !h.KnowsLoad(t.Context(), n) }) {
			return
		}
		assert.Assert(t, time.Now().Before(deadline), "no load of shards %v", shards)
	}
}
