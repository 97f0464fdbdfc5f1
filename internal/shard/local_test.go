package shard_test

import (
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus/hooks/test"
	"gotest.tools/v3/assert"

	"github.com/laburnumridge/laburnumridge/internal/fleet"
	"github.com/laburnumridge/laburnumridge/internal/shard"
	"github.com/laburnumridge/laburnumridge/internal/workflow"
)

const fullRackJob, localJob, otherJob = "0000000000000001", "0000000000000002", "0000000000000003"

// twoCores is a step whose local tasks take a second. The job of such a step has to end within 3 s: the queue has a stretch of 2 and a target
// latency of 1 s.
var twoCores = workflow.Step{Count: 4, Estimate: time.Second, Resources: fleet.Resources{CPUMilli: 2000, MemoryMiB: 10}}

func (c *fleetHarness) isRemote(s shard.Start) bool {
	rack := c.jobs[s.Job].Steps[s.Key.Step].Rack
	return rack != "" && c.worker(s.Worker).Rack != rack
}

// newLocalHarness returns a harness with workers of 8 cores, a0 and b1 in rack r of zone z, the others in rack r2 of zone y, on which tasks
// take their estimate, or the remote factor as long.
func newLocalHarness(t *testing.T, workers int, factor float64) *fleetHarness {
	t.Helper()
	c := newFleetHarness(t, workers)
	for _, f := range c.workers[2:] {
		f.Zone, f.Rack = "y", "r2"
	}
	c.remoteFactor = factor
	c.replaceOwner()
	c.endCause = func(s shard.Start) shard.EndCause {
		step, takes := c.jobs[s.Job].Steps[s.Key.Step], 1.0
		if c.isRemote(s) {
			takes = factor
		}
		if step.LongRunning || float64(c.age(s)) < takes*float64(step.Estimate) {
			return ""
		}
		return shard.EndDone
	}
	c.run(time.Second)
	return c
}

func inRack(s workflow.Step, rack string, count int) []workflow.Step {
	s.Rack, s.Count = rack, count
	return []workflow.Step{s}
}

// startsOf returns the number of a job's starts, and of those that are remote.
func (c *fleetHarness) startsOf(job string) (all, remote int) {
	for _, s := range c.starts {
		if s.Job == job {
			all++
			if c.isRemote(s) {
				remote++
			}
		}
	}
	return all, remote
}

// fillRack fills the rack r with runs of a step, and goes on for a time.
func (c *fleetHarness) fillRack(step workflow.Step, d time.Duration) {
	c.add(workflow.Job{ID: fullRackJob, Queue: "q", Steps: inRack(step, "r", 8)})
	c.run(d)
	all, remote := c.startsOf(fullRackJob)
	assert.Equal(c.t, all, 8)
	assert.Equal(c.t, remote, 0)
}

// localReasons returns the reasons of the decisions on a job since the hook was set.
func localReasons(hook *test.Hook, job string) (reasons []string) {
	for _, e := range hook.AllEntries() {
		if e.Data["decision"] == "local_wait" && e.Data["job"] == job {
			reasons = append(reasons, e.Data["reason"].(string))
		}
	}
	return reasons
}

// Guards, for a rack whose runs are about to end, against tasks that take twice as long elsewhere although room near their data is due, and
// against a wait that holds back other jobs.
func TestTasksWaitForRackThatIsAboutToBeFree(t *testing.T) {
	c := newLocalHarness(t, 4, 2)
	c.fillRack(twoCores, 800*time.Millisecond)
	hook := test.NewLocal(c.log)
	c.add(workflow.Job{ID: localJob, Queue: "q", Steps: inRack(twoCores, "r", 6)})
	c.add(workflow.Job{ID: otherJob, Queue: "q", Steps: inRack(twoCores, "", 8)})
	c.run(150 * time.Millisecond)
	all, _ := c.startsOf(otherJob)
	assert.Equal(t, all, 8, "tasks that need no rack use the room elsewhere")
	c.run(450 * time.Millisecond)
	all, remote := c.startsOf(localJob)
	assert.Equal(t, all, 6)
	assert.Equal(t, remote, 0)
	assert.DeepEqual(t, c.localWaits, map[string]int{"begun": 6, "local": 6})
	assert.DeepEqual(t, localReasons(hook, localJob), []string{"wait_pays"})
}

