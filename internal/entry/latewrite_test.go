package entry_test

import (
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/laburnumridge/laburnumridge/internal/entry"
	"github.com/laburnumridge/laburnumridge/internal/kvstore"
	"github.com/laburnumridge/laburnumridge/internal/shard"
	"github.com/laburnumridge/laburnumridge/internal/workflow"
)

// maxLateWrite is how late the platform's store may execute a transaction that got no response.
const maxLateWrite = 6 * time.Second

// delayFirst delays the first transaction that writes a key with a prefix and gives it no response. It returns whether there was one.
func (f *simulatedFleet) delayFirst(matches func(p kvstore.Put) bool) *atomic.Bool {
	var isDelayed atomic.Bool
	f.store.setTxnFault(func(_ string, t kvstore.Txn) txnFault {
		for _, p := range t.Puts {
			if matches(p) && isDelayed.CompareAndSwap(false, true) {
				return txnFault{delay: maxLateWrite}
			}
		}
		return txnFault{}
	})
	return &isDelayed
}

// Guards against tasks of completed jobs that start again after a restart, because the first record of a shared job was written once more after
// the job had ended.
func TestLateFirstRecordDoesNotReviveEndedJob(t *testing.T) {
	for name, matches := range map[string]func(p kvstore.Put) bool{
		"record of the home": func(p kvstore.Put) bool { return entry.MovesTasks(p.Key, p.Value) },
		"record of the guest": func(p kvstore.Put) bool {
			return strings.HasPrefix(p.Key, entry.ProgressPrefix) && !strings.HasPrefix(p.Key, entry.ProgressPrefix+"0/")
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newExchangeFleet(t, 1, 2, 4)
				e := f.drawEnds(func(shard.Start) (time.Duration, shard.EndCause) { return 300 * time.Millisecond, shard.EndDone })
				f.fillShard(0)
				isDelayed := f.delayFirst(matches)
				j := workflow.Job{ID: "a000000000000000", Queue: "q", Steps: []workflow.Step{halfWorker(3)}}
				f.addJob(0, j)
				time.Sleep(5 * time.Second)
				assert.Equal(t, e.done(j), 3)
				f.checkNoRecords(j.ID)
				time.Sleep(10 * time.Second)
				assert.Assert(t, isDelayed.Load())
				f.checkNoRecords(j.ID)
				f.kill(f.names()...)
				for _, name := range []string{"strong-0", "strong-1", "strong-2", "strong-3"} {
					f.start(name, strongHost)
				}
				time.Sleep(20 * time.Second)
				for i := range 3 {
					assert.Equal(t, e.count(e.runs, j.ID, workflow.TaskKey{Index: i}), 1)
				}
				f.end()
			})
		})
	}
}

// Guards against tasks of completed jobs that start again because the store still has records which a host of an earlier build wrote late.
func TestRecordsOfEndedJobsAreDeletedOnLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newExchangeFleet(t, 1, 2, 4)
		e := f.drawEnds(func(shard.Start) (time.Duration, shard.EndCause) { return 300 * time.Millisecond, shard.EndDone })
		f.fillShard(0)
		stale := map[string][]byte{}
		f.store.setTxnFault(func(_ string, t kvstore.Txn) txnFault {
			for _, p := range t.Puts {
				if _, ok := stale[p.Key]; !ok && (strings.HasPrefix(p.Key, entry.JobPrefix) || strings.HasPrefix(p.Key, entry.ProgressPrefix)) &&
					strings.Contains(p.Key, "a0") {
					stale[p.Key] = p.Value
				}
			}
			return txnFault{}
		})
		j := workflow.Job{ID: "a000000000000000", Queue: "q", Steps: []workflow.Step{halfWorker(3)}}
		f.addJob(0, j)
		time.Sleep(5 * time.Second)
		assert.Equal(t, e.done(j), 3)
		f.kill(f.names()...)
		for key, value := range stale {
			f.store.put(key, value)
		}
		for _, name := range []string{"strong-0", "strong-1", "strong-2", "strong-3"} {
			f.start(name, strongHost)
		}
		time.Sleep(20 * time.Second)
		for i := range 3 {
			assert.Equal(t, e.count(e.runs, j.ID, workflow.TaskKey{Index: i}), 1)
		}
		f.checkNoRecords(j.ID)
		assert.Equal(t, f.host("strong-0").daemon.State(t.Context(), earlyQueue, j.ID).State, workflow.StateCompleted)
		f.end()
	})
}

// Guards against a job that is cancelled by a cancellation of an earlier job with its id, which the store executed after that job had ended.
func TestLateCancellationDoesNotReachLaterJob(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newExchangeFleet(t, 1, 1, 2)
		id := f.addLasting(0, 1, 1, "")
		time.Sleep(2 * time.Second)
		isDelayed := f.delayFirst(func(p kvstore.Put) bool { return strings.HasSuffix(p.Key, "/cancel") })
		assert.Equal(t, f.host("strong-0").daemon.Cancel(t.Context(), earlyQueue, id).Outcome, entry.OutcomeAccepted)
		f.tasks.forget(id)
		time.Sleep(2 * maxLateWrite)
		assert.Assert(t, isDelayed.Load())
		f.checkNoRecords(id)
		f.end()
	})
}

// Guards against a job without a location: its id was used before, and the deletion of the earlier location was executed late.
func TestLateDeletionOfLocationDoesNotReachLaterJob(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newExchangeFleet(t, 1, 1, 2)
		id := f.addLasting(0, 1, 1, "")
		time.Sleep(2 * time.Second)
		host := f.host("strong-0").daemon
		assert.Equal(t, host.Cancel(t.Context(), earlyQueue, id).Outcome, entry.OutcomeAccepted)
		f.tasks.forget(id)
		var isDelayed atomic.Bool
		f.store.setTxnFault(func(_ string, t kvstore.Txn) txnFault {
			for _, key := range t.Deletes {
				if key == entry.LocationKey(id) && isDelayed.CompareAndSwap(false, true) {
					return txnFault{delay: maxLateWrite}
				}
			}
			return txnFault{}
		})
		for range 300 {
			time.Sleep(time.Second)
			if f.store.get(entry.LocationKey(id)).ModRevision == 0 {
				break
			}
		}
		assert.Assert(t, isDelayed.Load())
		f.addLasting(0, 1, 1, "")
		time.Sleep(2 * maxLateWrite)
		assert.Equal(t, f.runsOf(id), 1)
		assert.Equal(t, host.State(t.Context(), earlyQueue, id).Outcome, entry.OutcomeAccepted)
		assert.Assert(t, f.store.get(entry.LocationKey(id)).ModRevision != 0)
		f.end()
	})
}
