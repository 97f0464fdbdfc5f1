package shard_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/laburnumridge/laburnumridge/internal/fleet"
	"github.com/laburnumridge/laburnumridge/internal/shard"
	"github.com/laburnumridge/laburnumridge/internal/workflow"
)

// fleetHarness drives an owner and several workers whose runs end when the test says so.
type fleetHarness struct {
	*simulation
	// endCause returns the cause with which a run ends now, or "" if it continues.
	endCause func(s shard.Start) shard.EndCause
	// measurement returns what the worker reports for a run: the tail latency in milliseconds for a long-running task,
	// otherwise the CPU use in millicores.
	measurement func(s shard.Start) float64
	// starts holds all starts, running those whose runs have not ended.
	starts, running []shard.Start
	endedByWorker   map[string][]shard.EndRow
	// stopTime is how long a run goes on after its stop is confirmed.
	stopTime time.Duration
	// store answers the commits; by default at once.
	store commitStore
	// lastEndNumber is the number of the last end on each worker.
	lastEndNumber map[string]int64
	startedAt     map[string]time.Time
	// listedAt is when each worker listed each of its ends first, by the number of the end. An end is removed once it is
	// acknowledged, and longestUnacknowledged is the longest time that this took.
	listedAt              map[string]map[int64]time.Time
	longestUnacknowledged time.Duration
	// endsListed counts the ends in all listings.
	endsListed int
	// silent is a worker that answers neither polls nor starts. The owner learns that a poll got no answer after pollTimeout.
	silent string
	// lostJob is a job whose starts are not carried out and get no response.
	lostJob     string
	pollTimeout time.Duration
	// polls counts the polls by worker, and voidedEnds the acknowledged ends before which the lease of their worker expired.
	polls      map[string]int
	voidedEnds int
	// refusedTickets counts the starts that are refused since their ticket is not valid.
	refusedTickets int
	wakeTimer
}

func newFleetHarness(t *testing.T, workers int) *fleetHarness {
	t.Helper()
	return &fleetHarness{
		simulation: newSimulation(t, 1, workers), endedByWorker: map[string][]shard.EndRow{}, lastEndNumber: map[string]int64{},
		startedAt: map[string]time.Time{}, listedAt: map[string]map[int64]time.Time{}, measurement: func(shard.Start) float64 { return 1000 },
		endCause: func(shard.Start) shard.EndCause { return "" }, polls: map[string]int{},
	}
}

func (c *fleetHarness) name(s shard.Start) string { return s.Key.Name(s.Job) + "@" + s.Worker }

func (c *fleetHarness) age(s shard.Start) time.Duration { return c.now.Sub(c.startedAt[c.name(s)]) }

func (c *fleetHarness) recordEnd(s shard.Start, cause shard.EndCause) {
	c.lastEndNumber[s.Worker]++
	c.endedByWorker[s.Worker] = append(c.endedByWorker[s.Worker], shard.EndRow{
		Number: c.lastEndNumber[s.Worker], Job: s.Job, Key: s.Key, Run: s.Run, Cause: cause,
	})
}

func (c *fleetHarness) step() {
	c.now = c.now.Add(simulationStep)
	for _, f := range c.workers {
		if c.clock(f) > f.leaseEnd {
			f.lastEndBeforeExpiry = c.lastEndNumber[f.ID]
		}
	}
	c.deliver()
	var a shard.Actions
	if c.isDue(c.now) {
		a = c.owner.Step(c.now)
		c.wakeTimer.set(a)
	}
	answered := c.store.answered
	c.store.step(c.simulation, a.Commit)
	c.hasEvent = c.hasEvent || c.store.answered > answered
	for _, advise := range a.AdviceRequests {
		c.advise(advise)
	}
	for _, s := range a.Starts {
		if s.Worker == c.silent || s.Job == c.lostJob {
			c.owner.Started(c.now, s, shard.Reply{Outcome: shard.OutcomeUnknown})
			continue
		}
		if c.jobs[s.Job].Queue == "advised" && !c.hasTicket(c.worker(s.Worker), s) {
			c.refusedTickets++
			c.owner.Started(c.now, s, shard.Reply{Outcome: shard.OutcomeNoTicket, Clock: c.clock(c.worker(s.Worker))})
			continue
		}
		c.starts, c.running = append(c.starts, s), append(c.running, s)
		c.startedAt[c.name(s)] = c.now
		c.renew(c.worker(s.Worker), s.Until)
		c.owner.Started(c.now, s, shard.Reply{Outcome: shard.OutcomeDone, Clock: c.clock(c.worker(s.Worker))})
	}
	for _, s := range a.Stops {
		if c.stopTime > 0 {
			c.calls = append(c.calls, &call{deliverAt: c.now.Add(c.stopTime), onTimer: func(bool) { c.endStopped(s) }})
		} else {
			c.endStopped(s)
		}
		c.owner.Stopped(c.now, s, shard.Reply{Outcome: shard.OutcomeDone})
	}
	for _, p := range a.Paces {
		c.owner.Paced(c.now, p, shard.Reply{Outcome: shard.OutcomeDone})
	}
	c.endRunsWhere(c.endCause)
	for _, poll := range a.Polls {
		c.polls[poll.Worker]++
		if poll.Worker == c.silent {
			c.calls = append(c.calls, &call{deliverAt: c.now.Add(c.pollTimeout), onTimer: func(bool) {
				c.owner.PollFailed(c.now, poll, shard.OutcomeUnknown)
			}})
			continue
		}
		f := c.worker(poll.Worker)
		c.renew(f, poll.Until)
		c.acknowledge(poll)
		if c.stepsOnWake && len(c.endedByWorker[poll.Worker]) == 0 {
			c.longPolls = append(c.longPolls, longPoll{Poll: poll, sent: c.now})
			continue
		}
		c.answer(poll, c.now)
	}
	c.answerLongPolls()
	c.deliver()
}

