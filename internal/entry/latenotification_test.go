package entry_test

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/laburnumridge/laburnumridge/internal/entry"
	"github.com/laburnumridge/laburnumridge/internal/fleet"
	"github.com/laburnumridge/laburnumridge/internal/workflow"
)

const notifiedTasks = 3

var notifiedJob = workflow.Job{ID: "0000000000000001", Queue: "q", Steps: []workflow.Step{{
	Count: notifiedTasks, Estimate: time.Second, Rack: rackName(0), Resources: fleet.Resources{CPUMilli: 1000, MemoryMiB: 10},
}}}

// runNotification runs a scenario with one shard and without a load, and checks that no task runs on two workers at a time.
func runNotification(t *testing.T, scenario func(*testing.T, *simulatedFleet)) {
	synctest.Test(t, func(t *testing.T) {
		f := newSimulatedFleet(t, 1, 1, simulatedWorkers)
		scenario(t, f)
		f.kill(f.names()...)
		time.Sleep(contactTime) // background calls of the hosts end
		assert.Equal(t, strings.Join(f.tasks.violations, "\n"), "")
	})
}

// Guards against a job that runs once more because the notification of its acceptance reaches the shard's next owner after the job
// has ended under the owner before, which alone remembers the end.
func TestLateNotificationDoesNotRepeatEndedJob(t *testing.T) {
	for name, hasRevision := range map[string]bool{"with revision": true, "of an older build": false} {
		t.Run(name, func(t *testing.T) {
			runNotification(t, func(t *testing.T, f *simulatedFleet) {
				f.start("one", strongHost)
				time.Sleep(2 * time.Second)
				f.addJob(0, notifiedJob)
				revision := f.jobRevision(notifiedJob)
				time.Sleep(5 * time.Second)
				assert.Equal(t, f.shortJobs(), 0, "the job has ended")
				f.start("two", strongHost)
				f.kill("one")
				time.Sleep(5 * time.Second)
				assert.Equal(t, f.owners()["two"], 1)
				before := f.endCount()
				assert.Assert(t, before >= notifiedTasks)
				if !hasRevision {
					revision = 0
				}
				assert.NilError(t, f.hosts["two"].daemon.Notify(t.Context(), 0, notifiedJob, revision))
				time.Sleep(5 * time.Second)
				kvs, _ := f.store.readRange(entry.JobPrefix)
				assert.Check(t, f.endCount() == before, "%d tasks ran again; %d records", f.endCount()-before, len(kvs))
			})
		})
	}
}

// Guards against an owner that ignores every notification: while its watch of the records is late, only the notification shows a new
// job. The job must run once, also when the watch shows its record after the job has ended.
func TestNotifiedJobStartsWhileWatchIsLate(t *testing.T) {
	for name, accept := range map[string]func(*testing.T, *simulatedFleet){
		"notified": func(t *testing.T, f *simulatedFleet) {
			f.addJob(0, notifiedJob)
			assert.NilError(t, f.hosts["one"].daemon.Notify(t.Context(), 0, notifiedJob, f.jobRevision(notifiedJob)))
		},
		"submitted to the owner": func(t *testing.T, f *simulatedFleet) {
			assert.Equal(t, f.hosts["one"].daemon.Submit(t.Context(), notifiedJob).Outcome, entry.OutcomeAccepted)
		},
		"submitted to the owner, on record": func(t *testing.T, f *simulatedFleet) {
			f.addJob(0, notifiedJob)
			assert.Equal(t, f.hosts["one"].daemon.Submit(t.Context(), notifiedJob).Reason, "on record")
		},
	} {
		t.Run(name, func(t *testing.T) {
			runNotification(t, func(t *testing.T, f *simulatedFleet) {
				f.start("one", strongHost)
				time.Sleep(2 * time.Second)
				f.store.setUnwatched(entry.JobPrefix + "0/")
				accept(t, f)
				time.Sleep(5 * time.Second)
				assert.Equal(t, f.endCount(), int64(notifiedTasks))
				f.store.setUnwatched("")
				time.Sleep(5 * time.Second)
				assert.Equal(t, f.endCount(), int64(notifiedTasks))
			})
		})
	}
}

// Guards against a job that is lost or runs twice because its notification was ignored: it came from a host of an older build, which
// names no revision, or before the owner had read the records of the shard.
func TestJobOfIgnoredNotificationRunsOnce(t *testing.T) {
	t.Run("of an older build", func(t *testing.T) {
		runNotification(t, func(t *testing.T, f *simulatedFleet) {
			f.start("one", strongHost)
			time.Sleep(2 * time.Second)
			f.store.setUnwatched(entry.JobPrefix + "0/")
			f.addJob(0, notifiedJob)
			assert.NilError(t, f.hosts["one"].daemon.Notify(t.Context(), 0, notifiedJob, 0))
			time.Sleep(time.Second)
			f.store.setUnwatched("")
			time.Sleep(5 * time.Second)
			assert.Equal(t, f.endCount(), int64(notifiedTasks))
		})
	})
	t.Run("before the records are read", func(t *testing.T) {
		runNotification(t, func(t *testing.T, f *simulatedFleet) {
			f.storeLatency = 300 * time.Millisecond
			f.start("one", strongHost)
			for f.owners()["one"] == 0 {
				time.Sleep(time.Millisecond)
			}
			f.addJob(0, notifiedJob)
			assert.NilError(t, f.hosts["one"].daemon.Notify(t.Context(), 0, notifiedJob, f.jobRevision(notifiedJob)))
			time.Sleep(10 * time.Second)
			assert.Equal(t, f.endCount(), int64(notifiedTasks))
			assert.NilError(t, f.hosts["one"].daemon.Notify(t.Context(), 0, notifiedJob, f.jobRevision(notifiedJob)))
			time.Sleep(5 * time.Second)
			assert.Equal(t, f.endCount(), int64(notifiedTasks))
		})
	})
}

// Guards against a relayed submission without the revision of its record: the owner ignores the notification that follows, and the
// job starts only when the owner's watch shows it.
func TestReplyToRelayedSubmissionHasRevision(t *testing.T) {
	runNotification(t, func(t *testing.T, f *simulatedFleet) {
		f.start("one", strongHost)
		time.Sleep(2 * time.Second)
		first, err := f.hosts["one"].daemon.SubmitForPeer(t.Context(), 0, notifiedJob)
		assert.NilError(t, err)
		assert.Equal(t, first.Revision, f.jobRevision(notifiedJob))
		again, err := f.hosts["one"].daemon.SubmitForPeer(t.Context(), 0, notifiedJob)
		assert.NilError(t, err)
		assert.Equal(t, again.State, "")
		assert.Equal(t, again.Revision, first.Revision)
	})
}

// jobRevision returns the store revision at which the record of a job was written.
func (f *simulatedFleet) jobRevision(j workflow.Job) int64 {
	f.t.Helper()
	f.store.mu.Lock()
	defer f.store.mu.Unlock()
	for _, e := range f.store.events {
		if !e.Deleted && strings.HasPrefix(e.KV.Key, entry.JobPrefix) && strings.HasSuffix(e.KV.Key, "/"+j.ID) {
			return e.KV.ModRevision
		}
	}
	f.t.Fatalf("job %s is not on record", j.ID)
	return 0
}

// endCount returns the number of runs that have ended.
func (f *simulatedFleet) endCount() int64 {
	n := int64(0)
	for _, w := range f.workers {
		w.mu.Lock()
		n += w.endCount
		w.mu.Unlock()
	}
	return n
}
