package shard_test

import (
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/sirupsen/logrus/hooks/test"
	"gotest.tools/v3/assert"

	"github.com/laburnumridge/laburnumridge/internal/fleet"
	"github.com/laburnumridge/laburnumridge/internal/shard"
	"github.com/laburnumridge/laburnumridge/internal/workflow"
)

// shrinkingFleet is a shard with long-running and short tasks, half of whose workers drain.
type shrinkingFleet struct {
	*fleetHarness
	// interruptedAt is when the last run of each long-running task without a run has ended.
	interruptedAt map[string]time.Time
	interruptions int
	// longestWait is the longest time for which a long-running task had no run.
	longestWait time.Duration
}

const (
	longPrefix  = "1"
	shortPrefix = "2"
	// maxInterruption is the longest time for which a long-running task may have no run while there is room for it twice over.
	maxInterruption = 9 * time.Second
)

// shrinkingConfig has a queue with a less urgent priority than "q".
var shrinkingConfig = workflow.NewConfig(1, []workflow.Queue{
	{Name: "q", Service: "s", Host: "h", Prefix: "/", MaxAttempts: 3, Stretch: 2, TargetLatency: time.Second},
	{Name: "low", Service: "s", Host: "h", Prefix: "/l", MaxAttempts: 3, Stretch: 2, TargetLatency: time.Second, Priority: 2},
}, nil, workflow.Limits{})

// newShrinkingFleet returns a shard of 40 workers. Its long-running tasks use two fifths of the CPU, and short ones the rest.
func newShrinkingFleet(t *testing.T) *shrinkingFleet {
	t.Helper()
	f := &shrinkingFleet{fleetHarness: newFleetHarness(t, 40), interruptedAt: map[string]time.Time{}}
	f.config = shrinkingConfig
	f.owner.SetConfig(f.config)
	for i := range 8 {
		f.add(workflow.Job{ID: fmt.Sprintf(longPrefix+"%015x", i), Queue: "q", Steps: []workflow.Step{
			{Count: 8, Resources: fleet.Resources{CPUMilli: 2000, MemoryMiB: 100}, LongRunning: true},
		}})
	}
	f.run(time.Second)
	assert.Equal(t, len(f.running), 64)
	return f
}

// runWith runs the fleet for some time while a short job arrives each quarter of a second.
func (f *shrinkingFleet) runWith(d time.Duration, short workflow.Job) {
	for end := f.now.Add(d); f.now.Before(end); {
		short.ID = fmt.Sprintf(shortPrefix+"%015x", len(f.jobs))
		f.add(short)
		for range 25 {
			f.step()
			f.observe()
		}
	}
}

func (f *shrinkingFleet) observe() {
	runs := map[string]bool{}
	for _, s := range f.running {
		runs[s.Key.Name(s.Job)] = true
	}
	for i := range 8 {
		for k := range 8 {
			name := workflow.TaskKey{Index: k}.Name(fmt.Sprintf(longPrefix+"%015x", i))
			at, waits := f.interruptedAt[name]
			switch {
			case runs[name]:
				delete(f.interruptedAt, name)
			case !waits:
				f.interruptedAt[name] = f.now
				f.interruptions++
			default:
				f.longestWait = max(f.longestWait, f.now.Sub(at))
			}
		}
	}
}

// drainHalf drains every second worker.
func (f *shrinkingFleet) drainHalf() {
	for i, w := range f.workers {
		if i%2 == 0 {
			w.Draining, w.Remaining = true, 60*time.Second
		}
	}
	f.register()
}

