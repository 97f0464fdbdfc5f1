package interference_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/laburnumridge/laburnumridge/internal/interference"
)

func newObservation(taken time.Time, slowdown float64) interference.Observation {
	return interference.Observation{
		Batch: []interference.TaskCount{{Tasks: 2, Work: "noisy"}}, WindowStart: taken, Service: "dosing",
		Slowdown: slowdown, Taken: taken, Worker: "w", WorstWork: "noisy", WorstTasks: 2,
	}
}

// Guards against deciding twice on one sample, deciding on samples that were taken before the last step took effect,
// skipping steps, and exceeding the eviction budget, with reports and confirmations in any order.
func TestDecideProperties(t *testing.T) {
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 1))
		budget := interference.NewBudget(5)
		m := interference.NewMitigator(budget)
		// No step precedes the first one, so any sample may lead to it.
		now, effectiveAt, slowdown := start, start.Add(-time.Hour), 1.0
		var last interference.Decision
		seenSamples := map[time.Time]bool{}
		var evictionTimes []time.Time
		for range 3000 {
			now = now.Add(time.Second)
			if rng.IntN(60) == 0 {
				slowdown = []float64{1, 1.1, 1.3, 2}[rng.IntN(4)]
			}
			taken := now.Add(-time.Duration(rng.IntN(10)) * time.Second)
			before := m.Step("w")
			d := m.Decide(now, newObservation(taken, slowdown))
			if d.Reason == interference.ReasonUnconfirmed {
				assert.Equal(t, d.Seq, last.Seq)
			} else if d.Kind != interference.KindHold {
				assert.Assert(t, !seenSamples[taken] && taken.After(effectiveAt), "seed %d: %+v", seed, d)
				assert.Equal(t, d.Seq, last.Seq+1)
				step := int(d.Step) - int(before)
				assert.Assert(t, step == 1 || step == -1 || step == 0 && d.Step == interference.StepEvict, "seed %d: %+v", seed, d)
				last, effectiveAt = d, now.Add(24*time.Hour)
				for range d.Tasks {
					evictionTimes = append(evictionTimes, now)
				}
				assert.Assert(t, len(evictionTimes) < 6 || now.Sub(evictionTimes[len(evictionTimes)-6]) >= time.Hour)
			}
			seenSamples[taken] = true
			if last.Seq > 0 && effectiveAt.After(now) && rng.IntN(4) == 0 {
				effectiveAt = now
				m.ConfirmStep("w", last.Seq, now)
			}
		}
	}
}

// Guards against a worker that stays throttled forever, and against endless alternation between steps.
func TestUndoOneStepAtATime(t *testing.T) {
	m := interference.NewMitigator(interference.NewBudget(60))
	now := start
	var steps []interference.Step
	run := func(slowdown float64, seconds int) {
		for range seconds {
			now = now.Add(time.Second)
			if d := m.Decide(now, newObservation(now, slowdown)); d.Kind != interference.KindHold {
				steps = append(steps, d.Step)
				m.ConfirmStep("w", d.Seq, now)
			}
		}
	}
	run(2, 6) // three slow samples per step, for two steps
	run(1, 120)
	assert.DeepEqual(t, steps, []interference.Step{
		interference.StepThrottle, interference.StepClosed, interference.StepThrottle, interference.StepNone,
	})
	steps = nil
	for range 3600 {
		slow := 2.0
		if m.Step("w") > interference.StepNone {
			slow = 1
		}
		run(slow, 1)
	}
	assert.Assert(t, len(steps) <= 30, "%d steps in an hour", len(steps))
	run(2, 3)
	before := m.Step("w")
	assert.Assert(t, before > interference.StepNone)
	assert.Equal(t, len(m.UndoWithoutSamples(now.Add(time.Minute))), 0)
	assert.Equal(t, m.UndoWithoutSamples(now.Add(time.Hour))[0].Step, before-1)
}

// Guards against throttling batch work for a service that meets its latency target, against keeping a step because
// the baseline of the service is inexact, and against mitigation that uses the evictions reserved for urgent tasks.
func TestLatencyTargetOverridesThreshold(t *testing.T) {
	budget := interference.NewBudget(4)
	m := interference.NewMitigator(budget)
	now := start
	run := func(slowdown, targetRatio float64, seconds int) int {
		evicted := 0
		for range seconds {
			now = now.Add(time.Second)
			o := newObservation(now, slowdown)
			o.TargetRatio, o.WorstTasks = targetRatio, 9
			if d := m.Decide(now, o); d.Kind != interference.KindHold {
				evicted += d.Tasks
				m.ConfirmStep("w", d.Seq, now)
			}
		}
		return evicted
	}
	run(3, 0.9, 60)
	assert.Equal(t, m.Step("w"), interference.StepNone)
	assert.Equal(t, run(3, 1.1, 60), 2)
	assert.Equal(t, budget.Left(now), 2)
	run(1.4, 0.7, 300)
	assert.Equal(t, m.Step("w"), interference.StepNone)
}

// Guards against mitigating a slowdown that no batch task causes.
func TestNoStepWithoutBatchTasks(t *testing.T) {
	m := interference.NewMitigator(interference.NewBudget(60))
	for i := range 5 {
		o := newObservation(start.Add(time.Duration(i)*time.Second), 3)
		o.Batch = nil
		assert.Equal(t, m.Decide(o.Taken, o).Kind, interference.KindHold)
	}
}
