package forecast_test

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/laburnumridge/laburnumridge/internal/fleet"
	"github.com/laburnumridge/laburnumridge/internal/forecast"
	"github.com/laburnumridge/laburnumridge/internal/workflow"
)

var queue = workflow.QueueSettings{Priority: 2, Service: "s", Stretch: 2, TargetLatency: time.Second}

// batchJob is a job of 2 steps of 20 best-effort tasks, whose estimate is half of what they take in the view of learnedView.
func batchJob() workflow.Job {
	step := workflow.Step{Count: 20, Estimate: time.Second, BestEffort: true, Resources: fleet.Resources{CPUMilli: 1000}}
	second := step
	second.After = []int{0}
	return workflow.Job{ID: "0000000000000001", Queue: "q", Steps: []workflow.Step{step, second}}
}

// learnedView returns the view of a shard whose best-effort tasks take twice their estimate, with 100 cores for them and a backlog that
// takes the given time.
func learnedView(ahead time.Duration) *forecast.View {
	var l forecast.Learned
	class := forecast.Class{BestEffort: true, Queue: "q"}
	for i := range 40 {
		estimate := time.Duration(500+25*i) * time.Millisecond
		l.Observe(class, estimate, 2*estimate, 1)
		l.ObserveEnd(time.Second, time.Second)
	}
	return &forecast.View{
		Backlogs:      []forecast.Backlog{{Priority: 2, Work: forecast.Work{BestEffort: 100 * ahead.Milliseconds()}}, {Priority: 3, Work: forecast.Work{BestEffort: 1e9}}},
		BestEffortCPU: 100_000, Errors: l.Errors(), Fits: l.Fits(), ReservingCPU: 100_000,
	}
}

func near(t *testing.T, got, want time.Duration) {
	t.Helper()
	assert.Assert(t, (got-want).Abs() < want/50+time.Millisecond, "%s, not %s", got, want)
}

// Guards against forecasts that take estimates unchanged although tasks take longer, and against a few samples, or wrong ones, that decide.
func TestDurationsAreLearned(t *testing.T) {
	var d forecast.Durations
	for i := range 1000 {
		assert.Equal(t, d.Fit().IsLearned(), i >= 20)
		estimate := time.Duration(100+i) * time.Millisecond
		d = d.With(estimate, estimate*3, 0.5)
		if i == 19 {
			near(t, d.Fit().Expect(time.Second), 3*time.Second)
		}
	}
	fit := d.Fit()
	near(t, fit.Expect(2*time.Second), 6*time.Second)
	assert.Assert(t, fit.Samples <= 400 && fit.Spread < 0.01)
	for _, wrong := range []struct{ estimate, actual time.Duration }{{0, time.Second}, {time.Second, 0}, {time.Second, time.Hour}, {time.Hour, time.Second}} {
		assert.Equal(t, d.With(wrong.estimate, wrong.actual, 1), d)
	}
	assert.Equal(t, forecast.Fit{}.Expect(time.Second), time.Second)
	for range 800 {
		d = d.With(time.Second, time.Second, 1)
	}
	assert.Assert(t, d.Fit().Expect(time.Second) < 1500*time.Millisecond, "older samples lose weight")
}

// Guards against memory that grows with the names of queues.
func TestLearnedClassesAreBounded(t *testing.T) {
	var l forecast.Learned
	for i := range 1000 {
		for range 20 {
			l.Observe(forecast.Class{Queue: string(rune('a' + i))}, time.Second, time.Second, 1)
		}
	}
	assert.Equal(t, len(l.Fits()), 64)
}

// Guards against an end that leaves out the backlog, the width of a step or its order, or counts work that comes after the job.
func TestEndIsForecast(t *testing.T) {
	f := learnedView(0).Of(batchJob(), queue)
	near(t, f.End, 4*time.Second)
	near(t, f.Objective, 9*time.Second)
	near(t, f.Slot, 800*time.Millisecond)
	near(t, learnedView(10*time.Second).Of(batchJob(), queue).End, 14*time.Second)
	urgent := queue
	urgent.Priority = 1
	near(t, learnedView(10*time.Second).Of(batchJob(), urgent).End, 4*time.Second)
	wide := batchJob()
	wide.Steps[0].Count = 200
	near(t, learnedView(0).Of(wide, queue).End, 6*time.Second)
	reserving := batchJob()
	reserving.Steps[0].BestEffort = false
	near(t, learnedView(10*time.Second).Of(reserving, queue).End, 12*time.Second)
	late := learnedView(4 * time.Second)
	late.Backlogs[0].Late = forecast.Work{BestEffort: 300_000}
	near(t, late.Of(batchJob(), queue).End, 8*time.Second)
	late.Backlogs[0].Work.BestEffort = 600_000
	near(t, late.Of(batchJob(), queue).End, 13*time.Second)
	full := learnedView(time.Second)
	full.BestEffortCPU = 0
	assert.Assert(t, full.Of(batchJob(), queue).End >= time.Hour)
	assert.Assert(t, !full.Of(batchJob(), queue).IsHopeless(), "there may be CPU a moment later")
}