// Guards against waits that gain nothing, whatever the reason: the tasks must start elsewhere as soon as without any wait.
func TestTasksGoElsewhereAtOnceIfWaitDoesNotPay(t *testing.T) {
	long := twoCores
	long.LongRunning, long.Estimate = true, 0
	unknown := twoCores
	unknown.Estimate = 0
	slow := twoCores
	slow.Estimate = 20 * time.Second
	for name, k := range map[string]struct {
		filling, step workflow.Step
		filledFor     time.Duration
		acceptedFor   time.Duration
		factor        float64
		before        func(c *fleetHarness)
		reasons       []string
	}{
		"rack full of long-running tasks":   {filling: long, step: twoCores, factor: 2, reasons: []string{"wait_too_long"}},
		"rack full of runs that last":       {filling: slow, step: twoCores, factor: 2, reasons: []string{"wait_too_long"}},
		"no remote factor":                  {filling: twoCores, step: twoCores, factor: 1, filledFor: 300 * time.Millisecond},
		"duration not known":                {filling: twoCores, step: unknown, factor: 2, reasons: []string{"unknown_duration"}},
		"objective near":                    {filling: twoCores, step: twoCores, factor: 2, filledFor: 700 * time.Millisecond, acceptedFor: 700 * time.Millisecond, reasons: []string{"objective_near"}},
		"objective passed":                  {filling: twoCores, step: twoCores, factor: 2, acceptedFor: 4 * time.Second, reasons: []string{"objective_passed"}},
		"workers of the rack do not report": {filling: twoCores, step: twoCores, factor: 2, before: (*fleetHarness).silenceRack, reasons: []string{"no_forecast"}},
		"new owner": {filling: twoCores, step: twoCores, factor: 2, before: func(c *fleetHarness) {
			c.silenceRack()
			c.takeOver()
			c.run(20 * time.Millisecond)
		}, reasons: []string{"no_forecast"}},
		"evacuated zone": {
			filling: twoCores, step: twoCores, factor: 2, filledFor: 500 * time.Millisecond, before: func(c *fleetHarness) { c.evacuate("z") },
			reasons: []string{"no_forecast"},
		},
	} {
		t.Run(name, func(t *testing.T) {
			c := newLocalHarness(t, 4, k.factor)
			c.fillRack(k.filling, 100*time.Millisecond+k.filledFor)
			if k.before != nil {
				k.before(c)
			}
			hook := test.NewLocal(c.log)
			j := workflow.Job{ID: localJob, Queue: "q", Steps: inRack(k.step, "r", 4), AcceptedAt: c.now.Add(-k.acceptedFor).UnixMilli()}
			c.jobs[j.ID] = j
			c.owner.Add(c.now, j)
			c.run(100 * time.Millisecond)
			_, remote := c.startsOf(localJob)
			assert.Equal(t, remote, 4)
			assert.Equal(t, c.localWaits["begun"], 0)
			assert.DeepEqual(t, localReasons(hook, localJob), k.reasons)
		})
	}
}

// silenceRack makes the worker a0 answer nothing from now on. The worker b1 leaves the rack.
func (c *fleetHarness) silenceRack() {
	c.silent, c.pollTimeout = "a0", 50*time.Millisecond
	c.worker("b1").Draining = true
	c.register()
	c.run(300 * time.Millisecond)
}

