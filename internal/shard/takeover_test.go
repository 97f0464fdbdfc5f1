package shard_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	is "gotest.tools/v3/assert/cmp"

	"github.com/laburnumridge/laburnumridge/internal/fleet"
	"github.com/laburnumridge/laburnumridge/internal/shard"
	"github.com/laburnumridge/laburnumridge/internal/workflow"
)

// longRunningStep is a step with one long-running task that leaves room for others on its worker.
var longRunningStep = workflow.Step{
	Count: 1, Resources: fleet.Resources{CPUMilli: 1000, MemoryMiB: 10}, LongRunning: true, TailTarget: time.Second, Image: "i",
}

// takeOver replaces the owner by one that reads the records which the owner has written, as after a crash.
func (c *fleetHarness) takeOver(handedOver ...shard.Handover) {
	for _, commit := range c.store.received {
		c.storeWrites(commit)
	}
	c.ids = nil
	for id := range c.jobs {
		c.ids = append(c.ids, id)
	}
	c.replaceOwner(handedOver...)
}

// handOver replaces the owner by one to which it hands the shard over.
func (c *fleetHarness) handOver() {
	c.owner.BeginHandover()
	c.takeOver(c.owner.Handover(c.now))
}

// Guards against a wait for the lease of a silent worker that starts anew with each handover.
func TestLeaseOfSilentWorkerEndsDespiteHandovers(t *testing.T) {
	const job = "0000000000000001"
	// A lease lasts 7 s from the last poll that the worker answered, 2% more on a slow clock, and the margin.
	const most = 7*time.Second*102/100 + 500*time.Millisecond
	for _, handovers := range []int{0, 1, 8} {
		c := newFleetHarness(t, 3)
		c.pollTimeout = 900 * time.Millisecond
		c.run(11 * time.Second)
		c.add(workflow.Job{ID: job, Queue: "q", Steps: []workflow.Step{longRunningStep}})
		c.run(time.Second)
		c.silent = c.running[0].Worker
		began := c.now
		for range handovers {
			c.run(800 * time.Millisecond)
			c.handOver()
		}
		c.waitFor(20*time.Second, func() bool { return len(c.starts) > 1 })
		assert.Assert(t, len(c.starts) > 1, "after %d handovers the task never runs again", handovers)
		assert.Check(t, c.now.Sub(began) <= most, "after %d handovers the task runs again after %s", handovers, c.now.Sub(began))
	}
}

// Guards against a run that is started elsewhere before the lease that the last owner granted is over, and against one that is while
// its worker answers.
func TestRunOnRecordIsKeptUntilItsLeaseIsOver(t *testing.T) {
	const job = "0000000000000001"
	for _, silence := range []time.Duration{0, 4 * time.Second} {
		c := newFleetHarness(t, 3)
		c.pollTimeout = 900 * time.Millisecond
		c.run(11 * time.Second)
		c.add(workflow.Job{ID: job, Queue: "q", Steps: []workflow.Step{longRunningStep}})
		c.run(3 * time.Second)
		silent := c.running[0].Worker
		c.silent = silent
		c.handOver()
		c.run(silence)
		c.silent = ""
		c.run(10 * time.Second)
		assert.Equal(t, len(c.starts), 1, "silent for %s", silence)
		assert.Equal(t, c.workersOf(job)[silent], 1)
	}
}

// Guards against a task that waits for the lease of a worker to which its start was never sent, since the owner was replaced between
// the record and the start.
func TestUnsentStartIsSentByNextOwner(t *testing.T) {
	const busy, planned = "0000000000000001", "0000000000000002"
	for _, silent := range []string{"", "a0", "b1"} {
		c := newFleetHarness(t, 2)
		c.pollTimeout = 900 * time.Millisecond
		c.run(11 * time.Second)
		two := smallStep
		two.Count, two.PerWorker = 2, 1
		c.add(workflow.Job{ID: busy, Queue: "q", Steps: []workflow.Step{two}})
		c.run(time.Second)
		c.store.answerTime = func() time.Duration { return time.Hour }
		c.add(workflow.Job{ID: planned, Queue: "q", Steps: []workflow.Step{longRunningStep}})
		c.run(200 * time.Millisecond)
		c.store = commitStore{received: c.store.received}
		c.silent = silent
		c.handOver()
		assert.Equal(t, len(c.workersOf(planned)), 0)
		started := c.waitFor(20*time.Second, func() bool { return len(c.workersOf(planned)) > 0 })
		// Two polls without an answer, 0.9 s each, show that a worker is silent.
		assert.Check(t, started <= 2500*time.Millisecond, "silent worker %q: the task runs after %s", silent, started)
		if silent == "" {
			assert.Check(t, started <= 100*time.Millisecond, "the task runs after %s", started)
			assert.Check(t, is.Equal(c.starts[len(c.starts)-1].Run, 1))
		}
	}
}