// Guards against long-running tasks that wait behind short ones for the room of a fleet that shrank. The workers that stay have room
// for all long-running tasks, and short tasks of another priority or with checkpoints use it.
func TestInterruptedTasksGetTheRoomOfShrunkFleet(t *testing.T) {
	for _, c := range []struct {
		queue    string
		duration time.Duration
		saves    bool
	}{{"q", 700 * time.Millisecond, false}, {"low", 5 * time.Second, false}, {"low", 30 * time.Second, false}, {"q", 30 * time.Second, true}} {
		t.Run(fmt.Sprintf("%s/%s/%t", c.queue, c.duration, c.saves), func(t *testing.T) {
			f := newShrinkingFleet(t)
			f.endCause = func(s shard.Start) shard.EndCause {
				if s.Job[:1] == shortPrefix && f.age(s) > c.duration {
					return shard.EndDone
				}
				return ""
			}
			short := workflow.Job{Queue: c.queue, Steps: []workflow.Step{{
				Count: 12, Resources: fleet.Resources{CPUMilli: 1500, MemoryMiB: 100}, Estimate: c.duration, SavesProgress: c.saves,
			}}}
			hook := test.NewLocal(f.log)
			f.runWith(5*time.Second, short)
			f.drainHalf()
			f.runWith(25*time.Second, short)
			stopped := 0
			for _, e := range hook.AllEntries() {
				if e.Data["decision"] == "evict" {
					stopped += e.Data["runs"].(int)
				}
			}
			t.Logf("%d interruptions, the longest %s; %d short runs stopped", f.interruptions, f.longestWait, stopped)
			assert.Check(t, f.interruptions > 20)
			assert.Check(t, f.longestWait <= maxInterruption)
			assert.Equal(t, len(f.interruptedAt), 0, "tasks still wait")
			// A long-running task needs the room of two short ones at most.
			assert.Check(t, stopped <= 2*f.interruptions, "%d short runs were stopped", stopped)
		})
	}
}

// Guards against the stop of runs whose work would be lost, or that are more urgent than the interrupted task.
func TestInterruptedTaskStopsNoExpensiveRuns(t *testing.T) {
	for _, c := range []struct {
		name, longQueue, shortQueue string
		short                       workflow.Step
	}{
		{"same priority without checkpoints", "q", "q", workflow.Step{}},
		{"more urgent", "low", "q", workflow.Step{SavesProgress: true}},
		{"long-running", "q", "low", workflow.Step{LongRunning: true}},
		{"gang", "q", "low", workflow.Step{Gang: true}},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFleetHarness(t, 2)
			f.config = shrinkingConfig
			f.owner.SetConfig(f.config)
			f.worker("b1").Draining = true
			f.register()
			const interrupted, other = "1000000000000000", "2000000000000000"
			c.short.Count, c.short.Resources = 2, fleet.Resources{CPUMilli: 4000, MemoryMiB: 10}
			f.add(workflow.Job{ID: other, Queue: c.shortQueue, Steps: []workflow.Step{c.short}})
			f.run(time.Second)
			f.worker("b1").Draining = false
			f.register()
			f.add(workflow.Job{ID: interrupted, Queue: c.longQueue, Steps: []workflow.Step{
				{Count: 1, Resources: fleet.Resources{CPUMilli: 8000, MemoryMiB: 10}, LongRunning: true},
			}})
			f.run(time.Second)
			assert.DeepEqual(t, f.workersOf(interrupted), map[string]int{"b1": 1})
			f.worker("b1").Draining, f.worker("b1").Remaining = true, time.Minute
			f.register()
			f.run(10 * time.Second)
			assert.DeepEqual(t, f.workersOf(other), map[string]int{"a0": 2})
			assert.Equal(t, len(f.starts), 3, "no run was stopped and started again")
		})
	}
}

