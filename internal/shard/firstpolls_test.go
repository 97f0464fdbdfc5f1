package shard_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/laburnumridge/laburnumridge/internal/fleet"
	"github.com/laburnumridge/laburnumridge/internal/shard"
	"github.com/laburnumridge/laburnumridge/internal/workflow"
)

// hostQueue makes the calls of an owner one after the other, as a host that is short of processor time does.
type hostQueue struct {
	*simulation
	calls []func()
}

func (q *hostQueue) add(a shard.Actions) {
	for _, p := range a.Polls {
		sent := q.now
		q.calls = append(q.calls, func() {
			f := q.worker(p.Worker)
			q.owner.Polled(q.now, p, sent, shard.Listing{Born: f.incarnation, Clock: q.clock(f)})
		})
	}
	for _, s := range a.Starts {
		q.calls = append(q.calls, func() {
			q.starts++
			q.owner.Started(q.now, s, shard.Reply{Outcome: shard.OutcomeDone, Clock: q.clock(q.worker(s.Worker))})
		})
	}
	if a.Commit != nil {
		q.calls = append(q.calls, func() { q.owner.Committed(q.now, a.Commit) })
	}
}

// Guards against a new owner whose first restart of a task waits until it has polled all workers: an owner that is stopped before that,
// and each one after it, restarts nothing.
func TestNewOwnerRestartsTasksBeforeItHasPolledAllWorkers(t *testing.T) {
	const workers = 100
	q := &hostQueue{simulation: newSimulation(t, 1, workers)}
	const id = "0000000000000001"
	q.owner.Restore(q.now, workflow.Job{ID: id, AcceptedAt: q.now.UnixMilli(), Queue: "q", Steps: []workflow.Step{
		{Count: 1, Resources: fleet.Resources{CPUMilli: 1000, MemoryMiB: 10}, LongRunning: true},
	}}, workflow.Progress{Tasks: []workflow.TaskRecord{{Failures: 1, Run: 1}}}, false)
	for made := 0; q.starts == 0; made++ {
		q.now = q.now.Add(simulationStep)
		q.add(q.owner.Step(q.now))
		assert.Assert(t, made < workers/2, "the task does not run again after %d calls", made)
		if len(q.calls) > 0 {
			call := q.calls[0]
			q.calls = q.calls[1:]
			call()
		}
	}
}

// Guards against workers that do not answer their first poll and keep a new owner from polling the others until the calls time out.
func TestSilentWorkersDoNotDelayFirstPollsOfOthers(t *testing.T) {
	const workers, silent = 100, 40
	sim := newSimulation(t, 1, workers)
	polled := map[string]bool{}
	for range 100 {
		sim.now = sim.now.Add(simulationStep)
		for _, p := range sim.owner.Step(sim.now).Polls {
			polled[p.Worker] = true
			if f := sim.worker(p.Worker); !isAmongFirst(f.ID, silent) {
				sim.owner.Polled(sim.now, p, sim.now, shard.Listing{Born: f.incarnation, Clock: sim.clock(f)})
			}
		}
	}
	assert.Equal(t, len(polled), workers, "all workers are polled within a second")
}

// isAmongFirst reports whether a worker of a simulation is one of the first n in the order of their numbers.
func isAmongFirst(id string, n int) bool {
	var number int
	_, err := fmt.Sscanf(id[1:], "%d", &number)
	return err == nil && number < n
}
