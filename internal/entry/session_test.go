package entry_test

import (
	"context"
	"io"
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
		lease, renewals := int64(0), map[int64]int{}
		log := logrus.New()
		log.SetOutput(io.Discard)
		h := entry.NewInVirtualTime(settings.Default(), entry.Platform{Store: kvstore.Store{
			Grant: func(context.Context, time.Duration) (int64, error) {
				lease++
				return lease, nil
			},
			KeepAlive: func(_ context.Context, id int64) error {
				renewals[id]++
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
		assert.ErrorIs(t, err, kvstore.ErrUnavailable)
		assert.Equal(t, lease, int64(2))
		assert.Equal(t, renewals[1], 1)
		assert.Assert(t, renewals[2] > 2, "the new lease was renewed %d times", renewals[2])
	})
}
