package shard_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/laburnumridge/laburnumridge/internal/knownred"
	"github.com/laburnumridge/laburnumridge/internal/shard"
	"github.com/laburnumridge/laburnumridge/internal/workflow"
)

// addTask submits a job of one task.
func (sim *simulation) addTask(id string, step workflow.Step) {
	j := workflow.Job{ID: id, Queue: "q", Steps: []workflow.Step{step}, AcceptedAt: sim.now.UnixMilli()}
	sim.jobs[id], sim.ids = j, append(sim.ids, id)
	sim.owner.Add(sim.now, j)
}

// Guards against a task that starts again after an end that counts (TWICE): an acknowledgement for the earlier lifetime of a worker makes the
// later one forget the end of a run, whose start was on its way at the same time, so that it carries the same token.
func TestLateAcknowledgementDoesNotReachRunOfStartThatWasInFlight(t *testing.T) {
	const first, second = "0000000000000001", "0000000000000002"
	for name, isStartFirst := range map[string]bool{"start in flight when the acknowledgement is sent": true, "acknowledgement in flight when the start is sent": false} {
		t.Run(name, func(t *testing.T) {
			knownred.Skip(t)
			sim := newSimulationOfTask(t, smallStep, 0)
			f := sim.worker(sim.orders[0].Worker)
			f.Labels = append(f.Labels, "x")
			sim.register()
			step := smallStep
			step.Label = "x"
			const startDelay, ackDelay = 2500 * time.Millisecond, 9 * time.Second
			if isStartFirst {
				for sim.final[first] == "" {
					sim.step()
				}
				sim.nextStartDelay = startDelay
			}
			sim.nextAckDelay = ackDelay
			if isStartFirst {
				sim.addTask(second, step)
			}
			for sim.nextAckDelay > 0 {
				sim.step()
			}
			if !isStartFirst {
				sim.nextStartDelay = startDelay
				sim.addTask(second, step)
			}
			for sim.nextStartDelay > 0 {
				sim.step()
			}
			sim.restartBehindCut(f)
			sim.runFor(7500 * time.Millisecond)
			assert.Assert(t, len(f.ends) == 1 && f.ends[0].Cause == shard.EndDone, "the later lifetime lists %v", f.ends)
			sim.runFor(2 * time.Second)
			f.partitioned = false
			sim.register()
			sim.runFor(30 * time.Second) // checkStart fails the test if the task starts again
			assert.Check(t, sim.final[second] == workflow.StateCompleted)
		})
	}
}
