package shard_test

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/laburnumridge/laburnumridge/internal/fleet"
	"github.com/laburnumridge/laburnumridge/internal/shard"
	"github.com/laburnumridge/laburnumridge/internal/workflow"
)

// ownershipTime is how long each owner of a series stays.
const ownershipTime = 800 * time.Millisecond

// seriesHarness is a workerHarness whose owner is replaced again and again. The next owner restores the recorded progress.
type seriesHarness struct{ *workerHarness }

func newSeriesHarness(t *testing.T) *seriesHarness {
	s := &seriesHarness{&workerHarness{simulation: newSimulation(t, 1, 1), t: t}}
	s.measurement = func(shard.Start) float64 { return 1000 }
	return s
}

func (s *seriesHarness) add(j workflow.Job) {
	j.AcceptedAt = s.now.UnixMilli()
	s.jobs[j.ID], s.ids = j, append(s.ids, j.ID)
	s.owner.Add(s.now, j)
}

// run lets the present owner act for a time.
func (s *seriesHarness) run(d time.Duration) {
	for end := s.now.Add(d); s.now.Before(end); {
		s.step()
	}
}

// end ends the runs of a job.
func (s *seriesHarness) end(job string, cause shard.EndCause) {
	s.running = slices.DeleteFunc(s.running, func(r shard.Start) bool {
		if r.Job == job {
			s.ended = append(s.ended, shard.EndRow{Cause: cause, Job: r.Job, Key: r.Key, Number: int64(len(s.ended) + 1), Run: r.Run})
		}
		return r.Job == job
	})
}

// takeOver lets another owner take the shard. The weights that the owners have learned are handed on as by the store.
func (s *seriesHarness) takeOver() {
	weights := s.owner.LearnedWeights(s.now)
	s.replaceOwner()
	s.owner.AdoptWeights(s.now, weights)
}

// Guards against owners that give the room for short tasks away when they take the shard over.
func TestRoomForShortTasksIsKeptOverTakeover(t *testing.T) {
	const short, long = "0000000000000001", "0000000000000002"
	s := newSeriesHarness(t)
	s.add(workflow.Job{ID: short, Queue: "q", Steps: []workflow.Step{
		{Count: 2, Resources: fleet.Resources{CPUMilli: 1000, MemoryMiB: 10}, Estimate: time.Minute},
	}})
	s.run(time.Second)
	s.add(workflow.Job{ID: long, Queue: "q", Steps: []workflow.Step{
		{Count: 8, Resources: fleet.Resources{CPUMilli: 1000, MemoryMiB: 10}, LongRunning: true},
	}})
	s.run(100 * time.Millisecond)
	assert.Equal(t, s.starts(long), 6, "a quarter of the room is kept")
	s.run(ownershipTime)
	s.takeOver()
	s.run(ownershipTime)
	s.end(short, shard.EndDone)
	s.run(time.Second)
	assert.Equal(t, s.starts(long), 6, "a quarter of the room is kept")
}

// Guards against a best-effort job that waits for a suitable worker until a series of takeovers has ended, although most CPU is idle,
// because each owner counts the wait from its own takeover.
func TestBestEffortWaitIsCountedOverTakeovers(t *testing.T) {
	const serving, harmful, waiting = "0000000000000001", "0000000000000002", "0000000000000003"
	s := newSeriesHarness(t)
	over := true
	s.measurement = func(r shard.Start) float64 {
		switch {
		case r.Job != serving:
			return 1000
		case over:
			return 200
		}
		return 7
	}
	step := workflow.Step{Count: 1, Resources: fleet.Resources{CPUMilli: 1000, MemoryMiB: 10}}
	longRunning, bestEffort := step, step
	longRunning.LongRunning, longRunning.TailTarget, longRunning.Image = true, 18*time.Millisecond, "s"
	bestEffort.BestEffort, bestEffort.Image = true, "f"
	s.add(workflow.Job{ID: serving, Queue: "q", Steps: []workflow.Step{longRunning}})
	s.run(time.Second)
	s.add(workflow.Job{ID: harmful, Queue: "q", Steps: []workflow.Step{bestEffort}})
	s.run(6 * time.Second) // the owner learns that image f disturbs image s
	over = false
	s.add(workflow.Job{ID: waiting, Queue: "q", Steps: []workflow.Step{bestEffort}})
	for range 10 {
		s.run(ownershipTime)
		s.takeOver()
	}
	assert.Equal(t, s.starts(waiting), 1, "the task starts during the series")
}

// Guards against a serving task that stays above its latency target for a whole series of takeovers, because each owner waits anew
// before it halts the best-effort task beside it.
func TestHarmfulTaskIsHaltedDuringSeriesOfTakeovers(t *testing.T) {
	const serving, harmful = "0000000000000001", "0000000000000002"
	// harmTime is after what time above its target the users of a task count as harmed.
	const harmTime = 4 * time.Second
	s := newSeriesHarness(t)
	over := false
	s.measurement = func(r shard.Start) float64 {
		switch {
		case r.Job != serving:
			return 1000
		case over:
			return 200
		}
		return 7
	}
	step := workflow.Step{Count: 1, Resources: fleet.Resources{CPUMilli: 1000, MemoryMiB: 10}}
	longRunning, bestEffort := step, step
	longRunning.LongRunning, longRunning.TailTarget, longRunning.Image = true, 18*time.Millisecond, "s"
	bestEffort.BestEffort, bestEffort.Image = true, "f"
	s.add(workflow.Job{ID: serving, Queue: "q", Steps: []workflow.Step{longRunning}})
	s.add(workflow.Job{ID: harmful, Queue: "q", Steps: []workflow.Step{bestEffort}})
	s.run(2 * time.Second)
	over, s.paces = true, nil
	for range harmTime / ownershipTime {
		s.takeOver()
		s.run(ownershipTime)
	}
	assert.Assert(t, slices.ContainsFunc(s.paces, func(p shard.Pace) bool { return p.Job == harmful && p.Percent == 0 }))
}