// Guards against more stops than the room of the interrupted task needs, and against stops of runs that lose more work than others.
func TestInterruptedTaskStopsCheapestRuns(t *testing.T) {
	f := newFleetHarness(t, 2)
	f.config = shrinkingConfig
	f.owner.SetConfig(f.config)
	f.worker("b1").Draining = true
	f.register()
	const interrupted, early, saving, late = "1000000000000000", "2000000000000000", "3000000000000000", "4000000000000000"
	add := func(id string, saves bool) {
		f.add(workflow.Job{ID: id, Queue: "low", Steps: []workflow.Step{
			{Count: 1, Resources: fleet.Resources{CPUMilli: 2500, MemoryMiB: 10}, SavesProgress: saves},
		}})
		f.run(time.Second)
	}
	add(early, false)
	add(saving, true)
	add(late, false)
	f.worker("b1").Draining = false
	f.register()
	f.add(workflow.Job{ID: interrupted, Queue: "q", Steps: []workflow.Step{
		{Count: 1, Resources: fleet.Resources{CPUMilli: 5000, MemoryMiB: 10}, LongRunning: true},
	}})
	f.run(time.Second)
	f.worker("b1").Draining, f.worker("b1").Remaining = true, time.Minute
	f.register()
	f.run(5 * time.Second)
	assert.DeepEqual(t, f.workersOf(interrupted), map[string]int{"a0": 1})
	assert.DeepEqual(t, f.workersOf(early), map[string]int{"a0": 1})
	assert.Equal(t, len(f.workersOf(saving))+len(f.workersOf(late)), 0)
}

// submitTo accepts a job with one step.
func (sim *simulation) submitTo(queue string, steps ...workflow.Step) {
	j := workflow.Job{ID: fmt.Sprintf("%016x", len(sim.ids)), Queue: queue, AcceptedAt: sim.now.UnixMilli(), Steps: steps}
	sim.jobs[j.ID], sim.ids = j, append(sim.ids, j.ID)
	sim.owner.Add(sim.now, j)
}

// Guards against tasks that run twice, workers loaded beyond their capacity and lost jobs while short runs are stopped for interrupted
// tasks, under the faults of TestGuaranteesHoldUnderRandomFaults.
func TestGuaranteesHoldWhileRunsAreEvicted(t *testing.T) {
	var evictions atomic.Int64
	t.Run("seeds", func(t *testing.T) {
		for i := range 40 {
			t.Run(fmt.Sprint("seed ", i), func(t *testing.T) {
				t.Parallel()
				evictions.Add(int64(runWithEvictions(t, *firstSeed+uint64(i))))
			})
		}
	})
	t.Logf("%d evictions", evictions.Load())
	assert.Check(t, evictions.Load() >= 40, "too few evictions to show anything")
}

// runWithEvictions runs a simulation with faults, in which workers drain in turn, and returns the number of evictions.
func runWithEvictions(t *testing.T, seed uint64) int {
	t.Helper()
	sim := newSimulation(t, seed, 6)
	sim.config = shrinkingConfig
	sim.owner.SetConfig(sim.config)
	for range 3 {
		sim.submitTo("q", workflow.Step{Count: 5, Resources: fleet.Resources{CPUMilli: 2000, MemoryMiB: 100}, LongRunning: true})
	}
	evictions := 0
	for k := range 6000 {
		if sim.random.IntN(90) == 0 {
			sim.submitTo([]string{"q", "low"}[sim.random.IntN(2)], workflow.Step{
				Count: 1 + sim.random.IntN(6), Estimate: 5 * time.Second, SavesProgress: sim.random.IntN(3) > 0,
				Resources: fleet.Resources{CPUMilli: int64(500 + sim.random.IntN(3000)), MemoryMiB: 100},
			})
		}
		if k%300 == 299 {
			f := sim.workers[sim.random.IntN(len(sim.workers))]
			f.Draining, f.Remaining = !f.Draining, 20*time.Second
			sim.register()
		}
		sim.injectFault()
		hook := test.NewLocal(sim.log)
		sim.step()
		for _, e := range hook.AllEntries() {
			if e.Data["decision"] == "evict" {
				evictions++
			}
		}
		sim.log.ReplaceHooks(logrus.LevelHooks{})
	}
	for _, id := range sim.ids[:3] {
		sim.cancelled[id] = true
		sim.owner.Cancel(sim.now, id)
	}
	for _, f := range sim.workers {
		f.Draining = false
	}
	sim.drainWithoutFaults()
	for _, id := range sim.ids {
		assert.Check(t, sim.final[id] != "", "job %s has no final state", id)
	}
	return evictions
}