// answer answers a poll that was sent at sent.
func (c *fleetHarness) answer(poll shard.Poll, sent time.Time) {
	f := c.worker(poll.Worker)
	list := shard.Listing{Born: f.incarnation, Clock: c.clock(f), Ended: c.endedByWorker[poll.Worker]}
	for _, s := range c.running {
		if s.Worker == poll.Worker {
			list.Running = append(list.Running, shard.RunningRow{Job: s.Job, Key: s.Key, Run: s.Run, Percent: 100, Measurement: c.measurement(s)})
		}
	}
	c.list(poll.Worker, list.Ended)
	c.owner.Polled(c.now, poll, sent, list)
}

// endStopped ends a run that was ordered to stop.
func (c *fleetHarness) endStopped(s shard.Stop) {
	c.endRunsWhere(func(r shard.Start) shard.EndCause {
		if r.Worker == s.Worker && r.Job == s.Job && r.Key == s.Key && r.Run == s.Run {
			return shard.EndStopped
		}
		return ""
	})
}

// endRunsWhere ends the runs for which endCause returns a cause.
func (c *fleetHarness) endRunsWhere(endCause func(shard.Start) shard.EndCause) {
	var left []shard.Start
	for _, s := range c.running {
		if cause := endCause(s); cause != "" {
			c.recordEnd(s, cause)
		} else {
			left = append(left, s)
		}
	}
	c.running = left
}

func (c *fleetHarness) run(d time.Duration) {
	for end := c.now.Add(d); c.now.Before(end); {
		c.step()
	}
}

func (c *fleetHarness) workersOf(job string) map[string]int {
	out := map[string]int{}
	for _, s := range c.running {
		if s.Job == job {
			out[s.Worker]++
		}
	}
	return out
}

// Guards against serving tasks that stay on a worker which is stalled but still answers polls.
func TestServingTaskIsMovedOffStalledWorker(t *testing.T) {
	c := newFleetHarness(t, 2)
	const job = "0000000000000001"
	stalled := ""
	c.measurement = func(s shard.Start) float64 {
		if s.Worker == stalled {
			return 2000
		}
		return 7
	}
	c.owner.Add(c.now, workflow.Job{ID: job, Queue: "q", Steps: []workflow.Step{{
		Count: 1, Resources: fleet.Resources{CPUMilli: 1000, MemoryMiB: 10}, LongRunning: true,
		TailTarget: 18 * time.Millisecond, Image: "s",
	}}})
	c.run(2 * time.Second)
	for w := range c.workersOf(job) {
		stalled = w
	}
	assert.Assert(t, stalled != "", "the task runs")
	c.run(3 * time.Second)
	assert.Equal(t, c.workersOf(job)[stalled], 0, "the task has left worker %s", stalled)
	assert.Equal(t, len(c.workersOf(job)), 1, "the task runs elsewhere")
}

// Guards against steps that wait forever for a run on a hung worker that shows no other symptom.
func TestHungRunIsReplaced(t *testing.T) {
	for _, speculative := range []bool{false, true} {
		c := newFleetHarness(t, 3)
		const job = "0000000000000001"
		hung := ""
		c.endCause = func(s shard.Start) shard.EndCause {
			if s.Worker != hung && c.age(s) > 500*time.Millisecond {
				return shard.EndDone
			}
			return ""
		}
		c.owner.Add(c.now, workflow.Job{ID: job, Queue: "q", Steps: []workflow.Step{{
			Count: 6, PerWorker: 2, Resources: fleet.Resources{CPUMilli: 1000, MemoryMiB: 10},
			Estimate: 10 * time.Second, Speculative: speculative,
		}}})
		for len(c.starts) == 0 {
			c.step()
		}
		hung = c.starts[0].Worker
		c.run(4 * time.Second)
		s, ok := c.owner.State(job)
		assert.Assert(t, ok)
		assert.Equal(t, s, workflow.StateCompleted, "speculative %t", speculative)
	}
}

// Guards against copies of runs that are only slightly slower than their siblings.
func TestSlightlySlowerRunIsNotCopied(t *testing.T) {
	c := newFleetHarness(t, 3)
	const job = "0000000000000001"
	c.endCause = func(s shard.Start) shard.EndCause {
		if c.age(s) > time.Duration(800+80*s.Key.Index)*time.Millisecond {
			return shard.EndDone
		}
		return ""
	}
	c.owner.Add(c.now, workflow.Job{ID: job, Queue: "q", Steps: []workflow.Step{{
		Count: 6, Resources: fleet.Resources{CPUMilli: 1000, MemoryMiB: 10}, Estimate: time.Second, Speculative: true,
	}}})
	c.run(3 * time.Second)
	s, _ := c.owner.State(job)
	assert.Equal(t, s, workflow.StateCompleted)
	assert.Equal(t, len(c.starts), 6)
}
