package entry_test

import (
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/laburnumridge/laburnumridge/internal/entry"
	"github.com/laburnumridge/laburnumridge/internal/knownred"
	"github.com/laburnumridge/laburnumridge/internal/kvstore"
)

// drainServePeriod is how long a process goes on after the handovers of its drain.
const drainServePeriod = 2500 * time.Millisecond

// Guards against an owner that does without what the last one handed over because the response to its claim was lost.
func TestHandoverIsUsedAfterClaimWithoutResponse(t *testing.T) {
	knownred.Skip(t)
	for seed := range uint64(3) {
		runFleetWith(t, seed, 1, jobsAtLimit/2, seriesMaxLease, func(f *simulatedFleet) {
			f.startMixed(6, 0)
			time.Sleep(5 * time.Second)
			f.tasks.calm()
			time.Sleep(contactTime)
			var claims atomic.Int64
			f.store.setTxnFault(func(_ string, x kvstore.Txn) txnFault {
				if !slices.ContainsFunc(x.Puts, func(p kvstore.Put) bool { return strings.HasPrefix(p.Key, entry.OwnerPrefix) }) {
					return txnFault{}
				}
				if claims.Add(1)%2 == 0 {
					return txnFault{}
				}
				return txnFault{delay: 20 * time.Millisecond}
			})
			began := time.Now()
			go func() {
				for range 10 {
					if h := f.owner(); h != nil && !h.isStopping.Swap(true) {
						go func() {
							h.daemon.DrainShards(f.t.Context())
							time.Sleep(drainServePeriod)
							f.kill(h.name)
							f.start(h.name, h.strength)
						}()
					}
					time.Sleep(seriesGap)
				}
			}()
			f.leaveSoon()
			time.Sleep(20*time.Second - time.Since(began))
			longest, task := f.tasks.longestCounted()
			assert.Check(t, longest <= restartWindow, "seed %d: %s had nothing running for %s; owners: %s", seed, task, longest,
				f.ownerHistory(began))
		})
	}
}
