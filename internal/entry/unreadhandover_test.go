package entry_test

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/laburnumridge/laburnumridge/internal/entry"
	"github.com/laburnumridge/laburnumridge/internal/kvstore"
)

// Guards against a shard that nobody serves because its owner waits for good for the record of what the last owner handed over, which it
// can't read.
func TestShardWhoseOwnerCannotReadHandoverIsServedByAnotherHost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newSimulatedFleet(t, 1, 1, simulatedWorkers)
		f.tasks.failAfter = func() time.Duration { return time.Duration(500+f.int(15_000)) * time.Millisecond }
		f.addLongRunning(20)
		f.start("first", strongHost)
		time.Sleep(3 * time.Second)
		f.changePlatform = func(p *entry.Platform) {
			get := p.Store.Get
			p.Store.Get = func(ctx context.Context, key string) (kvstore.KV, error) {
				if strings.Contains(key, "handover/") {
					<-ctx.Done()
					return kvstore.KV{}, kvstore.ErrUnavailable
				}
				return get(ctx, key)
			}
		}
		f.start("unable", 2)
		f.changePlatform = nil
		f.startMixed(2, 0)
		time.Sleep(5 * time.Second)
		assert.Equal(t, f.owners()["unable"], 1, "owners: %v", f.owners())
		f.checkTasksRun(time.Minute)
		f.kill(f.names()...)
		time.Sleep(contactTime) // background calls of the hosts end
		assert.Equal(t, strings.Join(f.tasks.violations, "\n"), "")
	})
}