// Guards against a wait beyond what it gains if the runs near the data take longer than expected, against one that outlives the evacuation of
// the zone that holds the rack, and against one that goes on after the workers stop reporting.
func TestWaitEndsWhenForecastChanges(t *testing.T) {
	for name, k := range map[string]struct {
		change func(c *fleetHarness)
		limit  time.Duration
	}{
		"runs are late":           {func(*fleetHarness) {}, 1050 * time.Millisecond},
		"zone is evacuated":       {func(c *fleetHarness) { c.evacuate("z") }, 350 * time.Millisecond},
		"workers stop reporting":  {(*fleetHarness).silenceRack, 700 * time.Millisecond},
		"owner without a listing": {func(c *fleetHarness) { c.silenceRack(); c.takeOver() }, 700 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			c := newLocalHarness(t, 4, 2)
			c.fillRack(twoCores, 850*time.Millisecond)
			c.endCause = func(shard.Start) shard.EndCause { return "" }
			c.add(workflow.Job{ID: localJob, Queue: "q", Steps: inRack(twoCores, "r", 4)})
			added := c.now
			c.run(150 * time.Millisecond)
			all, _ := c.startsOf(localJob)
			assert.Equal(t, all, 0)
			assert.Equal(t, c.localWaits["begun"], 4)
			k.change(c)
			for remote := 0; remote < 4; _, remote = c.startsOf(localJob) {
				c.step()
				assert.Assert(t, c.now.Sub(added) <= k.limit, "%d tasks run after %s", remote, c.now.Sub(added))
			}
		})
	}
}

// Guards against a less urgent job that gets the room in a rack for which a more urgent one waits as well, and against one that counts on
// that room.
func TestMoreUrgentJobGetsRoomInRackFirst(t *testing.T) {
	c := newLocalHarness(t, 6, 2)
	c.config = workflow.NewConfig(2, []workflow.Queue{
		{Name: "q", Service: "s", Host: "h", Prefix: "/", Stretch: 2, TargetLatency: time.Second},
		{Name: "batch", Priority: 2, Service: "s", Host: "h", Prefix: "/b", Stretch: 3, TargetLatency: 2 * time.Second},
	}, nil, workflow.Limits{})
	c.owner.SetConfig(c.config)
	c.fillRack(twoCores, 800*time.Millisecond)
	c.add(workflow.Job{ID: localJob, Queue: "batch", Steps: inRack(twoCores, "r", 8)})
	c.run(100 * time.Millisecond)
	all, _ := c.startsOf(localJob)
	assert.Equal(t, all, 0, "all tasks wait")
	c.add(workflow.Job{ID: otherJob, Queue: "q", Steps: inRack(twoCores, "r", 6)})
	c.run(700 * time.Millisecond)
	all, remote := c.startsOf(otherJob)
	assert.Equal(t, all, 6)
	assert.Equal(t, remote, 0)
	all, remote = c.startsOf(localJob)
	assert.Equal(t, all, 8)
	assert.Equal(t, remote, 6)
}

// Guards against a gang that is spread over racks, where all of it is slower, although a rack can hold it soon, and against one that waits for a
// rack that is full of runs that last.
func TestGangWaitsForRack(t *testing.T) {
	for _, lasts := range []bool{false, true} {
		c := newLocalHarness(t, 4, 2)
		filling := workflow.Step{Count: 4, Estimate: time.Second, PerWorker: 1, LongRunning: lasts, Resources: fleet.Resources{CPUMilli: 2000, MemoryMiB: 10}}
		c.add(workflow.Job{ID: fullRackJob, Queue: "q", Steps: []workflow.Step{filling}})
		c.run(850 * time.Millisecond)
		assert.Equal(t, len(c.running), 4)
		gang := workflow.Step{Count: 4, Gang: true, SameRack: true, Estimate: time.Second, Resources: fleet.Resources{CPUMilli: 4000, MemoryMiB: 10}}
		c.add(workflow.Job{ID: localJob, Queue: "q", Steps: []workflow.Step{gang}})
		c.run(100 * time.Millisecond)
		all, _ := c.startsOf(localJob)
		assert.Equal(t, all, map[bool]int{false: 0, true: 4}[lasts])
		c.run(500 * time.Millisecond)
		racks := map[string]int{}
		for _, s := range c.starts {
			if s.Job == localJob {
				racks[c.worker(s.Worker).Rack]++
			}
		}
		assert.Equal(t, len(racks), map[bool]int{false: 1, true: 2}[lasts], "%v", racks)
	}
}

