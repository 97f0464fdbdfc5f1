package entry_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/laburnumridge/laburnumridge/internal/entry"
	"github.com/laburnumridge/laburnumridge/internal/shard"
	"github.com/laburnumridge/laburnumridge/internal/workflow"
)

// addEnding hands in jobs of a single task each, and one of several, whose runs take a minute. It returns the ids and the number of tasks.
func (f *simulatedFleet) addEnding(jobs, tasks int) (ids []string, total int) {
	for n := range jobs {
		j := workflow.Job{ID: fmt.Sprintf("a%015d", n), Queue: "q", Steps: []workflow.Step{halfWorker(1)}}
		if n == 0 {
			j.Steps[0].Count = tasks
		}
		ids, total = append(ids, j.ID), total+j.Steps[0].Count
		f.addJob(0, j)
	}
	return ids, total
}

// loseForGood loses a worker, whose entry leaves the registry a while later.
func (f *simulatedFleet) loseForGood(id string) {
	f.workers[id].leave()
	time.AfterFunc(silentEntryTime, func() { f.store.remove(id) })
}

// Guards against tasks of a lost worker that wait for a start which had a response, because the owner that received it was killed: they had nothing
// running for the delay of a call and the longest lease after the takeover.
func TestTasksOfLostWorkerRunAgainAfterKillOfOwner(t *testing.T) {
	for name, kill := range map[string]func(f *simulatedFleet){
		"worker alone":    func(*simulatedFleet) {},
		"with its owner":  func(f *simulatedFleet) { f.killOwners() },
		"owner 3 s later": func(f *simulatedFleet) { time.Sleep(3 * time.Second); f.killOwners() },
		"two owners in series": func(f *simulatedFleet) {
			f.killOwners()
			time.Sleep(4 * time.Second)
			f.killOwners()
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newSimulatedFleet(t, 1, 1, 16)
				f.callCost /= 10
				f.drawEnds(func(shard.Start) (time.Duration, shard.EndCause) { return time.Minute, shard.EndDone })
				for i := range 5 {
					f.start(fmt.Sprintf("strong-%d", i), strongHost)
				}
				time.Sleep(25 * time.Second) // leases of an owner before the first would be over
				ids, total := f.addEnding(6, 4)
				running := func() (n int) {
					for _, id := range ids {
						n += f.runsOf(id)
					}
					return n
				}
				time.Sleep(1500 * time.Millisecond)
				assert.Equal(t, running(), total)
				for i := range 4 {
					f.loseForGood(workerID(i))
				}
				lost, began := total-running(), time.Now()
				assert.Assert(t, lost > 0)
				kill(f)
				for running() < total && time.Since(began) < time.Minute {
					time.Sleep(100 * time.Millisecond)
				}
				took := time.Since(began)
				t.Logf("%d tasks run again, the last one after %s", lost, took)
				assert.Check(t, took <= finishTime, "tasks wait for %s", took)
				f.end()
			})
		})
	}
}

// Guards against a mark of an owner that is used although another one was between, which may have sent starts again, and against an owner that starts
// tasks while a start without a response may be carried out.
func TestMarkOfEarlierOwnerIsNotUsed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newSimulatedFleet(t, 1, 1, 16)
		f.callCost /= 10
		f.logHook = &decisionCounter{counts: map[string]int{}}
		f.drawEnds(func(shard.Start) (time.Duration, shard.EndCause) { return time.Minute, shard.EndDone })
		for i := range 3 {
			f.start(fmt.Sprintf("strong-%d", i), strongHost)
		}
		time.Sleep(5 * time.Second)
		f.addEnding(6, 4)
		time.Sleep(2 * time.Second)
		mark := f.store.get(entry.AnsweredKey())
		assert.Assert(t, mark.ModRevision != 0)
		f.killOwners()
		time.Sleep(5 * time.Second)
		assert.Equal(t, f.decisions("answered_mark"), 1)
		f.store.put(mark.Key, mark.Value)
		f.killOwners()
		time.Sleep(5 * time.Second)
		assert.Equal(t, f.decisions("answered_mark"), 1)
		f.end()
	})
}
