package ledger_test

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/laburnumridge/laburnumridge/internal/ledger"
)

var t0 = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// Guards against starting a task whose binding is not in the log, or not certainly.
func TestStartBeforeBindingIsCommitted(t *testing.T) {
	b := newOwnerFixture(t, ledger.State{}, 1, "w1")
	b.respond("w1", "boot", true)
	b.acceptAndBind(batchJob("job", 2, 1), "w1")
	b.renewAndAdvance(time.Second)
	assert.Equal(t, len(b.lastActions.Starts), 0)
	b.OutcomeUnknown()
	b.respond("w1", "boot", true)
	b.renewAndAdvance(time.Second)
	assert.Equal(t, len(b.lastActions.Starts), 0)
	assert.Assert(t, b.proposedCommit.MayBeInLog)
	b.commitProposed()
	b.advance(0)
	assert.Equal(t, len(b.lastActions.Starts), 1)
}

// Guards against an owner that, after a pause longer than its platform lease, starts tasks with an expired token, sends
// anything to a worker without epochs, or acts after the autonomy period.
func TestOwnerStartsTasksAfterItsLeaseLapsed(t *testing.T) {
	for _, capable := range []bool{true, false} {
		t.Run(fmt.Sprint(capable), func(t *testing.T) {
			b := newOwnerFixture(t, ledger.State{}, 1, "w1")
			b.renewAndAdvance(21 * time.Second)
			b.respond("w1", "boot", capable)
			b.acceptAndBind(batchJob("job", 2, 1), "w1")
			b.commitProposed()
			b.advance(30 * time.Second)
			assert.Equal(t, len(b.lastActions.Starts), 0)
			assert.Equal(t, len(b.lastActions.Contacts) > 0, capable)
			assert.Equal(t, b.MayAct(t0.Add(3*time.Hour), "w1"), false)
		})
	}
}

// Guards against trusting a worker that restarted during an outage: it has lost its epoch, so its response does not show
// whether another owner has taken over.
func TestRestartedWorkerIsTrustedWithoutPlatformLease(t *testing.T) {
	b := newOwnerFixture(t, boundState(t, false), 2, "w1")
	b.respond("w1", "boot", true)
	b.advance(30 * time.Second)
	assert.Assert(t, !b.respondTo(b.lastActions.Contacts[0], "boot2", true))
	b.advance(0)
	assert.Equal(t, len(b.lastActions.Starts), 0)
}

// Guards against rebinding a task from an unreachable worker before no earlier owner's attempt can run there. The waits
// end exactly at the given times.
func TestRebindWithoutProofAfterTakeover(t *testing.T) {
	for _, c := range []struct {
		name     string
		noEpochs bool
		after    time.Duration
		absent   bool
	}{
		{"autonomy", false, (2*time.Hour + 10*time.Second) * 11 / 10, false},
		{"no epochs", true, 20900 * time.Millisecond, false},
		{"absent", false, 11 * time.Second, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newOwnerFixture(t, boundState(t, c.noEpochs), 2, "w1")
			if c.absent {
				b.UpdateHosts(b.now, nil)
			}
			b.renewAndAdvance(c.after - time.Millisecond)
			assert.Equal(t, b.bindableTasks(), "")
			assert.Assert(t, errors.Is(b.Bind("job/0", "w2"), ledger.ErrNotBindable))
			b.renewAndAdvance(time.Millisecond)
			assert.Equal(t, b.bindableTasks(), "job/0@w1 ")
			assert.NilError(t, b.Bind("job/0", "w2"))
			// The attempts of the earlier owner are not known, so a gap is left for their numbers.
			b.commitProposed()
			task, _ := b.State().Task("job/0")
			assert.Equal(t, task.Attempt, 100)
		})
	}
}

// Guards against rebinding a task while its lease on the old worker may still run, and against losing its attempt number
// or checkpoint.
func TestRebindBeforeWorkerLeaseEnds(t *testing.T) {
	b := newOwnerFixture(t, boundState(t, false), 2, "w1")
	b.respond("w1", "boot", true, taskReport("job/0", 3, ledger.PhaseRunning, 7))
	b.renewAndAdvance(10999 * time.Millisecond)
	assert.Equal(t, b.bindableTasks(), "")
	b.renewAndAdvance(time.Millisecond)
	assert.Equal(t, b.bindableTasks(), "job/0@w1 ")
	assert.NilError(t, b.Bind("job/0", "w2"))
	// The first batch holds the checkpoint of the report, the second the binding.
	b.commitProposed()
	b.commitProposed()
	task, _ := b.State().Task("job/0")
	assert.Equal(t, task.Attempt, 3)
	assert.Equal(t, task.Checkpoint, int64(7))
}

