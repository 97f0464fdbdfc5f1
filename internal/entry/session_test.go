package entry_test

import (
	"context"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"github.com/laburnumridge/laburnumridge/internal/entry"
	"github.com/laburnumridge/laburnumridge/internal/kvstore"
	"github.com/laburnumridge/laburnumridge/internal/settings"
)

// Guards against a lease that the host renews on after it was abandoned, because a renewal was under way and the store did not end
// the lease: the shards that the host could not hand over would stay without an acting owner.
func TestAbandonedLeaseIsNotRenewed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		lease := int64(0)
		var mu sync.Mutex // renewals run in goroutines of their own
		renewals := map[int64]int{}
		log := logrus.New()
		log.SetOutput(io.Discard)
		h := entry.NewInVirtualTime(settings.Default(), entry.Platform{Store: kvstore.Store{
			Grant: func(context.Context, time.Duration) (int64, error) {
				lease++
				return lease, nil
			},
			KeepAlive: func(_ context.Context, id int64) error {
				mu.Lock()
				renewals[id]++
				mu.Unlock()
				time.Sleep(300 * time.Millisecond)
				return nil
			},
			Revoke: func(context.Context, int64) error { return kvstore.ErrUnavailable },
			Txn:    func(context.Context, kvstore.Txn) (kvstore.TxnResult, error) { return kvstore.TxnResult{}, nil },
		}}, log)
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			h.RunSession(ctx)
			close(done)
		}()
		time.Sleep(500 * time.Millisecond) // the first renewal is under way
		err := h.AbandonLease(t.Context())
		time.Sleep(3 * time.Second)
		cancel()
		<-done
		time.Sleep(time.Second) // background timers end
		mu.Lock()
		defer mu.Unlock()
		assert.ErrorIs(t, err, kvstore.ErrUnavailable)
		assert.Equal(t, lease, int64(2))
		assert.Equal(t, renewals[1], 1)
		assert.Assert(t, renewals[2] > 2, "the new lease was renewed %d times", renewals[2])
	})
}

// Guards against a host that never gets a lease while each of its calls waits for less than a call may take, because the request for
// the lease and the write of the host's record share one deadline.
func TestBusyHostGetsLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const wait = 500 * time.Millisecond
		log := logrus.New()
		log.SetOutput(io.Discard)
		h := entry.NewInVirtualTime(settings.Default(), entry.Platform{Store: kvstore.Store{
			Grant:     func(ctx context.Context, _ time.Duration) (int64, error) { return 1, answerAfter(ctx, wait, nil) },
			KeepAlive: func(ctx context.Context, _ int64) error { return answerAfter(ctx, wait, nil) },
			Txn: func(ctx context.Context, _ kvstore.Txn) (kvstore.TxnResult, error) {
				return kvstore.TxnResult{}, answerAfter(ctx, wait, nil)
			},
		}}, log)
		began := time.Now()
		ctx, cancel := context.WithCancel(t.Context())
		go h.RunSession(ctx)
		time.Sleep(2*wait + 100*time.Millisecond)
		lease, expires := h.Lease()
		assert.Check(t, lease == 1)
		assert.Check(t, expires.Equal(began.Add(leaseReliance)), "relies on the lease until %s after its request", expires.Sub(began))
		time.Sleep(5 * time.Second)
		_, expires = h.Lease()
		assert.Check(t, h.IsHealthy() && expires.After(time.Now()))
		cancel()
		time.Sleep(time.Second) // background timers end
	})
}
