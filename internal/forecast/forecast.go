package forecast

import (
	"time"

	"github.com/laburnumridge/laburnumridge/internal/workflow"
)

// lateFactor is the multiple of its objective after which a job is of no use to its caller.
const lateFactor = 3

// LateLimit returns how long after its acceptance a job with an objective is still of some use.
func LateLimit(objective time.Duration) time.Duration { return lateFactor * objective }

// Chain returns when the last of some steps ends, given how long each takes and the earliest time at which it can begin.
func Chain(steps []workflow.Step, earliest, duration func(int) time.Duration) time.Duration {
	ends := make([]time.Duration, len(steps))
	longest := time.Duration(0)
	for i, s := range steps {
		ends[i] = earliest(i)
		for _, before := range s.After {
			ends[i] = max(ends[i], ends[before])
		}
		ends[i] += duration(i)
		longest = max(longest, ends[i])
	}
	return longest
}

// AtOnce is the earliest begin of steps that wait for no room.
func AtOnce(int) time.Duration { return 0 }

// Objective returns the time within which a job of a queue is to end, given the duration of its critical path.
func Objective(chain time.Duration, q workflow.QueueSettings) time.Duration {
	return time.Duration(float64(chain)*max(q.Stretch, 1)) + q.TargetLatency
}

// Forecast says when a new job would end in a shard, counted from now.
type Forecast struct {
	// Earliest is the earliest end that has to be reckoned with.
	Earliest, End time.Duration
	// IsLearned is set if the durations of the job's tasks and the errors of forecasts are known.
	IsLearned bool
	// IsTimed is set if the durations of the job's tasks are known.
	IsTimed bool
	// Objective is the time within which the job is to end.
	Objective time.Duration
	// Slot is how long the shard works for a job of this kind, which is how often it has room for another one.
	Slot time.Duration
}

// IsHopeless reports whether the job would end after its late limit even if the forecast is too pessimistic.
func (f Forecast) IsHopeless() bool { return f.IsLearned && f.Earliest > LateLimit(f.Objective) }

// Of returns the forecast for a job. Work of each kind is done in the order of the backlog, so a step can't begin before the work of its
// kind that is ahead is done. A step that is wider than the CPU of its kind takes as long as its work does.
func (v View) Of(j workflow.Job, q workflow.QueueSettings) Forecast {
	f := Forecast{IsTimed: true}
	ahead, late := v.Ahead(q.Priority)
	durations, widths := make([]time.Duration, len(j.Steps)), make([]time.Duration, len(j.Steps))
	for i := range j.Steps {
		s := &j.Steps[i]
		fit := v.Fit(Class{BestEffort: s.BestEffort, Queue: j.Queue})
		f.IsTimed = f.IsTimed && fit.IsLearned()
		durations[i] = fit.Expect(s.Estimate)
		work := v.timeFor(WorkOf(s, s.Count, durations[i], fit), s.BestEffort)
		widths[i] = max(durations[i], work)
		f.Slot += work
	}
	f.Objective = Objective(Chain(j.Steps, AtOnce, func(i int) time.Duration { return durations[i] }), q)
	endAfter := func(ahead Work) time.Duration {
		return Chain(j.Steps, func(i int) time.Duration { return v.timeFor(ahead, j.Steps[i].BestEffort) },
			func(i int) time.Duration { return widths[i] })
	}
	if f.End = endAfter(ahead); f.End > f.Objective {
		f.End = endAfter(ahead.Plus(late)) // by then the job is late itself
	}
	// A forecast at its bound means that a kind of tasks has no CPU at the moment, which says little of the time after it.
	f.IsLearned = f.IsTimed && v.Errors.IsLearned() && f.End < maxForecast
	f.Earliest = v.Errors.Earliest(f.End)
	return f
}
