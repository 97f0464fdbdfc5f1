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

func TestStartBeforeBindingIsCommitted(t *testing.T) {
	b := newBench(t, ledger.State{}, 1, "w1")
	b.answer("w1", "boot", true)
	b.bound(batch("job", 2, 1), "w1")
	b.renewed(time.Second)
	assert.Equal(t, len(b.last.Starts), 0)
	b.OutcomeUnknown()
	b.answer("w1", "boot", true)
	b.renewed(time.Second)
	assert.Equal(t, len(b.last.Starts), 0)
	assert.Assert(t, b.proposal.Resolve)
	b.commit()
	b.tick(0)
	assert.Equal(t, len(b.last.Starts), 1)
}

func TestOwnerPausedPastLeaseStartsNothing(t *testing.T) {
	for _, capable := range []bool{true, false} {
		t.Run(fmt.Sprint(capable), func(t *testing.T) {
			b := newBench(t, ledger.State{}, 1, "w1")
			b.renewed(21 * time.Second)
			b.answer("w1", "boot", capable)
			b.bound(batch("job", 2, 1), "w1")
			b.commit()
			b.tick(30 * time.Second)
			assert.Equal(t, len(b.last.Starts), 0)
			assert.Equal(t, len(b.last.Contacts) > 0, capable)
			assert.Equal(t, b.MayAct(t0.Add(3*time.Hour), "w1"), false)
		})
	}
}

func TestWorkerRestartedInOutageIsTrustedByOwnerThatMayBeReplaced(t *testing.T) {
	b := newBench(t, stateOf(t, false), 2, "w1")
	b.answer("w1", "boot", true)
	b.tick(30 * time.Second)
	assert.Assert(t, !b.answerTo(b.last.Contacts[0], "boot2", true))
	b.tick(0)
	assert.Equal(t, len(b.last.Starts), 0)
}

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
			b := newBench(t, stateOf(t, c.noEpochs), 2, "w1")
			if c.absent {
				b.HostList(b.now, nil)
			}
			b.renewed(c.after - time.Millisecond)
			assert.Equal(t, b.unbound(), "")
			assert.Assert(t, errors.Is(b.Bind("job/0", "w2"), ledger.ErrNotBindable))
			b.renewed(time.Millisecond)
			assert.Equal(t, b.unbound(), "job/0@w1 ")
			assert.NilError(t, b.Bind("job/0", "w2"))
			// The attempts of the earlier owner are unknown, so their numbers are passed over.
			b.commit()
			task, _ := b.State().Task("job/0")
			assert.Equal(t, task.Attempt, 100)
		})
	}
}

func TestRebindBeforeWorkerLeaseEnds(t *testing.T) {
	b := newBench(t, stateOf(t, false), 2, "w1")
	b.answer("w1", "boot", true, report("job/0", 3, ledger.PhaseRunning, 7))
	b.renewed(10999 * time.Millisecond)
	assert.Equal(t, b.unbound(), "")
	b.renewed(time.Millisecond)
	assert.Equal(t, b.unbound(), "job/0@w1 ")
	assert.NilError(t, b.Bind("job/0", "w2"))
	// The checkpoint of the report was proposed before the binding.
	b.commit()
	b.commit()
	task, _ := b.State().Task("job/0")
	assert.Equal(t, task.Attempt, 3)
	assert.Equal(t, task.Checkpoint, int64(7))
}

func TestWorkerWithoutEpochsIsTrustedTooEarly(t *testing.T) {
	b := newBench(t, stateOf(t, true), 2, "w1")
	b.answer("w1", "boot", false)
	assert.Equal(t, b.unbound(), "")
	b.renewed(21 * time.Second)
	b.answer("w1", "boot", false)
	assert.Equal(t, b.unbound(), "job/0@w1 ")
}

