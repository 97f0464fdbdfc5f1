package shard_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/laburnumridge/laburnumridge/internal/fleet"
	"github.com/laburnumridge/laburnumridge/internal/shard"
	"github.com/laburnumridge/laburnumridge/internal/workflow"
)

// cores returns a step of tasks that need some cores in rack r and take a second there.
func cores(n int64, count int) workflow.Step {
	return workflow.Step{Count: count, Estimate: time.Second, Rack: "r", Resources: fleet.Resources{CPUMilli: 1000 * n, MemoryMiB: 10}}
}

// newProbationHarness returns a harness whose rack r has two free cores, on a worker on probation that may be given a run now.
func newProbationHarness(t *testing.T) *fleetHarness {
	c := newLocalHarness(t, 4, 2)
	lasting := cores(2, 7)
	lasting.LongRunning = true
	c.add(workflow.Job{ID: fullRackJob, Queue: "q", Steps: []workflow.Step{lasting}})
	c.run(time.Second)
	used := map[string]int{}
	for _, s := range c.starts {
		used[s.Worker]++
	}
	failing := c.workers[0].ID
	if used[failing] == 4 {
		failing = c.workers[1].ID
	}
	assert.Equal(t, used[failing], 3)
	ends := c.endCause
	c.endCause = func(s shard.Start) shard.EndCause {
		if s.Worker == failing && s.Job != fullRackJob {
			return shard.EndFailed
		}
		return ends(s)
	}
	for i := range 3 {
		c.add(workflow.Job{ID: fmt.Sprintf("00000000000000a%d", i), Queue: "q", Steps: []workflow.Step{cores(2, 1)}})
		c.run(200 * time.Millisecond)
	}
	c.endCause = ends
	c.run(2500 * time.Millisecond)
	return c
}

// Guards against forecasts whose workers are paired with those of a later step by their positions: a worker on probation is given a run between
// two steps of a round, and takes no other one.
func TestWorkerLeavesForecastWithinRound(t *testing.T) {
	c := newProbationHarness(t)
	c.add(workflow.Job{ID: localJob, Queue: "q", Steps: []workflow.Step{cores(3, 1)}})
	c.add(workflow.Job{ID: otherJob, Queue: "q", Steps: []workflow.Step{cores(2, 2)}})
	c.run(3 * time.Second)
	all, remote := c.startsOf(otherJob)
	assert.Equal(t, all, 2)
	assert.Equal(t, remote, 1, "the worker on probation takes one of the tasks")
}

// Guards against owners that panic, and against the faults of TestGuaranteesHoldWhileTasksWaitForRacks, while workers fail all that they start and jobs have several steps whose
// tasks of different sizes wait for the same rack: workers on probation come and go within a round.
func TestGuaranteesHoldWhileWorkersOfRacksFail(t *testing.T) {
	for i := range 10 {
		t.Run(fmt.Sprint("seed ", i), func(t *testing.T) {
			t.Parallel()
			sim := newSimulation(t, *firstSeed+uint64(i), 8)
			for i, f := range sim.workers {
				f.Rack = fmt.Sprint("r", i%2)
				f.Capacity.CPUMilli = int64(4000 + 2000*(i%3))
			}
			sim.remoteFactor = 2
			sim.replaceOwner()
			for k := range 4000 {
				if k%120 == 0 {
					var steps []workflow.Step
					for n := range 3 {
						steps = append(steps, workflow.Step{
							Count: 1 + sim.random.IntN(3), Estimate: 1500 * time.Millisecond, Rack: "r0",
							Resources: fleet.Resources{CPUMilli: []int64{5000, 2000, 1000}[n], MemoryMiB: 10},
						})
					}
					sim.submitTo("q", steps...)
				}
				if k%500 == 0 {
					for n := range 2 {
						sim.workers[2*n].failsUntil = sim.now.Add(6500 * time.Millisecond)
					}
				}
				sim.step()
			}
			sim.drainWithoutFaults()
			for _, id := range sim.ids {
				assert.Check(t, sim.final[id] != "", "job %s has no final state", id)
			}
		})
	}
}
