package shard

import (
	"time"

	"github.com/laburnumridge/laburnumridge/internal/forecast"
)

// backlogWork is the waiting work of the jobs of a service and priority, as of the last sorting of the backlog.
type backlogWork struct {
	priority int
	service  string
}

func classOf(j *job, step int) forecast.Class {
	return forecast.Class{BestEffort: j.Steps[step].BestEffort, Queue: j.Queue}
}

// expected returns how long a task of a step takes: as long as those of the step that are done, else as learned from others of its queue.
func (o *Owner) expected(j *job, occ *occurrence, step int) time.Duration {
	if occ != nil && occ.times[step].count > 0 {
		return occ.times[step].mean()
	}
	return o.learned.Fit(classOf(j, step)).Expect(j.Steps[step].Estimate)
}

// work returns the work that is left of a job, and the part of it that waits, in core milliseconds.
func (o *Owner) work(j *job) (left, waits forecast.Work) {
	for _, occ := range j.occurrences {
		for i, undone := range occ.undone {
			s := &j.Steps[i]
			if undone == 0 || s.LongRunning {
				continue
			}
			expected, fit := o.expected(j, occ, i), o.learned.Fit(classOf(j, i))
			left = left.Plus(forecast.WorkOf(s, undone, expected, fit))
			if occ.ready[i] {
				for _, t := range occ.tasks[i] {
					if !t.done && !t.isWaiting() {
						undone--
					}
				}
			}
			waits = waits.Plus(forecast.WorkOf(s, undone, expected, fit))
		}
	}
	return left, waits
}

// observeDuration learns from the end of a task's first run. Later ones may have begun at a checkpoint.
func (o *Owner) observeDuration(at *attempt, took time.Duration) {
	if at.run != 1 {
		return
	}
	s, share := at.task.step, 1.0
	if s.BestEffort {
		share = cpuFraction(at.worker, at) * float64(at.worker.Capacity.CPUMilli) / float64(max(s.Resources.CPUMilli, 1))
	}
	o.learned.Observe(classOf(at.task.job, at.task.key.Step), s.Estimate, took, share)
}

// forecastEnd notes when a new job is expected to end, to learn from the error. Other jobs than those that run once have no such end.
func (o *Owner) forecastEnd(j *job) {
	if j.IsLongRunning() || j.Occurrences != 0 {
		return
	}
	if f := o.forecastView(j.queue.Service).Of(j.Job, j.queue); f.IsTimed {
		j.forecastEnd = f.End
	}
}

func (o *Owner) observeForecast(j *job) {
	if j.forecastEnd > 0 {
		o.learned.ObserveEnd(j.forecastEnd, o.now.Sub(j.acceptedAt))
	}
}

// services returns the services whose waiting work is known.
func (o *Owner) services() map[string]bool {
	out := map[string]bool{}
	for k := range o.waitingWork {
		out[k.service] = true
	}
	return out
}

// forecastView returns what forecasts of the ends of a service's jobs need.
func (o *Owner) forecastView(service string) *forecast.View {
	v := &forecast.View{Errors: o.learned.Errors(), Fits: o.learned.Fits()}
	for _, w := range o.sortedWorkers() {
		if w.isUsable() && w.Service == service {
			v.BestEffortCPU += max(int64(o.viewOf(w).leftoverCPU), 0)
			v.ReservingCPU += w.Capacity.CPUMilli - w.longRunningCPU
		}
	}
	for k, work := range o.waitingWork {
		if k.service == service {
			v.Backlogs = append(v.Backlogs, forecast.Backlog{Priority: k.priority, Work: work})
		}
	}
	return v
}
