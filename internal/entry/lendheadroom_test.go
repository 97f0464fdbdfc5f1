package entry_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/laburnumridge/laburnumridge/internal/entry"
	"github.com/laburnumridge/laburnumridge/internal/kvstore"
	"github.com/laburnumridge/laburnumridge/internal/peer"
)

// Guards against an owner that overlooks the tasks that wait in another shard, counts those of its own, or takes silence for some.
func TestOwnerAsksForInterruptedTasksOfOtherShards(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		waiting := map[string]int{"0": 5, "1": 0, "2": 3}
		h := newHost(1, kvstore.Store{})
		h.SetOwners("0", "1", "2")
		h.SetRequest(func(ctx context.Context, owner string, _ peer.Message) (peer.Message, error) {
			if waiting[owner] < 0 {
				<-ctx.Done()
				return peer.Message{}, ctx.Err()
			}
			return peer.Message{LoadReply: &peer.LoadReply{Interrupted: waiting[owner], Known: true, Room: 1}}, nil
		})
		assert.Equal(t, h.InterruptedElsewhere(t.Context(), 0), 3)
		waiting["2"] = -1
		time.Sleep(entry.MaxUnansweredLoadAge + time.Millisecond)
		assert.Equal(t, h.InterruptedElsewhere(t.Context(), 0), 0)
	})
}