func TestLateReportEndsARunningTask(t *testing.T) {
	for _, c := range []struct{ name, first, second string }{
		{"sent earlier", "boot", "boot"},
		{"of an earlier boot", "boot1", "boot2"},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newBench(t, stateOf(t, false), 2, "w1")
			b.answer("w1", c.first, true)
			b.tick(0)
			before, after := b.contact("w1"), ledger.Contact{}
			b.renewed(2 * time.Second)
			after = b.contact("w1")
			if c.first != c.second {
				// The worker handled the later contact first and then restarted.
				before, after = after, before
			}
			running := report("job/0", 1, ledger.PhaseRunning, 0)
			assert.Assert(t, b.answerTo(after, c.second, true, running))
			b.renewed(time.Second)
			assert.Assert(t, !b.answerTo(before, c.first, true))
			b.renewed(time.Second)
			assert.Equal(t, len(b.last.Starts), 0)
		})
	}
}

func TestReportOlderThanTheStartEndsIt(t *testing.T) {
	b := newBench(t, stateOf(t, false), 2, "w1")
	b.answer("w1", "boot", true)
	b.tick(0)
	assert.Equal(t, len(b.last.Starts), 1)
	start, early := b.last.Starts[0], b.contact("w1")
	b.renewed(time.Second)
	b.Started(b.now, start)
	assert.Assert(t, b.answerTo(early, "boot", true))
	b.tick(0)
	assert.Equal(t, len(b.last.Starts), 0)
	assert.Equal(t, b.unbound(), "")
}

func TestTaskOfUpgradedWorkerOutlivesTheLease(t *testing.T) {
	b := newBench(t, stateOf(t, true), 2, "w1")
	b.answer("w1", "boot", true)
	b.tick(30 * time.Second)
	assert.Assert(t, !b.MayAct(b.now, "w1"))
}

func TestStrayAndStartExceedTheWorker(t *testing.T) {
	b := newBench(t, stateOf(t, false), 2, "w1")
	b.answer("w1", "boot", true, report("gone/0", 1, ledger.PhaseRunning, 0))
	b.tick(0)
	assert.Equal(t, len(b.last.Starts), 0)
	b.answer("w1", "boot", true)
	b.tick(0)
	assert.Equal(t, len(b.last.Starts), 1)
}

func TestEvictedTaskResumesTwice(t *testing.T) {
	b := newBench(t, stateOf(t, false), 2, "w1")
	b.answer("w1", "boot", true, report("job/0", 1, ledger.PhaseRunning, 1))
	assert.NilError(t, b.Evict(b.now, "job/0", 0))
	b.renewed(time.Second)
	assert.Equal(t, len(b.last.Stops), 1)
	stop := b.last.Stops[0]
	assert.Equal(t, len(b.last.Starts), 0)
	b.Stopped(b.now, stop, report("job/0", 1, ledger.PhaseStopped, 9))
	b.tick(0)
	assert.Equal(t, len(b.last.Starts), 1)
	assert.Equal(t, b.last.Starts[0].Attempt, 2)
	assert.Equal(t, b.last.Starts[0].Checkpoint, int64(9))
	b.Started(b.now, b.last.Starts[0])
	b.Stopped(b.now, stop, report("job/0", 1, ledger.PhaseStopped, 9))
	b.renewed(time.Second)
	assert.Equal(t, len(b.last.Starts), 0)
}

func TestUnknownOrLowerAttemptRunsOn(t *testing.T) {
	b := newBench(t, stateOf(t, false), 2, "w1")
	b.answer("w1", "boot", true, report("job/0", 2, ledger.PhaseRunning, 0), report("gone/0", 1, ledger.PhaseRunning, 0))
	b.renewed(time.Second)
	assert.Equal(t, len(b.last.Stops), 1)
	assert.Equal(t, b.last.Stops[0].Task, "gone/0")
	b.answer("w1", "boot", true, report("job/0", 1, ledger.PhaseRunning, 0))
	b.renewed(time.Second)
	assert.Equal(t, b.last.Stops[0].Task+fmt.Sprint(b.last.Stops[0].Attempt), "job/01")
}

func TestTaskThatDoesNotFitIsStarted(t *testing.T) {
	b := newBench(t, ledger.State{}, 1, "w1")
	b.answer("w1", "boot", true)
	b.bound(batch("job", 3, 2), "w1")
	assert.Equal(t, b.Reserved("w1").Waiting, size(6))
	b.commit()
	b.answer("w1", "boot", true)
	b.tick(0)
	assert.Equal(t, len(b.last.Starts), 1)
	assert.Equal(t, b.Reserved("w1").Running, size(3))
}