// Guards against tasks that wait for room near their data and move to another shard, where they are as slow as elsewhere in their own.
func TestTaskThatWaitsForRackIsNotOffered(t *testing.T) {
	for _, factor := range []float64{1, 3} {
		c := newLocalHarness(t, 4, factor)
		c.owner.AllowSharedEnds(true)
		slow := twoCores
		slow.Estimate = 20 * time.Second
		c.add(workflow.Job{ID: fullRackJob, Queue: "q", Steps: inRack(slow, "r", 8)})
		c.run(16 * time.Second)
		if factor == 1 { // no room elsewhere either: the task waits without a choice
			c.add(workflow.Job{ID: otherJob, Queue: "q", Steps: inRack(slow, "", 8)})
			c.run(time.Second)
		}
		c.add(workflow.Job{ID: localJob, Queue: "q", Steps: inRack(slow, "r", 1)})
		for range 5 {
			c.run(500 * time.Millisecond)
			c.owner.ReportWaits(c.now)
		}
		all, _ := c.startsOf(localJob)
		assert.Equal(t, all, 0, "the task waits")
		assert.Equal(t, len(c.owner.Offers(c.now)) == 0, factor > 1)
	}
}

// Guards against runs away from their data that are replaced as overdue, and against the quarantine of their workers, which are healthy.
func TestRemoteRunIsNotOverdue(t *testing.T) {
	c := newLocalHarness(t, 4, 3)
	long := twoCores
	long.LongRunning = true
	c.add(workflow.Job{ID: fullRackJob, Queue: "q", Steps: inRack(long, "r", 6)})
	c.run(500 * time.Millisecond)
	c.add(workflow.Job{ID: localJob, Queue: "q", Steps: inRack(twoCores, "r", 6)})
	c.run(5 * time.Second)
	all, remote := c.startsOf(localJob)
	assert.Equal(t, all, 6)
	assert.Equal(t, remote, 4)
}

// playHotRack plays jobs of 10 tasks, 60% of which name one rack for 12 s, on racks of 8 workers. Tasks away from that rack take factor times as
// long, which the owner knows or not. It returns the jobs that ended in time, of those that name the rack and of the others, and how long jobs
// took on average.
func playHotRack(t *testing.T, workers int, factor float64, knowsFactor bool) (local, others int, mean time.Duration) {
	t.Helper()
	c := newLocalHarness(t, workers, factor)
	for i, f := range c.workers {
		f.Rack = []string{"r", "r2", "r3", "r4", "r5"}[i/8]
	}
	if !knowsFactor {
		c.remoteFactor = 1
	}
	c.replaceOwner()
	c.run(time.Second)
	endedAt, accepted := map[string]time.Time{}, map[string]time.Time{}
	done := map[string]int{}
	end := c.endCause
	c.endCause = func(s shard.Start) shard.EndCause {
		cause := end(s)
		if cause != "" {
			if done[s.Job]++; done[s.Job] == 10 {
				endedAt[s.Job] = c.now
			}
		}
		return cause
	}
	for i := range 120 {
		id, rack := fmt.Sprintf("%016x", i+16), ""
		if i%5 < 3 {
			rack = "r"
		}
		accepted[id] = c.now
		c.add(workflow.Job{ID: id, Queue: "q", Steps: inRack(twoCores, rack, 10)})
		c.run(100 * time.Millisecond)
	}
	c.run(20 * time.Second)
	total := time.Duration(0)
	for id, at := range accepted {
		ended, ok := endedAt[id]
		assert.Check(t, ok, "job %s does not end", id)
		total += ended.Sub(at)
		if ended.Sub(at) > 3*time.Second {
			continue
		}
		if c.jobs[id].Steps[0].Rack != "" {
			local++
		} else {
			others++
		}
	}
	t.Logf("%d workers, factor %g, known %v: in time %d of 72 that name the rack, %d of 48 others; %s on average; waits %v", workers, factor,
		knowsFactor, local, others, total/120, c.localWaits)
	return local, others, total / 120
}

