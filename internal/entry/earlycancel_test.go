package entry_test

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/laburnumridge/laburnumridge/internal/entry"
	"github.com/laburnumridge/laburnumridge/internal/fleet"
	"github.com/laburnumridge/laburnumridge/internal/kvstore"
	"github.com/laburnumridge/laburnumridge/internal/workflow"
)

var earlyQueue = workflow.Queue{Name: "q"}

// earlyJob is a long-running job, so that a run of it would still be there at the end of a test.
var earlyJob = workflow.Job{ID: "00000000000000ea", Queue: "q", Steps: []workflow.Step{{
	Count: 2, LongRunning: true, Resources: fleet.Resources{CPUMilli: 500, MemoryMiB: 10},
}}}

// writesJob reports whether a transaction writes the record of the early job.
func writesJob(t kvstore.Txn) bool {
	for _, p := range t.Puts {
		if strings.HasPrefix(p.Key, entry.JobPrefix) && strings.HasSuffix(p.Key, earlyJob.ID) {
			return true
		}
	}
	return false
}

// runEarlyCancel submits the early job at host one, whose write is executed late and without an answer, and runs a scenario before
// that.
func runEarlyCancel(t *testing.T, scenario func(*testing.T, *simulatedFleet)) {
	t.Helper()
	const lateBy = 3 * time.Second
	synctest.Test(t, func(t *testing.T) {
		f := newSimulatedFleet(t, 1, 1, simulatedWorkers)
		f.tasks.expect(earlyJob.ID, 0)
		one := f.start("one", strongHost)
		f.start("two", strongHost)
		f.start("three", strongHost)
		time.Sleep(2 * time.Second)
		f.store.setTxnFault(func(host string, t kvstore.Txn) txnFault {
			if host == "one" && writesJob(t) {
				return txnFault{delay: lateBy}
			}
			return txnFault{}
		})
		ctx, leave := context.WithTimeout(t.Context(), 150*time.Millisecond)
		defer leave()
		go one.daemon.Submit(ctx, earlyJob)
		time.Sleep(300 * time.Millisecond)
		scenario(t, f)
		time.Sleep(2 * lateBy)
		assert.Equal(t, f.runsOf(earlyJob.ID), 0)
		f.kill(f.names()...)
		time.Sleep(contactTime) // background calls of the hosts end
	})
}

// runsOf returns how many tasks of a job run.
func (f *simulatedFleet) runsOf(job string) int {
	f.tasks.mu.Lock()
	defer f.tasks.mu.Unlock()
	n := 0
	for name := range f.tasks.running {
		if strings.HasPrefix(name, job+".") {
			n++
		}
	}
	return n
}

// Guards against a job that runs although its cancellation was answered with the statement that there is no such job: the write of its
// record was executed after that.
func TestCancelBeforeRecordPreventsJob(t *testing.T) {
	runEarlyCancel(t, func(t *testing.T, f *simulatedFleet) {
		two := f.host("two").daemon
		assert.Equal(t, two.Cancel(t.Context(), earlyQueue, earlyJob.ID).Outcome, entry.OutcomeNoJob)
		assert.Equal(t, two.State(t.Context(), earlyQueue, earlyJob.ID).Outcome, entry.OutcomeNoJob)
		assert.Equal(t, f.host("three").daemon.Cancel(t.Context(), earlyQueue, earlyJob.ID).Outcome, entry.OutcomeNoJob)
		time.Sleep(5 * time.Second)
		assert.Equal(t, two.State(t.Context(), earlyQueue, earlyJob.ID).Outcome, entry.OutcomeNoJob, "after the late write")
	})
}

// Guards against the same fault if the host that is asked to cancel can't write, and a peer does it or nobody.
func TestCancelBeforeRecordOfHostWithoutStorePreventsJob(t *testing.T) {
	for name, refused := range map[string]map[string]bool{
		"peer writes": {"two": true}, "nobody writes at first": {"one": true, "two": true, "three": true},
	} {
		t.Run(name, func(t *testing.T) {
			runEarlyCancel(t, func(t *testing.T, f *simulatedFleet) {
				began := time.Now()
				f.store.setTxnFault(func(host string, _ kvstore.Txn) txnFault {
					return txnFault{isRefused: refused[host] && time.Since(began) < time.Second}
				})
				var a entry.Answer
				for range 20 {
					if a = f.host("two").daemon.Cancel(t.Context(), earlyQueue, earlyJob.ID); a.Outcome == entry.OutcomeNoJob {
						break
					}
					assert.Assert(t, a.Outcome == entry.OutcomeRefused && a.RetryAfter > 0, "%+v", a)
					time.Sleep(300 * time.Millisecond)
				}
				assert.Equal(t, a.Outcome, entry.OutcomeNoJob)
			})
		})
	}
}