// Guards against runs that end with their draining worker, so that their tasks wait for its lease, because each new owner counts the
// time until the worker leaves from its takeover.
func TestRunsLeaveDrainingWorkerInTimeDespiteHandovers(t *testing.T) {
	const job = "0000000000000001"
	const remaining = 3 * time.Second
	c := newFleetHarness(t, 2)
	c.run(11 * time.Second)
	c.add(workflow.Job{ID: job, Queue: "q", Steps: []workflow.Step{smallStep}})
	c.run(time.Second)
	w := c.worker(c.running[0].Worker)
	w.Draining, w.Remaining = true, remaining
	c.register()
	began := c.now
	for c.now.Sub(began) < remaining {
		c.run(600 * time.Millisecond)
		c.handOver()
		if c.workersOf(job)[w.ID] == 0 {
			return
		}
	}
	t.Errorf("the run is still on the worker when it may leave")
}

// Guards against a further record, and the wait for it, before a recorded start is sent again that the last owner could not deliver. In
// a series of takeovers the start would be planned anew by each owner.
func TestRecordedStartIsSentAgainWithoutFurtherRecord(t *testing.T) {
	const job = "0000000000000001"
	c := newFleetHarness(t, 1)
	c.pollTimeout = 900 * time.Millisecond
	c.run(11 * time.Second)
	c.store.answerTime = func() time.Duration { return 50 * time.Millisecond }
	c.add(workflow.Job{ID: job, Queue: "q", Steps: []workflow.Step{longRunningStep}})
	c.waitFor(time.Second, func() bool { return len(c.store.received) > 0 })
	c.silent = "a0"
	c.run(200 * time.Millisecond) // the start gets no answer
	commits := len(c.store.received)
	c.silent = ""
	c.takeOver()
	c.store.answerTime = func() time.Duration { return time.Hour }
	c.run(100 * time.Millisecond)
	assert.Equal(t, c.workersOf(job)["a0"], 1, "the task runs")
	assert.Equal(t, c.starts[0].Run, 1)
	assert.Equal(t, len(c.store.received), commits)
}

// Guards against the start of an interrupted task behind those of tasks that never ran: an owner without processor time to spare sends
// them over a second.
func TestStartsOfInterruptedTasksAreSentFirst(t *testing.T) {
	const failed, other = "0000000000000001", "0000000000000002"
	c := newFleetHarness(t, 3)
	c.run(11 * time.Second)
	c.add(workflow.Job{ID: failed, Queue: "q", Steps: []workflow.Step{longRunningStep}})
	c.run(time.Second)
	c.store.answerTime = func() time.Duration { return 500 * time.Millisecond }
	c.add(workflow.Job{ID: other, Queue: "q", Steps: []workflow.Step{smallStep}})
	c.run(100 * time.Millisecond) // what follows waits for this commit, and is in the next one
	c.endRunsWhere(func(shard.Start) shard.EndCause { return shard.EndFailed })
	for i := range 8 {
		c.add(workflow.Job{ID: fmt.Sprintf("%016x", 3+i), Queue: "q", Steps: []workflow.Step{smallStep}})
	}
	c.waitFor(2*time.Second, func() bool { return len(c.starts) > 2 })
	sent := c.starts[2:]
	assert.Equal(t, len(sent), 9)
	assert.Equal(t, sent[0].Job, failed)
}