// Guards against trusting the report of a worker without epochs while an earlier owner may still start tasks there.
func TestWorkerWithoutEpochsIsTrustedTooEarly(t *testing.T) {
	b := newOwnerFixture(t, boundState(t, true), 2, "w1")
	b.respond("w1", "boot", false)
	assert.Equal(t, b.bindableTasks(), "")
	b.renewAndAdvance(21 * time.Second)
	b.respond("w1", "boot", false)
	assert.Equal(t, b.bindableTasks(), "job/0@w1 ")
}

// Guards against late reports that end a running attempt because they do not list it: one that answers an earlier
// contact, and one of an earlier boot.
func TestLateReportEndsARunningTask(t *testing.T) {
	for _, c := range []struct{ name, first, second string }{
		{"sent earlier", "boot", "boot"},
		{"of an earlier boot", "boot1", "boot2"},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newOwnerFixture(t, boundState(t, false), 2, "w1")
			b.respond("w1", c.first, true)
			b.advance(0)
			before, after := b.latestContact("w1"), ledger.Contact{}
			b.renewAndAdvance(2 * time.Second)
			after = b.latestContact("w1")
			if c.first != c.second {
				// The worker handled the later contact first and then restarted.
				before, after = after, before
			}
			running := taskReport("job/0", 1, ledger.PhaseRunning, 0)
			assert.Assert(t, b.respondTo(after, c.second, true, running))
			b.renewAndAdvance(time.Second)
			assert.Assert(t, !b.respondTo(before, c.first, true))
			b.renewAndAdvance(time.Second)
			assert.Equal(t, len(b.lastActions.Starts), 0)
		})
	}
}

// Guards against an attempt of a worker's present boot that counts as running or as ended because of a response to a call that was
// sent to the earlier boot, and against a start in the present boot with the number of an attempt of the earlier one, which a
// late stop would end.
func TestLateResponsesOfEarlierBootAreIgnored(t *testing.T) {
	b := newOwnerFixture(t, boundState(t, false), 2, "w1")
	b.respond("w1", "boot1", true)
	b.advance(0)
	assert.Equal(t, len(b.lastActions.Starts), 1)
	earlier := b.lastActions.Starts[0]
	stop := ledger.Stop{Attempt: earlier.Attempt, Epoch: 2, Task: earlier.Task, Worker: "w1"}
	b.renewAndAdvance(2 * time.Second)
	b.respond("w1", "boot2", true)
	b.advance(0)
	assert.Equal(t, len(b.lastActions.Starts), 1)
	assert.Assert(t, b.lastActions.Starts[0].Attempt > earlier.Attempt)

	b.Started(b.now, earlier)
	b.StartRefused(b.now, earlier, earlier.Attempt, "task_running")
	b.Stopped(b.now, stop, taskReport("job/0", earlier.Attempt, ledger.PhaseStopped, 0))
	assert.Equal(t, b.bindableTasks(), "")
	b.renewAndAdvance(2 * time.Second)
	assert.Equal(t, len(b.lastActions.Starts), 1, "the unanswered start of the present boot is not repeated")
	assert.Equal(t, len(b.lastActions.Stops), 0)
}

// Guards against ending an attempt because a report that was requested before the start does not list it.
func TestReportRequestedBeforeStartEndsAttempt(t *testing.T) {
	b := newOwnerFixture(t, boundState(t, false), 2, "w1")
	b.respond("w1", "boot", true)
	b.advance(0)
	assert.Equal(t, len(b.lastActions.Starts), 1)
	start, early := b.lastActions.Starts[0], b.latestContact("w1")
	b.renewAndAdvance(time.Second)
	b.Started(b.now, start)
	assert.Assert(t, b.respondTo(early, "boot", true))
	b.advance(0)
	assert.Equal(t, len(b.lastActions.Starts), 0)
	assert.Equal(t, b.bindableTasks(), "")
}