// Guards, for a rack that 60% of the jobs name for 12 s, against waits that let fewer jobs end in time, of those that name the rack or of those
// beside them.
func TestWaitsHelpJobsOfHotRackAndThoseBeside(t *testing.T) {
	for _, workers := range []int{32, 40} {
		for _, factor := range []float64{2, 3} {
			localBefore, othersBefore, meanBefore := playHotRack(t, workers, factor, false)
			local, others, mean := playHotRack(t, workers, factor, true)
			assert.Check(t, local >= localBefore && others >= othersBefore)
			assert.Check(t, mean < meanBefore)
		}
	}
}

// Guards against tasks that run twice, workers loaded beyond their capacity, tasks lost and jobs that never end, while tasks wait for racks, under
// the faults of TestGuaranteesHoldUnderRandomFaults, and workers that fail all that they start. The simulated workers know no gangs, whose members
// end together.
func TestGuaranteesHoldWhileTasksWaitForRacks(t *testing.T) {
	var begun atomic.Int64
	t.Run("seeds", func(t *testing.T) {
		for i := range 15 {
			t.Run(fmt.Sprint("seed ", i), func(t *testing.T) {
				t.Parallel()
				sim := newSimulation(t, *firstSeed+uint64(i), 6)
				for i, f := range sim.workers {
					f.Zone, f.Rack = fmt.Sprint("z", i%2), fmt.Sprint("r", i%3)
				}
				sim.remoteFactor = 3
				sim.replaceOwner()
				for k := range 6000 {
					if k%40 == 0 {
						step := workflow.Step{
							Count: 1 + sim.random.IntN(6), Estimate: time.Duration(500+sim.random.IntN(3000)) * time.Millisecond,
							Resources: fleet.Resources{CPUMilli: int64(500 + 500*sim.random.IntN(5)), MemoryMiB: 100}, PerWorker: sim.random.IntN(3),
							SameRack: sim.random.IntN(2) == 0,
						}
						if sim.random.IntN(3) > 0 {
							step.Rack = fmt.Sprint("r", sim.random.IntN(3))
						}
						sim.submitTo("q", step)
					}
					switch sim.random.IntN(1200) {
					case 0:
						sim.evacuate("z0")
					case 1:
						sim.evacuate()
					}
					if k%400 == 0 {
						sim.workers[sim.random.IntN(len(sim.workers))].failsUntil = sim.now.Add(4 * time.Second)
					}
					sim.injectFault()
					sim.step()
				}
				sim.evacuate()
				sim.drainWithoutFaults()
				for _, id := range sim.ids {
					assert.Check(t, sim.final[id] != "", "job %s has no final state", id)
				}
				begun.Add(int64(sim.localWaits["begun"]))
			})
		}
	})
	t.Logf("%d waits", begun.Load())
	assert.Check(t, begun.Load() >= 150, "too few tasks waited to show anything")
}

// Guards against rounds of placement that take an owner's processor time while many tasks wait for one rack, in a shard of 200 workers.
func BenchmarkRoundWithTasksThatWaitForRack(b *testing.B) {
	var t testing.T
	c := newLocalHarness(&t, 200, 3)
	for i, f := range c.workers {
		f.Rack = fmt.Sprint("r", i/12)
	}
	c.replaceOwner()
	c.run(time.Second)
	step := twoCores
	step.Estimate = 10 * time.Second
	c.add(workflow.Job{ID: fullRackJob, Queue: "q", Steps: inRack(step, "r0", 48)})
	c.run(9500 * time.Millisecond)
	for i := range 200 {
		c.add(workflow.Job{ID: fmt.Sprintf("%016x", i+16), Queue: "q", Steps: inRack(step, "r0", 10)})
	}
	for b.Loop() {
		c.now = c.now.Add(time.Minute / 2000) // the owner does nothing in a shorter pause
		c.owner.Step(c.now)
	}
	b.ReportMetric(float64(c.owner.Summary(c.now).Waiting), "waiting")
}