func TestEndIsForgottenBeforeItIsCommitted(t *testing.T) {
	b := newBench(t, stateOf(t, false), 2, "w1")
	done := report("job/0", 1, ledger.PhaseDone, 3)
	b.answer("w1", "boot", true, done)
	b.renewed(2 * time.Second)
	assert.Equal(t, len(b.last.Contacts[0].Acks), 0)
	b.commit()
	b.answer("w1", "boot", true, done)
	b.renewed(2 * time.Second)
	assert.DeepEqual(t, b.last.Contacts[0].Acks, []ledger.TaskEnd{{Task: "job/0", Attempt: 1}})
	task, _ := b.State().Task("job/0")
	assert.Equal(t, task.Phase, ledger.PhaseDone)
}

func TestConflictedOwnerGoesOn(t *testing.T) {
	b := newBench(t, stateOf(t, false), 2, "w1")
	b.Conflicted()
	b.renewed(3 * time.Second)
	assert.Equal(t, len(b.last.Contacts), 0)
	assert.Assert(t, errors.Is(b.Bind("job/0", "w2"), ledger.ErrNotOwner))
}

func TestOwnerPausedBeforeItsTakeoverOverridesALaterOne(t *testing.T) {
	o := ledger.NewOwner(stateOf(t, false), "host", 1, t0)
	assert.Assert(t, o.IsDeposed())
	assert.Assert(t, o.Tick(t0).Commit == nil)
}

func TestWithdrawnJobEndsWhileItRuns(t *testing.T) {
	b := newBench(t, stateOf(t, false), 2, "w1")
	b.answer("w1", "boot", true, report("job/0", 1, ledger.PhaseRunning, 0))
	assert.NilError(t, b.Withdraw("job", "cancelled by the operator"))
	b.commit()
	b.tick(0)
	assert.Equal(t, len(b.last.Stops), 1)
	task, _ := b.State().Task("job/0")
	assert.Equal(t, task.Phase, ledger.PhaseBound)
	b.Stopped(b.now, b.last.Stops[0], report("job/0", 1, ledger.PhaseStopped, 0))
	b.tick(0)
	b.commit()
	task, _ = b.State().Task("job/0")
	assert.Equal(t, task.Phase, ledger.PhaseCancelled)
}

// Guards against a handover that never ends because running tasks go on ending.
func TestHandoverWaitsForRunningTasks(t *testing.T) {
	s, err := ledger.State{}.Apply(ledger.NewBatch(t0, ledger.TakeOver(1, "old"), ledger.Accept(batch("job", 2, 2)),
		ledger.Bind("job/0", "w1", 0, 0), ledger.Bind("job/1", "w1", 0, 0)))
	assert.NilError(t, err)
	b := newBench(t, s, 2, "w1")
	one := ledger.TaskReport{Attempt: 1, Phase: ledger.PhaseRunning, Task: "job/0"}
	two := ledger.TaskReport{Attempt: 1, Phase: ledger.PhaseRunning, Task: "job/1"}
	b.answer("w1", "boot", true, one, two)
	one.Phase = ledger.PhaseDone
	b.renewed(2 * time.Second)
	b.answer("w1", "boot", true, one, two)
	b.Handover()
	assert.Assert(t, !b.HandedOver())
	two.Phase = ledger.PhaseDone
	b.renewed(2 * time.Second)
	b.answer("w1", "boot", true, one, two)
	b.commit()
	assert.Assert(t, b.HandedOver())
	task, _ := b.State().Task("job/1")
	assert.Equal(t, task.Phase, ledger.PhaseBound, "the next owner learns of the end from the worker")
}

func TestHandoverLosesProposedChanges(t *testing.T) {
	b := newBench(t, ledger.State{}, 1, "w1")
	assert.Assert(t, b.Accept(batch("job", 1, 1)))
	b.Handover()
	assert.Assert(t, !b.HandedOver())
	b.commit()
	assert.Assert(t, b.HandedOver())
	assert.Equal(t, len(b.State().Tasks()), 1)
}