// Guards against refusals of jobs that may be served, or of which too little is known: no answer, an older host, a new owner, an old view,
// a job without an objective.
func TestOnlyHopelessJobsAreRefused(t *testing.T) {
	hopeless, servable, unlearned := learnedView(60*time.Second), learnedView(20*time.Second), learnedView(60*time.Second)
	unlearned.Errors = forecast.Errors{}
	longRunning, recurring := batchJob(), batchJob()
	longRunning.Steps[0].LongRunning, recurring.Occurrences = true, 1
	of := func(views ...*forecast.View) (out []forecast.Alternative) {
		for i, v := range views {
			out = append(out, forecast.Alternative{Shard: i, View: v})
		}
		return out
	}
	for name, c := range map[string]struct {
		job          workflow.Job
		alternatives []forecast.Alternative
		reason       forecast.Reason
	}{
		"both hopeless": {batchJob(), of(hopeless, hopeless), forecast.ReasonHopeless},
		"one servable":  {batchJob(), of(servable, hopeless), forecast.ReasonServable},
		"one silent":    {batchJob(), of(hopeless, nil), forecast.ReasonNoView},
		"new owner":     {batchJob(), of(hopeless, unlearned), forecast.ReasonNotLearned},
		"zero view":     {batchJob(), of(&forecast.View{}), forecast.ReasonNotLearned},
		"none":          {batchJob(), nil, forecast.ReasonNoView},
		"old view":      {batchJob(), []forecast.Alternative{{Age: 1001 * time.Millisecond, View: hopeless}}, forecast.ReasonNoView},
		"long-running":  {longRunning, of(hopeless), forecast.ReasonNoObjective},
		"recurring":     {recurring, of(hopeless), forecast.ReasonNoObjective},
	} {
		t.Run(name, func(t *testing.T) {
			d := forecast.Decide(c.job, queue, c.alternatives)
			assert.Equal(t, d.Reason, c.reason)
			assert.Equal(t, d.IsRefused, c.reason == forecast.ReasonHopeless)
		})
	}
	d := forecast.Decide(batchJob(), queue, of(hopeless, learnedView(50*time.Second)))
	near(t, d.Delay, 9*time.Second)
}

// Guards against a refusal by an owner whose forecasts were far off.
func TestErrorsWidenTheMargin(t *testing.T) {
	off := forecast.Errors{}
	for i := range 20 {
		off = off.With(time.Second, []time.Duration{300 * time.Millisecond, 2 * time.Second}[i%2])
	}
	v := learnedView(60 * time.Second)
	assert.Assert(t, v.Of(batchJob(), queue).IsHopeless())
	v.Errors = off
	assert.Assert(t, !v.Of(batchJob(), queue).IsHopeless())
}

// Guards against refused callers that come back at the same time, in another order, too early, or hours later.
func TestRetrySlotsFollowTheOrderOfArrival(t *testing.T) {
	now := time.Unix(1000, 0)
	d := forecast.Decision{Delay: 2 * time.Second, Slot: 200 * time.Millisecond}
	var s forecast.Slots
	for i := range 10 {
		var delay time.Duration
		s, delay = s.Take(now, d, 6, 3)
		assert.Equal(t, delay, 2*time.Second+time.Duration(i)*400*time.Millisecond)
	}
	counts := map[time.Duration]int{}
	for range 900 {
		var delay time.Duration
		s, delay = s.Take(now, d, 6, 3)
		assert.Assert(t, delay >= time.Second && delay <= 10*time.Second, "%s", delay)
		counts[delay.Truncate(time.Second)]++
	}
	for at, n := range counts {
		assert.Assert(t, n < 200, "%d callers come back at %s", n, at)
	}
	_, delay := forecast.Slots{}.Take(now, forecast.Decision{Delay: time.Millisecond}, 1, 1)
	assert.Equal(t, delay, time.Second)
}

// Guards against an order in which small jobs starve a large one, started jobs lose their turn to new ones, jobs that can't be in time any
// more delay others, or jobs that can't be served any more stay behind for ever or take more than a tenth of the turns.
func TestOrderStarvesNoSize(t *testing.T) {
	now := time.Unix(1000, 0)
	started := func(age time.Duration, work, total int64) *forecast.Candidate {
		return &forecast.Candidate{
			IsStarted: true, Objective: now.Add(6*time.Second - age), Since: now.Add(-age), TotalWork: total, Work: work,
		}
	}
	small, half, largeHalf, large := started(0, 10, 10), started(0, 5, 10), started(time.Second, 5e11, 1e12), started(0, 1e12, 1e12)
	almostDone, lost := started(0, 1e11, 1e12), started(7*time.Second, 1, 1e12)
	late := make([]*forecast.Candidate, 20)
	for i := range late {
		late[i] = &forecast.Candidate{Objective: now.Add(-59*time.Minute - time.Duration(i)*time.Second), Since: now.Add(-time.Hour - time.Duration(i+1)*time.Second), Remaining: time.Second}
	}
	inTime := &forecast.Candidate{Objective: now.Add(time.Minute), Since: now, Remaining: time.Second}
	all := append([]*forecast.Candidate{small, large, half, largeHalf, almostDone, lost, inTime}, late...)
	forecast.RankAll(now, all)
	slices.SortStableFunc(all, (*forecast.Candidate).Compare)
	at := func(c *forecast.Candidate) int { return slices.Index(all, c) }
	assert.Assert(t, at(almostDone) < at(largeHalf) && at(largeHalf) < at(half) && at(half) < at(small) && at(small) < at(large))
	assert.Assert(t, at(large) < at(inTime) && at(inTime) < at(lost) && at(lost) < at(late[0]))
	assert.Equal(t, at(late[19]), 0)
	assert.Assert(t, at(inTime) < at(late[18]), "more than a tenth of the jobs that run is late")
	assert.Equal(t, late[19].Rank, forecast.RankOverdue)
}
