package locality

import "time"

// Round holds what is known of the racks during one round of placement, in which tasks are considered in the order of their jobs. S
// identifies steps.
type Round[S comparable] struct {
	forecasts map[string]Forecast
	waiting   map[S]int
}

// NewRound returns a round in which nothing is known yet.
func NewRound[S comparable]() *Round[S] {
	return &Round[S]{forecasts: map[string]Forecast{}, waiting: map[S]int{}}
}

// IsDecided reports whether it is decided in this round which tasks of the step wait.
func (r *Round[S]) IsDecided(step S) bool {
	_, ok := r.waiting[step]
	return ok
}

// TakeWait reports whether one more of the tasks of a step waits.
func (r *Round[S]) TakeWait(step S) bool {
	if r.waiting[step] == 0 {
		return false
	}
	r.waiting[step]--
	return true
}

// Forecast returns the forecast of a rack beyond the tasks that are already known to wait for it. It is made once.
func (r *Round[S]) Forecast(rack string, workers func() []Worker) Forecast {
	if _, ok := r.forecasts[rack]; !ok {
		r.forecasts[rack] = NewForecast(workers())
	}
	return r.forecasts[rack]
}

// Candidate is a rack in which the tasks of a step are local.
type Candidate struct {
	Forecast Forecast
	Rack     string
	Task     Task
}

// Decide decides on the tasks of a step, one by one or as a group of the given size. Room that they wait for is not expected to be free for
// steps that come after it in the round.
func (r *Round[S]) Decide(step S, q Question, group int, racks []Candidate) Decision {
	for _, c := range racks {
		q.HasForecast = q.HasForecast || c.Forecast.Workers() > 0
	}
	reserved := Forecast{}
	rack := ""
	q.Starts = func(horizon time.Duration) (starts []time.Duration) {
		for _, c := range racks {
			if group == 0 {
				starts, reserved = c.Forecast.Place(c.Task, q.Count, horizon)
				rack = c.Rack
			} else if at, next, ok := c.Forecast.PlaceGroup(c.Task, group, horizon); ok && (starts == nil || at < starts[0]) {
				starts, reserved, rack = []time.Duration{at}, next, c.Rack
			}
		}
		return starts
	}
	d := Decide(q)
	r.waiting[step] = d.Waits()
	if d.Waits() > 0 {
		r.forecasts[rack] = reserved
	}
	return d
}
