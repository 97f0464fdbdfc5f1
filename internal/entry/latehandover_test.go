package entry_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/laburnumridge/laburnumridge/internal/kvstore"
	"github.com/laburnumridge/laburnumridge/internal/retry"
)

// Guards against a wait for leases that the last owner knows to be over: it lost its lease while it was cut off from the store, and the next
// owner took the leases of all silent workers to begin with its takeover although both hosts are up.
func TestOwnerThatLostItsLeaseTellsTheNextOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newSimulatedFleet(t, 1, 1, simulatedWorkers)
		f.maxLease = seriesMaxLease
		f.addLongRunning(20)
		f.startMixed(4, 0)
		time.Sleep(12 * time.Second) // leases of an owner before the first would be over
		assert.Equal(t, len(f.tasks.idle()), 0, "not all tasks have started")
		f.tasks.calm()
		first, began := f.owner(), time.Now()
		f.leaveSoon()
		time.Sleep(1700 * time.Millisecond)
		first.isCut.Store(true)
		time.Sleep(2500 * time.Millisecond)
		assert.Assert(t, f.owner() != nil && f.owner() != first, "owners: %s", f.ownerHistory(began))
		first.isCut.Store(false)
		time.Sleep(15*time.Second - time.Since(began))
		longest, task := f.tasks.longestCounted()
		assert.Check(t, longest <= restartWindow, "%s had nothing running for %s; owners: %s", task, longest, f.ownerHistory(began))
		assert.Equal(t, len(f.tasks.violations), 0)
	})
}

// Guards against runs that are started twice because an owner that was cut off tells a lease too short: its worker is up and cut off, too,
// and carries its tasks out until the lease ends.
func TestLateHandoverStartsNothingTwice(t *testing.T) {
	for seed := range uint64(8) {
		synctest.Test(t, func(t *testing.T) {
			f := newSimulatedFleet(t, seed, 1, simulatedWorkers)
			f.maxLease = seriesMaxLease
			f.addLongRunning(20)
			var cut []string
			for i := range 6 {
				cut = append(cut, fmt.Sprintf("servers/w0-%d", i))
				f.workers[cut[i]].clockRate = slowestClock
			}
			f.startMixed(4, 0)
			time.Sleep(12 * time.Second)
			first, began := f.owner(), time.Now()
			for _, id := range cut {
				time.AfterFunc(max(time.Duration(f.int(2500))*time.Millisecond, retry.ShortestTimer), func() {
					f.workers[id].setCut(true)
					_, err := f.store.txn(kvstore.Txn{Deletes: []string{id}})
					assert.Check(t, err == nil, "%v", err)
				})
			}
			time.Sleep(time.Duration(f.int(1500)) * time.Millisecond)
			first.isCut.Store(true)
			time.Sleep(time.Duration(1800+f.int(2500)) * time.Millisecond)
			first.isCut.Store(false)
			time.Sleep(20*time.Second - time.Since(began))
			assert.Check(t, len(f.tasks.violations) == 0, "seed %d: %s", seed, f.tasks.violations)
			assert.Equal(t, len(f.tasks.idle()), 0, "tasks with nothing running; owners: %s", f.ownerHistory(began))
		})
	}
}
