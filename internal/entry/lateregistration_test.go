package entry_test

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/laburnumridge/laburnumridge/internal/entry"
	"github.com/laburnumridge/laburnumridge/internal/kvstore"
)

// Guards against a host without a record in the store although its lease is renewed: the write of the record under its first lease got
// no answer and is executed after the one under its second lease, and the record then ends with the first lease. Other hosts don't know
// such a host, and it never hands a shard over, since it does not see itself among the hosts.
func TestLateRegistrationDoesNotRemoveHost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newSimulatedFleet(t, 1, 2, simulatedWorkers)
		key, _ := entry.HostRecord("one", 0)
		var isLate atomic.Bool
		f.store.txnFault = func(host string, t kvstore.Txn) txnFault {
			if host == "one" && len(t.Puts) == 1 && t.Puts[0].Key == key && !isLate.Swap(true) {
				return txnFault{delay: 1200 * time.Millisecond}
			}
			return txnFault{}
		}
		f.start("one", strongHost)
		time.Sleep(5 * time.Second)
		kvs, _ := f.store.readRange(key)
		assert.Check(t, len(kvs) == 1, "host with a lease has no record")
		began := time.Now()
		f.start("two", strongHost)
		time.Sleep(time.Minute)
		assert.Check(t, f.ownershipFault() == "", "%s; owners: %s", f.ownershipFault(), f.ownerHistory(began))
		f.kill(f.names()...)
		time.Sleep(contactTime) // background calls of the hosts end
	})
}
