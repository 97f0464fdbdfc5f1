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

// Guards against a shard that nobody serves because its owner can read the records of the shard, but not the registry of workers, whose
// pages are larger: it counts as loaded, renews its lease and knows no worker, while other hosts could read the registry.
func TestShardWhoseOwnerCannotReadWorkersIsServedByAnotherHost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newSimulatedFleet(t, 1, 1, simulatedWorkers)
		f.tasks.failAfter = func() time.Duration { return time.Duration(500+f.int(15_000)) * time.Millisecond }
		f.addLongRunning(20)
		f.changePlatform = func(p *entry.Platform) {
			read := p.Store.Range
			p.Store.Range = func(ctx context.Context, prefix string) ([]kvstore.KV, int64, error) {
				if prefix == p.WorkerPrefix {
					sleep(ctx, rangeTimeout)
					return nil, 0, kvstore.ErrUnavailable
				}
				return read(ctx, prefix)
			}
		}
		f.start("unable", 2)
		time.Sleep(2 * time.Second)
		f.changePlatform = nil
		f.startMixed(2, 0)
		f.checkTasksRun(time.Minute)
		f.kill(f.names()...)
		time.Sleep(contactTime) // background calls of the hosts end
		assert.Equal(t, strings.Join(f.tasks.violations, "\n"), "")
	})
}
