package entry_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/laburnumridge/laburnumridge/internal/entry"
	"github.com/laburnumridge/laburnumridge/internal/kvstore"
)

// layoutAfter lets a host that knows two others try to write the layout, and returns the number of shards and how long it took.
func layoutAfter(t *testing.T, registry func(ctx context.Context, elapsed time.Duration) (int, error)) (shards int, took time.Duration) {
	t.Helper()
	began := time.Now()
	h := newHost(0.8, kvstore.Store{
		Range: func(ctx context.Context, _ string) ([]kvstore.KV, int64, error) {
			n, err := registry(ctx, time.Since(began))
			return make([]kvstore.KV, n), 1, err
		},
		Txn: func(_ context.Context, t kvstore.Txn) (res kvstore.TxnResult, err error) {
			shards, err = entry.LayoutShards(t.Puts[0].Value)
			return res, err
		},
	})
	h.AddHost("b", 0.8)
	h.AddHost("c", 0.8)
	for shards == 0 && time.Since(began) < 30*time.Second {
		time.Sleep(entry.ElectionInterval)
		h.CreateLayout(t.Context())
	}
	return shards, time.Since(began)
}

// unanswered waits as long as a read of the store does whose response was lost.
func unanswered(ctx context.Context) (int, error) {
	sleep(ctx, rangeTimeout)
	return 0, kvstore.ErrUnavailable
}

// Guards against a fleet without a layout, and so without any accepted job, while the store is slow or loses responses, or while
// workers come one after the other: counts and the pauses between them shared the timeout of one call, and each attempt began anew.
// The bound is maxLayoutDelay and the longest read, twice for each response that is lost.
func TestLayoutIsWrittenInTime(t *testing.T) {
	reads := 0
	for name, tc := range map[string]struct {
		registry func(ctx context.Context, elapsed time.Duration) (int, error)
		atMost   time.Duration
	}{
		"calm": {func(context.Context, time.Duration) (int, error) { return 600, nil }, 3 * time.Second},
		"slow store": {func(ctx context.Context, _ time.Duration) (int, error) {
			sleep(ctx, 110*time.Millisecond)
			return 600, ctx.Err()
		}, 3500 * time.Millisecond},
		"very slow store": {func(ctx context.Context, _ time.Duration) (int, error) {
			sleep(ctx, 1800*time.Millisecond)
			return 600, ctx.Err()
		}, 7 * time.Second},
		"lost responses": {func(ctx context.Context, _ time.Duration) (int, error) {
			if reads++; reads%3 == 0 {
				return unanswered(ctx)
			}
			return 600, ctx.Err()
		}, 7 * time.Second},
		"workers that come one after the other": {func(_ context.Context, elapsed time.Duration) (int, error) {
			return 560 + int(elapsed/(400*time.Millisecond)), nil
		}, 6 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				shards, took := layoutAfter(t, tc.registry)
				assert.Equal(t, shards, 3, "number of shards for about 600 workers, after %s", took)
				assert.Check(t, took <= tc.atMost, "layout after %s", took)
			})
		})
	}
}

// Guards against a number of shards that follows from the few workers whose entries are back first after an outage of the store. The
// entries are back within about 2 s, and the number of shards never changes afterwards.
func TestLayoutWaitsForWorkersThatRegisterAfterOutage(t *testing.T) {
	const outageEnd = 3 * time.Second
	for name, tc := range map[string]struct{ outageStart, complete time.Duration }{
		"soon complete":      {0, 900 * time.Millisecond},
		"complete after 2 s": {0, 2100 * time.Millisecond},
		"read before":        {700 * time.Millisecond, 2100 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				shards, took := layoutAfter(t, func(ctx context.Context, elapsed time.Duration) (int, error) {
					switch {
					case elapsed < tc.outageStart || elapsed > outageEnd+tc.complete:
						return 600, nil
					case elapsed < outageEnd:
						return unanswered(ctx)
					}
					return 40, nil
				})
				assert.Equal(t, shards, 3, "number of shards for 600 workers, decided after %s", took)
			})
		})
	}
}
