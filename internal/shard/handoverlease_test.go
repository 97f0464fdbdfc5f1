package shard_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// holdNextCall makes a worker execute the next call that is sent to it late, without a response.
func (sim *simulation) holdNextCall(f *fakeWorker, delay time.Duration) {
	for range 500 {
		for i, c := range sim.calls {
			if c.worker == f.ID && c.execute != nil && c.sent.Equal(sim.now) {
				sim.calls = append(append(sim.calls[:i:i], sim.calls[i+1:]...), c)
				sim.holdLast(delay)
				return
			}
		}
		sim.step()
	}
	sim.t.Fatal("no call is sent to the worker")
}

// Guards against two runs of a task at once (TWICE): a poll for the earlier lifetime of a worker, which an owner sent that has handed the shard
// over since, renews the lease of the later one to the longest just before the next owner reaches it.
func TestLeaseOfRestartedWorkerIsBoundedAfterHandover(t *testing.T) {
	for name, takeOver := range map[string]func(*simulation){
		"handover": func(sim *simulation) {
			sim.owner.BeginHandover()
			sim.replaceOwner(sim.owner.Handover(sim.now))
		},
		"crash": func(sim *simulation) { sim.replaceOwner() },
	} {
		t.Run(name, func(t *testing.T) {
			const second = "0000000000000002"
			sim := newSimulationOfTask(t, longRunningStep, 0)
			f := sim.worker(sim.orders[0].Worker)
			sim.runFor(time.Second)
			f.Labels = append(f.Labels, "x")
			sim.holdNextCall(f, 9*time.Second)
			sim.restartBehindCut(f)
			sim.register()
			sim.step()
			takeOver(sim)
			sim.runFor(9 * time.Second)
			f.partitioned = false
			step := longRunningStep
			step.Label = "x"
			sim.addTask(second, step)
			for range 500 {
				if len(f.runs) > 0 {
					break
				}
				sim.step()
			}
			assert.Assert(t, len(f.runs) == 1, "the task does not start on the worker")
			f.partitioned = true
			for _, other := range sim.workers {
				other.Labels = []string{"a", "r", "x"}
			}
			sim.register()
			sim.runFor(30 * time.Second) // checkStart fails the test if the task runs twice
		})
	}
}
