package locality

import (
	"time"

	"github.com/sirupsen/logrus"
)

// Reason says what a decision follows from.
type Reason string

// Reasons of decisions.
const (
	// ReasonPays means that the wait is expected to be shorter than what it gains.
	ReasonPays Reason = "wait_pays"
	// ReasonOnlyLocalInTime means that only a local placement still meets the objective of the job.
	ReasonOnlyLocalInTime Reason = "only_local_in_time"
	// ReasonNoGain means that local tasks are not known to be faster.
	ReasonNoGain Reason = "no_gain"
	// ReasonNoForecast means that no worker near the data reports what it does.
	ReasonNoForecast Reason = "no_forecast"
	// ReasonUnknownDuration means that it is not known how long the tasks take.
	ReasonUnknownDuration Reason = "unknown_duration"
	// ReasonLate means that no start meets the objective, or that there is none.
	ReasonLate Reason = "objective_passed"
	// ReasonObjectiveNear means that a local placement is expected after the latest start elsewhere that meets the objective.
	ReasonObjectiveNear Reason = "objective_near"
	// ReasonTooLong means that a local placement is expected too late to gain anything.
	ReasonTooLong Reason = "wait_too_long"
)

// Question is what the decision on the tasks of a step that wait depends on.
type Question struct {
	// Count is the number of tasks that are placed one by one, or 1 for a group that is placed at once.
	Count int
	// Duration is the expected duration of a local task.
	Duration time.Duration
	// Factor is how many times as long a task takes elsewhere.
	Factor float64
	// HasForecast is set if workers near the data report what they do.
	HasForecast bool
	// Starts returns when the tasks are expected to find room near their data, up to a horizon, in ascending order.
	Starts func(horizon time.Duration) []time.Duration
	// ToObjective is the time until the tasks have to be done for their job to meet its objective.
	ToObjective time.Duration
	// Waited is how long the first of the tasks has waited for a local placement.
	Waited time.Duration
}

// Decision says which tasks of a step wait for a local placement. The others are placed elsewhere now.
type Decision struct {
	// Elsewhere is the expected duration of a task elsewhere.
	Elsewhere time.Duration
	// Gain is by how much a local task ends earlier.
	Gain time.Duration
	// Limit is the longest time for which to wait from now on.
	Limit  time.Duration
	Reason Reason
	// Starts holds the expected times until the tasks that wait are placed.
	Starts []time.Duration
}

// Waits returns the number of tasks that wait.
func (d Decision) Waits() int { return len(d.Starts) }

// certainShare is the part of the limit of a wait within which a local placement has to be expected: jobs that come later and before the waiting
// one, and runs that take longer than expected, make waits longer. In plays of a hot rack (TestWaitsHelpJobsOfHotRackAndThoseBeside, 32 and 40
// workers) with a share of 1, 11% to 30% of the waits ended elsewhere, with 0.4 none to 10%, and jobs took 8% to 26% longer on average.
const certainShare = 0.4

// Decide weighs the gain of a local placement against the time until one is expected. A task waits for no more than the gain in total, and
// not beyond the latest start elsewhere that meets the objective. If no start elsewhere meets it, it waits only for one near its data that
// does. A job that can't meet its objective doesn't wait.
func Decide(q Question) Decision {
	d := Decision{Elsewhere: time.Duration(q.Factor * float64(q.Duration))}
	d.Gain = d.Elsewhere - q.Duration
	switch {
	case q.Factor <= 1:
		return d.without(ReasonNoGain)
	case q.Duration <= 0:
		return d.without(ReasonUnknownDuration)
	case !q.HasForecast:
		return d.without(ReasonNoForecast)
	case q.ToObjective < q.Duration:
		return d.without(ReasonLate)
	}
	gainLeft, latest := d.Gain-q.Waited, q.ToObjective-d.Elsewhere
	d.Reason = ReasonPays
	if latest < 0 {
		latest, d.Reason = q.ToObjective-q.Duration, ReasonOnlyLocalInTime
	}
	d.Limit = min(gainLeft, latest)
	if d.Starts = q.startsWithin(d.Limit); len(d.Starts) > 0 {
		return d
	}
	if len(q.startsWithin(gainLeft)) > 0 {
		return d.without(ReasonObjectiveNear)
	}
	return d.without(ReasonTooLong)
}

// startsWithin returns the expected starts of the tasks whose wait is expected to take no more than certainShare of a limit.
func (q Question) startsWithin(limit time.Duration) []time.Duration {
	if limit <= 0 {
		return nil
	}
	return q.Starts(time.Duration(certainShare * float64(limit)))
}

func (d Decision) without(r Reason) Decision {
	d.Reason, d.Limit = r, 0
	return d
}

// Fields returns the alternatives, their expected times and the reason of a decision as fields of a log line.
func (d Decision) Fields(q Question) logrus.Fields {
	fields := logrus.Fields{
		"reason": string(d.Reason), "tasks": q.Count, "wait": d.Waits(), "takes_local": q.Duration.String(),
		"takes_elsewhere": d.Elsewhere.String(), "waited": q.Waited.String(), "objective_in": q.ToObjective.String(),
	}
	if d.Waits() > 0 {
		fields["local_in"], fields["at_most"] = d.Starts[d.Waits()-1].String(), d.Limit.String()
	}
	return fields
}
