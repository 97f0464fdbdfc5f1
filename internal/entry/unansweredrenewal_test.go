package entry_test

import (
	"context"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/laburnumridge/laburnumridge/internal/entry"
	"github.com/laburnumridge/laburnumridge/internal/kvstore"
)

// withoutAnswers returns a store that carries out all calls and answers none while isSilent is set.
func withoutAnswers(s kvstore.Store, isSilent *atomic.Bool) kvstore.Store {
	wait := func(ctx context.Context) {
		if isSilent.Load() {
			<-ctx.Done()
		}
	}
	out := s
	out.Get = func(ctx context.Context, key string) (kvstore.KV, error) {
		kv, err := s.Get(ctx, key)
		if wait(ctx); ctx.Err() != nil {
			return kvstore.KV{}, kvstore.ErrUnavailable
		}
		return kv, err
	}
	out.Grant = func(ctx context.Context, ttl time.Duration) (int64, error) {
		lease, err := s.Grant(ctx, ttl)
		if wait(ctx); ctx.Err() != nil {
			return 0, kvstore.ErrUnavailable
		}
		return lease, err
	}
	out.Txn = func(ctx context.Context, t kvstore.Txn) (kvstore.TxnResult, error) {
		res, err := s.Txn(ctx, t)
		if wait(ctx); ctx.Err() != nil {
			return kvstore.TxnResult{}, kvstore.ErrUnknownOutcome
		}
		return res, err
	}
	out.Watch = func(ctx context.Context, prefix string, since int64, each func([]kvstore.Event)) error {
		return s.Watch(ctx, prefix, since, func(events []kvstore.Event) {
			if wait(ctx); ctx.Err() == nil {
				each(events)
			}
		})
	}
	return out
}

// Guards against a shard that nobody serves because the store carries out the renewals of its owner, whose answers don't arrive: the owner
// does not rely on its lease and does not act, and the store keeps the lease and with it the owner key. In one case the answers to other
// calls arrive.
func TestShardOfOwnerWithoutAnswersToRenewalsIsTaken(t *testing.T) {
	for name, c := range map[string]struct {
		isOnlyRenewals, isReset bool
		within                  time.Duration
	}{
		"to no call":               {false, false, 6 * time.Second},
		"to no renewal of a lease": {true, false, 9 * time.Second},
		"but a reset channel":      {true, true, 9 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newSimulatedFleet(t, 1, 1, simulatedWorkers)
				f.tasks.failAfter = func() time.Duration { return time.Duration(500+f.int(15_000)) * time.Millisecond }
				f.addLongRunning(20)
				var isSilent, areOthersSilent atomic.Bool
				f.changePlatform = func(p *entry.Platform) { p.Store = withoutAnswers(p.Store, &areOthersSilent) }
				f.start("one", strongHost)
				f.changePlatform = nil
				time.Sleep(3 * time.Second)
				f.startMixed(2, 0)
				time.Sleep(contactTime)
				f.store.setRenewalFault(func(ctx context.Context, h *simulatedHost, lease int64) error {
					err := h.callStore(ctx, kvstore.ErrUnavailable, func() error { return f.store.keepAlive(lease) })
					if h.name == "one" && isSilent.Load() {
						if c.isReset {
							return kvstore.ErrUnknownOutcome
						}
						<-ctx.Done()
						return kvstore.ErrUnavailable
					}
					return err
				})
				areOthersSilent.Store(!c.isOnlyRenewals)
				isSilent.Store(true)
				began := time.Now()
				f.checkTasksRun(40 * time.Second)
				taken := slices.DeleteFunc(append(f.ownershipsOf("strong-0"), f.ownershipsOf("strong-1")...), began.After)
				assert.Assert(t, len(taken) == 1 && len(f.ownershipsOf("one")) == 1, "owners: %s", f.ownerHistory(began))
				assert.Check(t, taken[0].Sub(began) < c.within, "taken after %s", taken[0].Sub(began))
				t.Logf("the shard was taken after %s", taken[0].Sub(began))
				f.kill(f.names()...)
				time.Sleep(contactTime) // background calls of the hosts end
				assert.Equal(t, strings.Join(f.tasks.violations, "\n"), "")
			})
		})
	}
}
