package shard_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/laburnumridge/laburnumridge/internal/fleet"
	"github.com/laburnumridge/laburnumridge/internal/shard"
	"github.com/laburnumridge/laburnumridge/internal/workflow"
)

// workerHarness drives an owner and one worker that reports measurements chosen by the test.
type workerHarness struct {
	*simulation
	t *testing.T
	// measurement returns the measurement that the worker reports for a run.
	measurement func(s shard.Start) float64
	running     []shard.Start
	// paces are the paces that the owner has ordered.
	paces []shard.Pace
	ended []shard.EndRow
}

func (h *workerHarness) step() {
	h.now = h.now.Add(simulationStep)
	a := h.owner.Step(h.now)
	if a.Commit != nil {
		for _, w := range a.Commit.Writes {
			if w.Final != "" {
				h.final[w.Job] = w.Final
			} else if p, err := workflow.Decode[workflow.Progress](w.Progress); assert.Check(h.t, err) {
				h.storedProgress[w.Job] = p
			}
		}
		h.owner.Committed(h.now, a.Commit)
	}
	for _, s := range a.Starts {
		h.running = append(h.running, s)
		h.owner.Started(h.now, s, shard.Reply{Outcome: shard.OutcomeDone, Clock: h.clock(h.workers[0])})
	}
	h.paces = append(h.paces, a.Paces...)
	for _, p := range a.Paces {
		h.owner.Paced(h.now, p, shard.Reply{Outcome: shard.OutcomeDone})
	}
	for _, poll := range a.Polls {
		list := shard.Listing{Born: h.workers[0].incarnation, Clock: h.clock(h.workers[0]), Ended: h.ended}
		for _, s := range h.running {
			list.Running = append(list.Running, shard.RunningRow{Job: s.Job, Key: s.Key, Run: s.Run, Percent: 100, Measurement: h.measurement(s)})
		}
		h.owner.Polled(h.now, poll, h.now, list)
	}
}

func (h *workerHarness) starts(job string) int {
	n := 0
	for _, s := range h.running {
		if s.Job == job {
			n++
		}
	}
	return n
}

// Guards against a best-effort job that waits for a worker whose serving tasks it would not disturb, although most CPU
// is idle.
func TestBestEffortJobStartsOnMostlyIdleFleet(t *testing.T) {
	h := &workerHarness{simulation: newSimulation(t, 1, 1), t: t}
	const (
		serving = "0000000000000001"
		harmful = "0000000000000002"
		ahead   = "0000000000000003"
		waiting = "0000000000000004"
	)
	over := true
	h.measurement = func(s shard.Start) float64 {
		if s.Job != serving {
			return 1000
		}
		if over {
			return 200
		}
		return 7
	}
	step := workflow.Step{Count: 1, Resources: fleet.Resources{CPUMilli: 1000, MemoryMiB: 10}}
	longRunning, bestEffort := step, step
	longRunning.LongRunning, longRunning.TailTarget, longRunning.Image = true, 18*time.Millisecond, "s"
	bestEffort.BestEffort, bestEffort.Image = true, "f"
	h.owner.Add(h.now, workflow.Job{ID: serving, Queue: "q", Steps: []workflow.Step{longRunning}})
	for range 100 {
		h.step()
	}
	h.owner.Add(h.now, workflow.Job{ID: harmful, Queue: "q", Steps: []workflow.Step{bestEffort}})
	for range 600 {
		h.step() // the owner learns that image f disturbs image s
	}
	assert.Equal(t, h.starts(harmful), 1)
	over = false
	two := bestEffort
	two.Count = 2
	// The second task of this job keeps waiting, since its job already has a run.
	h.owner.Add(h.now, workflow.Job{ID: ahead, Queue: "q", Steps: []workflow.Step{two}})
	h.owner.Add(h.now, workflow.Job{ID: waiting, Queue: "q", Steps: []workflow.Step{bestEffort}})
	for range 50 {
		h.step()
	}
	assert.Equal(t, h.starts(waiting), 0, "the task waits at first")
	for range 200 {
		h.step()
	}
	assert.Equal(t, h.starts(waiting), 1, "the task starts within 2.5 s")
}