// Guards against acting without the platform lease on a worker that got epoch support after a task was bound to it: a
// later owner relies on that binding to wait only for the platform lease.
func TestOwnerActsOnUpgradedWorkerAfterItsLeaseLapsed(t *testing.T) {
	b := newOwnerFixture(t, boundState(t, true), 2, "w1")
	b.respond("w1", "boot", true)
	b.advance(30 * time.Second)
	assert.Assert(t, !b.MayAct(b.now, "w1"))
}

// Guards against exceeding a worker's capacity by a start beside an attempt that is not in the ledger.
func TestStartBesideOrphanExceedsCapacity(t *testing.T) {
	b := newOwnerFixture(t, boundState(t, false), 2, "w1")
	b.respond("w1", "boot", true, taskReport("gone/0", 1, ledger.PhaseRunning, 0))
	b.advance(0)
	assert.Equal(t, len(b.lastActions.Starts), 0)
	b.respond("w1", "boot", true)
	b.advance(0)
	assert.Equal(t, len(b.lastActions.Starts), 1)
}

// Guards against starting an evicted task again when the response to its stop arrives twice, and against losing the
// checkpoint of the stop.
func TestRepeatedStopResponseStartsTaskTwice(t *testing.T) {
	b := newOwnerFixture(t, boundState(t, false), 2, "w1")
	b.respond("w1", "boot", true, taskReport("job/0", 1, ledger.PhaseRunning, 1))
	assert.NilError(t, b.Evict(b.now, "job/0", 0))
	b.renewAndAdvance(time.Second)
	assert.Equal(t, len(b.lastActions.Stops), 1)
	stop := b.lastActions.Stops[0]
	assert.Equal(t, len(b.lastActions.Starts), 0)
	b.Stopped(b.now, stop, taskReport("job/0", 1, ledger.PhaseStopped, 9))
	b.advance(0)
	assert.Equal(t, len(b.lastActions.Starts), 1)
	assert.Equal(t, b.lastActions.Starts[0].Attempt, 2)
	assert.Equal(t, b.lastActions.Starts[0].Checkpoint, int64(9))
	b.Started(b.now, b.lastActions.Starts[0])
	b.Stopped(b.now, stop, taskReport("job/0", 1, ledger.PhaseStopped, 9))
	b.renewAndAdvance(time.Second)
	assert.Equal(t, len(b.lastActions.Starts), 0)
}

// Guards against attempts that keep running although their task is unknown or a higher attempt runs.
func TestOrphanIsNotStopped(t *testing.T) {
	b := newOwnerFixture(t, boundState(t, false), 2, "w1")
	b.respond("w1", "boot", true, taskReport("job/0", 2, ledger.PhaseRunning, 0), taskReport("gone/0", 1, ledger.PhaseRunning, 0))
	b.renewAndAdvance(time.Second)
	assert.Equal(t, len(b.lastActions.Stops), 1)
	assert.Equal(t, b.lastActions.Stops[0].Task, "gone/0")
	b.respond("w1", "boot", true, taskReport("job/0", 1, ledger.PhaseRunning, 0))
	b.renewAndAdvance(time.Second)
	assert.Equal(t, b.lastActions.Stops[0].Task+fmt.Sprint(b.lastActions.Stops[0].Attempt), "job/01")
}

// Guards against starting a bound task that does not fit beside the running ones.
func TestTaskThatDoesNotFitIsStarted(t *testing.T) {
	b := newOwnerFixture(t, ledger.State{}, 1, "w1")
	b.respond("w1", "boot", true)
	b.acceptAndBind(batchJob("job", 3, 2), "w1")
	assert.Equal(t, b.Reserved("w1").Waiting, size(6))
	b.commitProposed()
	b.respond("w1", "boot", true)
	b.advance(0)
	assert.Equal(t, len(b.lastActions.Starts), 1)
	assert.Equal(t, b.Reserved("w1").Running, size(3))
}

