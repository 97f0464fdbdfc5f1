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

	"github.com/laburnumridge/laburnumridge/internal/kvstore"
)

// Guards against a shard that nobody serves because the store carries out the renewals of its owner, whose answers don't arrive: the owner
// does not rely on its lease and does not act, and the store keeps the lease and with it the owner key.
func TestShardOfOwnerWithoutAnswersToRenewalsIsTaken(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newSimulatedFleet(t, 1, 1, simulatedWorkers)
		f.tasks.failAfter = func() time.Duration { return time.Duration(500+f.int(15_000)) * time.Millisecond }
		f.addLongRunning(20)
		f.start("one", strongHost)
		time.Sleep(3 * time.Second)
		f.startMixed(2, 0)
		time.Sleep(contactTime)
		var isSilent atomic.Bool
		f.store.setRenewalFault(func(ctx context.Context, h *simulatedHost, lease int64) error {
			err := h.callStore(ctx, kvstore.ErrUnavailable, func() error { return f.store.keepAlive(lease) })
			if h.name == "one" && isSilent.Load() {
				<-ctx.Done()
				return kvstore.ErrUnavailable
			}
			return err
		})
		isSilent.Store(true)
		began := time.Now()
		f.checkTasksRun(40 * time.Second)
		at := f.ownershipsOf("one")
		taken := slices.DeleteFunc(append(f.ownershipsOf("strong-0"), f.ownershipsOf("strong-1")...), began.After)
		assert.Assert(t, len(taken) == 1 && len(at) == 1, "owners: %s", f.ownerHistory(began))
		assert.Check(t, taken[0].Sub(began) < 6*time.Second, "taken after %s", taken[0].Sub(began))
		t.Logf("the shard was taken after %s", taken[0].Sub(began))
		f.kill(f.names()...)
		time.Sleep(contactTime) // background calls of the hosts end
		assert.Equal(t, strings.Join(f.tasks.twice, "\n"), "")
	})
}
