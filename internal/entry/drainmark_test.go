package entry_test

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/laburnumridge/laburnumridge/internal/kvstore"
)

// Guards against a drain that waits for the mark on the host's record before it begins its handovers: with a store that stands still the
// waits for both add up, and the host's lease ends before its owner keys are deleted.
func TestDrainHandsOverWhileStoreTakesLongForItsMark(t *testing.T) {
	const storeTime, slack = 600 * time.Millisecond, 300 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		f := newSimulatedFleet(t, 1, 1, simulatedWorkers)
		f.startMixed(3, 0)
		time.Sleep(5 * time.Second)
		first, began := f.owner(), time.Now()
		f.store.setTxnFault(func(host string, _ kvstore.Txn) txnFault {
			if host == first.name {
				time.Sleep(storeTime)
			}
			return txnFault{}
		})
		first.daemon.DrainShards(t.Context())
		at := f.ownerDeletions()
		assert.Assert(t, len(at) > 0, "owners: %s", f.ownerHistory(began))
		took := at[0].Sub(began)
		assert.Check(t, took < storeTime+slack, "the owner key was deleted %s after the drain began", took)
		assert.Check(t, f.owner() != first, "owners: %s", f.ownerHistory(began))
	})
}
