package entry_test

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/laburnumridge/laburnumridge/internal/entry"
	"github.com/laburnumridge/laburnumridge/internal/kvstore"
	"github.com/laburnumridge/laburnumridge/internal/settings"
	"github.com/laburnumridge/laburnumridge/internal/shard"
)

// lostTasksRestart bounds the time from the loss of a worker to the next runs of its tasks that last: the rule counts from
// restartGrace and allows restartWindow, in calm.
const lostTasksRestart = restartGrace + restartWindow

// Guards against tasks of a lost worker that wait for the longest lease that any owner could have granted, from the takeover on, because
// their owner is killed too.
func TestTasksOfWorkerLostWithItsOwnerRunAgainInTime(t *testing.T) {
	for name, after := range map[string]time.Duration{"at once": 0, "a moment later": 300 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				for seed := range uint64(5) {
					f := newSimulatedFleet(t, seed, 1, simulatedWorkers)
					f.addLongRunning(simulatedWorkers)
					for i := range 3 {
						f.start(fmt.Sprintf("strong-%d", i), strongHost)
					}
					time.Sleep(15*time.Second + time.Duration(f.int(1000))*time.Millisecond)
					lostAt := time.Now()
					f.leave("servers/w0-0")
					time.Sleep(after)
					owner := f.owner().name
					f.kill(owner)
					time.Sleep(300 * time.Millisecond)
					f.start(owner, strongHost)
					for len(f.tasks.idle()) > 0 && time.Since(lostAt) < 2*lostTasksRestart {
						time.Sleep(10 * time.Millisecond)
					}
					took := time.Since(lostAt)
					assert.Check(t, took <= lostTasksRestart, "seed %d: tasks run again after %s; owners: %s", seed, took, f.ownerHistory(lostAt))
					f.kill(f.names()...)
					time.Sleep(contactTime)
					assert.Equal(t, strings.Join(f.tasks.violations, "\n"), "")
				}
			})
		})
	}
}

// Guards against tasks that run twice because their worker, which is cut off, has a lease of an owner that was killed, or of one before
// that, when owners are killed in series.
func TestLeasesOfKilledOwnersAreWaitedFor(t *testing.T) {
	t.Parallel()
	for seed := range uint64(10) {
		synctest.Test(t, func(t *testing.T) {
			f := newSimulatedFleet(t, seed, 1, simulatedWorkers)
			for i := range 4 {
				f.worker(0, i).clockRate = 0.98
			}
			f.addLongRunning(2 * simulatedWorkers)
			for i := range 3 {
				f.start(fmt.Sprintf("strong-%d", i), strongHost)
			}
			time.Sleep(5 * time.Second)
			for range 4 {
				for i := range 4 {
					f.worker(0, i).setCut(true)
				}
				for range 1 + f.int(3) {
					time.Sleep(time.Duration(f.int(1500)) * time.Millisecond)
					if o := f.owner(); o != nil {
						f.kill(o.name)
						time.Sleep(time.Duration(f.int(2500)) * time.Millisecond)
						f.start(o.name, strongHost)
					}
				}
				time.Sleep(12 * time.Second)
				for i := range 4 {
					f.worker(0, i).setCut(false)
				}
				time.Sleep(5 * time.Second)
			}
			f.kill(f.names()...)
			time.Sleep(contactTime)
			assert.Equal(t, strings.Join(f.tasks.violations, "\n"), "", "seed %d", seed)
		})
	}
}

// Guards against a bound that forgets the leases of an owner before the last one, or of an older build, which records nothing.
func TestBoundOfEarlierLeases(t *testing.T) {
	const epoch = 20
	timing := shard.DefaultTiming()
	longest, own := timing.LeaseBound(timing.MaxWorkerLease), timing.LeaseBound(timing.LeaseFromRenewal)
	for name, c := range map[string]struct {
		earlier   time.Duration
		isOlder   bool
		isSettled bool
		claimedAt int64
		want      time.Duration
	}{
		"no earlier owner":                     {claimedAt: 0, want: 0},
		"owner of this build":                  {claimedAt: epoch, want: own},
		"owner of an older build":              {claimedAt: epoch, isOlder: true, want: longest},
		"owner before it of an older build":    {claimedAt: epoch, earlier: longest, want: longest - time.Second},
		"the same, long ago":                   {claimedAt: epoch, earlier: longest, isSettled: true, want: own},
		"epoch that the host has not seen":     {claimedAt: epoch + 1, want: longest},
		"owner before it whose leases ended":   {claimedAt: epoch, earlier: 500 * time.Millisecond, want: own},
		"longer bound than a worker's longest": {claimedAt: epoch, earlier: time.Hour, want: longest},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := entry.NewInVirtualTime(settings.Default(), entry.Platform{Store: kvstore.Store{}}, discardingLogger())
				h.SeeEpoch(epoch, entry.EpochRecord("other", c.earlier, c.isOlder), c.isSettled)
				time.Sleep(time.Second)
				assert.Equal(t, h.EarlierLeases(c.claimedAt), c.want)
			})
		})
	}
}
