package entry_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/laburnumridge/laburnumridge/internal/entry"
	"github.com/laburnumridge/laburnumridge/internal/knownred"
	"github.com/laburnumridge/laburnumridge/internal/shard"
	"github.com/laburnumridge/laburnumridge/internal/workflow"
)

const (
	// failedStateTime is how long a job may be shown as running after its task has failed for the last time, if nothing is disturbed.
	failedStateTime = contactTime
	// disturbedFailedStateTime is the same while owners are lost.
	disturbedFailedStateTime = 14 * time.Second
)

// endedAt returns when the final state of a job was recorded, and the state.
func (f *simulatedFleet) endedAt(id string) (time.Time, workflow.State) {
	f.store.mu.Lock()
	defer f.store.mu.Unlock()
	for _, e := range f.store.events {
		if e.KV.Key != entry.LocationKey(id) || e.Deleted {
			continue
		}
		if location, err := workflow.Decode[workflow.JobLocation](e.KV.Value); err == nil && location.State.IsFinal() {
			return e.at, location.State
		}
	}
	return time.Time{}, ""
}

// lastFailure returns when the last failed run of a task ended.
func (f *simulatedFleet) lastFailure(name string) time.Time {
	f.tasks.mu.Lock()
	defer f.tasks.mu.Unlock()
	return f.tasks.failedAt[name]
}

// Guards against tasks whose every run fails and that run more often in guest shards with room than their queue allows (BUDGET), and against
// jobs that are shown as running long after that.
func TestTaskInGuestStopsAtLimitOfFailedRuns(t *testing.T) {
	const jobs = 2 // with more, the workers of the guest are quarantined, so that it has no room
	for name, k := range map[string]struct {
		change func(f *simulatedFleet)
		within time.Duration
	}{
		"same owners":        {func(*simulatedFleet) {}, failedStateTime},
		"owners are lost":    {func(f *simulatedFleet) { f.killOwners() }, disturbedFailedStateTime},
		"all hosts are lost": {func(f *simulatedFleet) { f.kill(f.names()...) }, disturbedFailedStateTime},
		"owners drain": {func(f *simulatedFleet) {
			for owner := range f.owners() {
				f.host(owner).daemon.DrainShards(f.t.Context())
				f.kill(owner)
			}
		}, disturbedFailedStateTime},
	} {
		t.Run(name, func(t *testing.T) {
			knownred.Skip(t)
			synctest.Test(t, func(t *testing.T) {
				f := newExchangeFleet(t, 1, 2, 4)
				f.drawEnds(func(shard.Start) (time.Duration, shard.EndCause) {
					return time.Duration(300+f.int(300)) * time.Millisecond, shard.EndFailed
				})
				f.fillShard(0)
				for n := range jobs {
					f.addJob(0, workflow.Job{ID: fmt.Sprintf("a%015d", n), Queue: "q", Steps: []workflow.Step{halfWorker(1)}})
				}
				for range 50 {
					if f.decisions("hold_task") < jobs {
						time.Sleep(100 * time.Millisecond)
					}
				}
				assert.Check(t, f.decisions("hold_task") == jobs, "not all tasks have moved")
				time.Sleep(500 * time.Millisecond)
				k.change(f)
				for i := range 4 {
					f.startMissing(fmt.Sprintf("strong-%d", i), strongHost)
				}
				time.Sleep(30 * time.Second)
				for n := range jobs {
					id := fmt.Sprintf("a%015d", n)
					at, state := f.endedAt(id)
					assert.Check(t, state == workflow.StateFailed, "%s: %q", id, state)
					late := at.Sub(f.lastFailure(workflow.TaskKey{}.Name(id)))
					assert.Check(t, late <= k.within, "%s is shown as failed %s after its last run", id, late)
					f.checkNoRecords(id)
				}
				f.end()
			})
		})
	}
}
