package shard_test

import (
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/laburnumridge/laburnumridge/internal/shard"
	"github.com/laburnumridge/laburnumridge/internal/workflow"
)

// wakeTimer decides when a fleetHarness calls Step: each simulationStep, or only after events and at the time that the owner asked
// for, as the daemon does.
type wakeTimer struct {
	stepsOnWake bool
	// hasEvent is set if the owner has been told of something since the last Step.
	hasEvent bool
	// longPolls holds the polls that wait for an end. They are not held back unless stepsOnWake is set.
	longPolls []longPoll
	wakeAt    time.Time
}

type longPoll struct {
	shard.Poll
	sent time.Time
}

func (w *wakeTimer) isDue(now time.Time) bool {
	return !w.stepsOnWake || w.hasEvent || !now.Before(w.wakeAt)
}

// set takes the time of the next Step from the actions of the last one. The harness answers all calls but long polls at once.
func (w *wakeTimer) set(a shard.Actions) {
	w.wakeAt = a.Wake
	w.hasEvent = len(a.Starts)+len(a.Stops)+len(a.Paces)+len(a.Polls) > 0 || a.Commit != nil
}

// answerLongPolls answers the polls whose worker has an end to list or whose wait is over.
func (c *fleetHarness) answerLongPolls() {
	c.longPolls = slices.DeleteFunc(c.longPolls, func(p longPoll) bool {
		if len(c.endedByWorker[p.Worker]) == 0 && c.now.Before(p.sent.Add(p.Wait)) {
			return false
		}
		c.answer(p.Poll, p.sent)
		c.hasEvent = true
		return true
	})
}

// Guards against a failed task that waits for an unrelated event after the pause before its next run, also if jobs that fit nowhere
// make the pause between the rounds of placement long.
func TestOwnerWakesForEndOfRestartDelay(t *testing.T) {
	const job = "0000000000000001"
	for _, unplaceable := range []int{0, 1000} {
		c := newFleetHarness(t, 200)
		c.stepsOnWake = true
		longRunning, other := smallStep, smallStep
		longRunning.LongRunning = true
		other.Label, other.PerWorker = "none", 1
		c.add(workflow.Job{ID: job, Queue: "q", Steps: []workflow.Step{longRunning}})
		c.run(time.Second)
		for i := range unplaceable {
			other.Resources.MemoryMiB = int64(10 + i) // all differ, so each is evaluated
			c.add(workflow.Job{ID: fmt.Sprintf("0000000000001%03x", i), Queue: "q", Steps: []workflow.Step{other}})
		}
		for range 4 {
			c.run(4300 * time.Millisecond)
			took := c.failLongRunning(job, 0, 10*time.Second)
			t.Logf("with %d jobs that fit nowhere: runs again after %s", unplaceable, took)
			assert.Check(t, took <= 100*time.Millisecond, "runs again after %s", took)
		}
	}
}

// Guards against tasks that wait for an unrelated event after the quarantine of the only worker.
func TestOwnerWakesForEndOfQuarantine(t *testing.T) {
	const job = "0000000000000001"
	c := newFleetHarness(t, 1)
	c.stepsOnWake = true
	longRunning := smallStep
	longRunning.LongRunning = true
	c.add(workflow.Job{ID: job, Queue: "q", Steps: []workflow.Step{longRunning}})
	c.run(time.Second)
	for range 2 {
		c.failLongRunning(job, 0, 10*time.Second)
		c.run(1300 * time.Millisecond)
	}
	took := c.failLongRunning(job, 0, 10*time.Second)
	t.Log("runs again after", took)
	assert.Assert(t, took <= 2100*time.Millisecond, "runs again after %s", took)
}

// Guards against a request for placement advice that waits for an unrelated event after the pause that follows a refused one.
func TestOwnerWakesForNextAdviceRequest(t *testing.T) {
	const job = "0000000000000001"
	c := newFleetHarness(t, 2)
	c.run(time.Second)
	c.add(workflow.Job{ID: job, Queue: "advised", Steps: []workflow.Step{smallStep}})
	sent, asked, wake := []time.Time{}, c.now, c.now
	for range 300 {
		c.now = c.now.Add(simulationStep)
		if c.now.Before(wake) {
			continue
		}
		a := c.owner.Step(c.now)
		wake = a.Wake
		for _, advise := range a.AdviceRequests {
			sent = append(sent, c.now)
			c.owner.Advised(c.now, advise, c.now, shard.AdviceResponse{Error: errors.New("busy")})
			wake = c.now
		}
	}
	t.Logf("%d requests in %s", len(sent), c.now.Sub(asked))
	assert.Assert(t, len(sent) >= 15, "%d requests in %s", len(sent), c.now.Sub(asked))
}

// Guards against the next run of a failed task that waits for the record of the failure before its own record is written.
func TestFailureIsRecordedWithNextRun(t *testing.T) {
	const job = "0000000000000001"
	for _, written := range []time.Duration{10 * time.Millisecond, 50 * time.Millisecond, 200 * time.Millisecond} {
		c := newFleetHarness(t, 2)
		c.stepsOnWake = true
		longRunning := smallStep
		longRunning.LongRunning = true
		c.add(workflow.Job{ID: job, Queue: "q", Steps: []workflow.Step{longRunning}})
		c.run(2 * time.Second)
		c.store.answerTime = func() time.Duration { return written }
		received := len(c.store.received)
		took := c.failLongRunning(job, 0, 10*time.Second)
		c.run(time.Second)
		t.Logf("records take %s: runs again after %s, %d commits", written, took, len(c.store.received)-received)
		assert.Check(t, took <= written+100*time.Millisecond, "runs again after %s", took)
		assert.Check(t, len(c.store.received)-received == 1, "%d commits", len(c.store.received)-received)
		for worker, ends := range c.listedAt {
			assert.Equal(t, len(ends), 0, "ends of worker %s that are not acknowledged", worker)
		}
	}
}

// Guards against a failure that is not recorded because no worker has room for the next run.
func TestFailureIsRecordedWithoutNextRun(t *testing.T) {
	const job = "0000000000000001"
	c := newFleetHarness(t, 1)
	c.stepsOnWake = true
	longRunning := smallStep
	longRunning.LongRunning = true
	c.add(workflow.Job{ID: job, Queue: "q", Steps: []workflow.Step{longRunning}})
	c.run(time.Second)
	c.workers[0].Draining, c.workers[0].Remaining = true, time.Minute
	c.endRunsWhere(func(shard.Start) shard.EndCause { return shard.EndFailed })
	c.register()
	c.run(time.Second)
	assert.Equal(t, len(c.running), 0)
	assert.Equal(t, len(c.endedByWorker["a0"]), 0, "ends that are not acknowledged")
}
