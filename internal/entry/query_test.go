package entry_test

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/laburnumridge/laburnumridge/internal/entry"
	"github.com/laburnumridge/laburnumridge/internal/kvstore"
	"github.com/laburnumridge/laburnumridge/internal/peer"
	"github.com/laburnumridge/laburnumridge/internal/workflow"
)

// Guards against a count of pending jobs that asks one owner after the other, so that a caller waits for the sum of
// their delays. Each owner here replies only once all of them have been asked.
func TestPendingAsksAllOwnersAtOnce(t *testing.T) {
	const owners = 3
	var asked sync.WaitGroup
	asked.Add(owners)
	var addresses []string
	for range owners {
		addresses = append(addresses, startPeer(t, func(m peer.Message) peer.Message {
			if m.LoadQuery != nil {
				return peer.Message{LoadReply: &peer.LoadReply{Known: true, Room: 1000}}
			}
			asked.Done()
			asked.Wait()
			return peer.Message{PendingReply: &peer.PendingReply{Count: 1, Known: true}}
		}))
	}
	h := newHost(1, kvstore.Store{
		Range: func(context.Context, string) ([]kvstore.KV, int64, error) { return nil, 0, kvstore.ErrUnavailable },
	})
	h.SetOwners(addresses...)
	waitForLoads(t, h, 0, 1, 2) // dials the owners, which may take long on a busy machine
	a := h.Pending(t.Context(), workflow.Queue{Name: "q"})
	assert.Equal(t, a.Outcome, entry.OutcomeAccepted)
	assert.Equal(t, a.Pending, owners)
}

// Guards against a count of pending jobs for each caller while the owner of a shard does not answer. Each count reads all records
// of the shard, and reads become slower the more callers count at once.
func TestCallersShareCountOfPendingJobs(t *testing.T) {
	for name, err := range map[string]error{"counted": nil, "store fails": kvstore.ErrUnavailable} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var reads atomic.Int64
				h := newHost(1, kvstore.Store{Range: func(context.Context, string) ([]kvstore.KV, int64, error) {
					reads.Add(1)
					time.Sleep(100 * time.Millisecond)
					return nil, 1, err
				}})
				h.SetShardCount(1)
				for range 20 {
					go h.Pending(t.Context(), workflow.Queue{Name: "q"})
				}
				time.Sleep(time.Second)
				assert.Assert(t, reads.Load() <= 2, "%d reads", reads.Load())
			})
		})
	}
}

// Guards against a caller that disconnects and with it ends the count that other callers wait for.
func TestCountOutlivesCallerWhoAskedFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHost(1, kvstore.Store{Range: func(ctx context.Context, _ string) ([]kvstore.KV, int64, error) {
			time.Sleep(100 * time.Millisecond)
			return nil, 1, ctx.Err()
		}})
		h.SetShardCount(1)
		ctx, cancel := context.WithCancel(t.Context())
		go h.Pending(ctx, workflow.Queue{Name: "q"})
		synctest.Wait()
		cancel()
		assert.Equal(t, h.Pending(t.Context(), workflow.Queue{Name: "q"}).Outcome, entry.OutcomeAccepted)
	})
}