// Guards against losing the end of a task: a worker forgets an end once it is acknowledged.
func TestEndIsAcknowledgedBeforeItIsCommitted(t *testing.T) {
	b := newOwnerFixture(t, boundState(t, false), 2, "w1")
	done := taskReport("job/0", 1, ledger.PhaseDone, 3)
	b.respond("w1", "boot", true, done)
	b.renewAndAdvance(2 * time.Second)
	assert.Equal(t, len(b.lastActions.Contacts[0].Acks), 0)
	b.commitProposed()
	b.respond("w1", "boot", true, done)
	b.renewAndAdvance(2 * time.Second)
	assert.DeepEqual(t, b.lastActions.Contacts[0].Acks, []ledger.AttemptRef{{Task: "job/0", Attempt: 1}})
	task, _ := b.State().Task("job/0")
	assert.Equal(t, task.Phase, ledger.PhaseDone)
}

// Guards against an owner that acts or binds after another writer has appended to the log.
func TestOwnerActsAfterCommitConflict(t *testing.T) {
	b := newOwnerFixture(t, boundState(t, false), 2, "w1")
	b.Conflicted()
	b.renewAndAdvance(3 * time.Second)
	assert.Equal(t, len(b.lastActions.Contacts), 0)
	assert.Assert(t, errors.Is(b.Bind("job/0", "w2"), ledger.ErrNotOwner))
}

// Guards against a host that is paused between claiming its epoch and reading the log, and then overrides the owner that
// took over meanwhile.
func TestStaleOwnerOverridesLaterTakeover(t *testing.T) {
	o := ledger.NewOwner(boundState(t, false), "host", 1, t0)
	assert.Assert(t, o.IsDeposed())
	assert.Assert(t, o.Tick(t0).Commit == nil)
}

// Guards against recording the end of a withdrawn task before its attempt is stopped.
func TestWithdrawnTaskEndsWhileItRuns(t *testing.T) {
	b := newOwnerFixture(t, boundState(t, false), 2, "w1")
	b.respond("w1", "boot", true, taskReport("job/0", 1, ledger.PhaseRunning, 0))
	assert.NilError(t, b.Withdraw("job", "cancelled by the operator"))
	b.commitProposed()
	b.advance(0)
	assert.Equal(t, len(b.lastActions.Stops), 1)
	task, _ := b.State().Task("job/0")
	assert.Equal(t, task.Phase, ledger.PhaseBound)
	b.Stopped(b.now, b.lastActions.Stops[0], taskReport("job/0", 1, ledger.PhaseStopped, 0))
	b.advance(0)
	b.commitProposed()
	task, _ = b.State().Task("job/0")
	assert.Equal(t, task.Phase, ledger.PhaseCancelled)
}

// Guards against a handover that never completes because the changes of running tasks keep being proposed.
func TestHandoverWaitsForRunningTasks(t *testing.T) {
	s, err := ledger.State{}.Apply(ledger.NewBatch(t0, ledger.TakeOver(1, "old"), ledger.Accept(batchJob("job", 2, 2)),
		ledger.Bind("job/0", "w1", 0, 0), ledger.Bind("job/1", "w1", 0, 0)))
	assert.NilError(t, err)
	b := newOwnerFixture(t, s, 2, "w1")
	one := ledger.TaskReport{Attempt: 1, Phase: ledger.PhaseRunning, Task: "job/0"}
	two := ledger.TaskReport{Attempt: 1, Phase: ledger.PhaseRunning, Task: "job/1"}
	b.respond("w1", "boot", true, one, two)
	one.Phase = ledger.PhaseDone
	b.renewAndAdvance(2 * time.Second)
	b.respond("w1", "boot", true, one, two)
	b.StartHandover()
	assert.Assert(t, !b.ReadyToHandOver())
	two.Phase = ledger.PhaseDone
	b.renewAndAdvance(2 * time.Second)
	b.respond("w1", "boot", true, one, two)
	b.commitProposed()
	assert.Assert(t, b.ReadyToHandOver())
	task, _ := b.State().Task("job/1")
	assert.Equal(t, task.Phase, ledger.PhaseBound, "an owner that is handing over must not commit the end; the next owner receives it from the worker")
}

// Guards against a handover that completes before the proposed changes are committed.
func TestHandoverLosesProposedChanges(t *testing.T) {
	b := newOwnerFixture(t, ledger.State{}, 1, "w1")
	assert.Assert(t, b.Accept(batchJob("job", 1, 1)))
	b.StartHandover()
	assert.Assert(t, !b.ReadyToHandOver())
	b.commitProposed()
	assert.Assert(t, b.ReadyToHandOver())
	assert.Equal(t, len(b.State().Tasks()), 1)
}