// Guards against runs that end because each owner of a series polls the same workers first and is replaced before it gets to the others.
func TestFirstPollsGoToWorkersWhoseLeasesEndFirst(t *testing.T) {
	const workers = 40
	c := newFleetHarness(t, workers)
	c.run(11 * time.Second)
	step := longRunningStep
	step.Count, step.PerWorker = workers, 1
	c.add(workflow.Job{ID: "0000000000000001", Queue: "q", Steps: []workflow.Step{step}})
	c.run(time.Second)
	assert.Equal(t, len(c.running), workers)
	c.owner.BeginHandover()
	h := c.owner.Handover(c.now)
	for i := range h.Workers {
		h.Workers[i].Left = time.Duration(workers-i) * 100 * time.Millisecond
	}
	c.replaceOwner(h)
	first := map[string]bool{}
	for _, p := range c.owner.Step(c.now).Polls {
		first[p.Worker] = true
	}
	assert.Assert(t, len(first) > 0 && len(first) < workers/2, "%d first polls", len(first))
	for i, w := range h.Workers {
		assert.Check(t, is.Equal(first[w.ID], i >= workers-len(first)), "worker %s with %s left", w.ID, w.Left)
	}
}

// Guards against interrupted tasks that wait for longer in a series of handovers, since each owner waits anew until it stops short runs
// for them.
func TestWaitOfInterruptedTaskGoesOnOverHandovers(t *testing.T) {
	const interrupted, short = "1000000000000000", "2000000000000000"
	// An owner stops short runs after 2 s; a handover and the record of the next run follow.
	const most = 3 * time.Second
	for _, handovers := range []int{0, 8} {
		c := newFleetHarness(t, 2)
		c.config = shrinkingConfig
		c.owner.SetConfig(c.config)
		c.worker("b1").Draining = true
		c.register()
		c.add(workflow.Job{ID: short, Queue: "low", Steps: []workflow.Step{
			{Count: 2, Resources: fleet.Resources{CPUMilli: 4000, MemoryMiB: 10}, Estimate: time.Minute},
		}})
		c.run(time.Second)
		c.worker("b1").Draining = false
		c.register()
		c.addLasting(interrupted, 5000)
		c.run(time.Second)
		assert.DeepEqual(t, c.workersOf(interrupted), map[string]int{"b1": 1})
		c.worker("b1").Draining, c.worker("b1").Remaining = true, time.Minute
		c.register()
		c.waitFor(time.Second, func() bool { return len(c.workersOf(interrupted)) == 0 })
		began := c.now
		for range handovers {
			c.run(800 * time.Millisecond)
			c.handOver()
		}
		c.waitFor(20*time.Second, func() bool { return len(c.workersOf(interrupted)) > 0 })
		first := c.starts[len(c.starts)-1]
		for _, s := range c.starts {
			if s.Job == interrupted && s.Run > 1 {
				first = s
				break
			}
		}
		assert.Equal(t, first.Job, interrupted, "after %d handovers", handovers)
		waited := c.startedAt[c.name(first)].Sub(began)
		assert.Check(t, waited <= most, "with %d handovers the task waits for %s", handovers, waited)
	}
}

// addLasting adds a job with one long-running task.
func (c *fleetHarness) addLasting(id string, cpuMilli int64) {
	c.add(workflow.Job{ID: id, Queue: "q", Steps: []workflow.Step{
		{Count: 1, Resources: fleet.Resources{CPUMilli: cpuMilli, MemoryMiB: 10}, LongRunning: true},
	}})
}

// Guards against an owner that takes itself for replaced, and never acts again, because a worker that left the registry and came back
// knows the token that was raised for it before.
func TestWorkerThatComesBackGetsOrdersWithItsRaisedToken(t *testing.T) {
	const first, second = "0000000000000001", "0000000000000002"
	c := newFleetHarness(t, 1)
	c.pollTimeout = 900 * time.Millisecond
	c.run(11 * time.Second)
	c.add(workflow.Job{ID: first, Queue: "q", Steps: []workflow.Step{longRunningStep}})
	c.run(time.Second)
	c.silent = "a0"
	c.run(9 * time.Second) // the lease is over, and the token is raised
	c.silent = ""
	c.run(2 * time.Second)
	assert.Equal(t, len(c.starts), 2)
	raised := c.starts[1].Token
	assert.Assert(t, raised > c.starts[0].Token)
	c.owner.Cancel(c.now, first)
	c.run(time.Second)
	f := c.workers[0]
	f.down = true
	c.run(9 * time.Second)
	c.register()
	f.down = false
	c.register()
	c.add(workflow.Job{ID: second, Queue: "q", Steps: []workflow.Step{longRunningStep}})
	c.run(2 * time.Second)
	assert.Equal(t, len(c.starts), 3)
	assert.Assert(t, c.starts[2].Token >= raised, "token %d after %d", c.starts[2].Token, raised)
}