// Guards against a job that runs because it is submitted again after its cancellation. It is accepted and shown as cancelled, also by
// the next owner, and its records are kept no longer than those of other jobs.
func TestJobSubmittedAfterItsCancellationIsCancelled(t *testing.T) {
	runEarlyCancel(t, func(t *testing.T, f *simulatedFleet) {
		two, three := f.host("two").daemon, f.host("three").daemon
		assert.Equal(t, two.Cancel(t.Context(), earlyQueue, earlyJob.ID).Outcome, entry.OutcomeNoJob)
		for _, h := range []*entry.Host{two, three, two} {
			a := h.Submit(t.Context(), earlyJob)
			assert.Equal(t, a.Outcome, entry.OutcomeAccepted)
			assert.Equal(t, a.State, workflow.StateCancelled)
		}
		assert.Equal(t, three.State(t.Context(), earlyQueue, earlyJob.ID).State, workflow.StateCancelled)
		assert.Equal(t, three.Cancel(t.Context(), earlyQueue, earlyJob.ID).Outcome, entry.OutcomeAccepted)
		for owner := range f.owners() {
			f.kill(owner)
		}
		time.Sleep(5 * time.Second)
		for _, name := range f.names() {
			a := f.host(name).daemon.State(t.Context(), earlyQueue, earlyJob.ID)
			assert.Equal(t, a.State, workflow.StateCancelled, name)
		}
		kvs, _ := f.store.readRange(entry.JobPrefix)
		assert.Equal(t, len(kvs), 0, "job records that are left")
	})
}

// Guards against a cancel that is answered with the statement that there is no such job while the job was recorded between the two
// calls to the store.
func TestCancelOfJobThatIsRecordedMeanwhileCancelsIt(t *testing.T) {
	runEarlyCancel(t, func(t *testing.T, f *simulatedFleet) {
		f.store.setTxnFault(func(_ string, txn kvstore.Txn) txnFault {
			if len(txn.Guards) > 0 && txn.Guards[0].Key == entry.LocationKey(earlyJob.ID) {
				f.store.setTxnFault(nil)
				f.addJob(0, earlyJob)
			}
			return txnFault{}
		})
		assert.Equal(t, f.host("two").daemon.Cancel(t.Context(), earlyQueue, earlyJob.ID).Outcome, entry.OutcomeAccepted)
		time.Sleep(2 * time.Second)
		assert.Equal(t, f.host("three").daemon.State(t.Context(), earlyQueue, earlyJob.ID).State, workflow.StateCancelled)
	})
}

// Guards against callers that fill the store by cancelling ids that never existed: their number is limited and they expire.
func TestCancelsOfUnknownJobsAreBounded(t *testing.T) {
	const (
		attempts, keptFor = 2000, 5 * time.Minute
		// perSecond and atOnce limit the records of all hosts together, and those of one host at once.
		perSecond, atOnce = 60, 32
	)
	synctest.Test(t, func(t *testing.T) {
		f := newSimulatedFleet(t, 1, 1, simulatedWorkers)
		h := f.start("one", strongHost).daemon
		time.Sleep(2 * time.Second)
		refused, began := 0, time.Now()
		for i := range attempts {
			if a := h.Cancel(t.Context(), earlyQueue, fmt.Sprintf("%016x", i)); a.Outcome == entry.OutcomeRefused {
				refused++
				assert.Assert(t, a.RetryAfter > 0)
			}
			time.Sleep(time.Millisecond)
		}
		kvs, _ := f.store.readRange(entry.LocationPrefix)
		limit := atOnce + int(perSecond*time.Since(began).Seconds()) + 1
		assert.Assert(t, len(kvs) == attempts-refused && len(kvs) <= limit, "%d refused, %d records, limit %d", refused, len(kvs), limit)
		time.Sleep(keptFor)
		kvs, _ = f.store.readRange(entry.LocationPrefix)
		assert.Equal(t, len(kvs), 0)
	})
}
