package shard

import (
	"time"

	"github.com/laburnumridge/laburnumridge/internal/forecast"
)

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

// forecastEnd notes when a new job is expected to end, to learn from the error. Long-running and recurring jobs have no such end.
func (o *Owner) forecastEnd(j *job) {
	if f := o.forecastView(j.queue.Service).Of(j.Job, j.queue); f.IsTimed && !j.IsLongRunning() && j.Occurrences == 0 {
		j.forecastEnd = f.End
	}
}

// forecastView returns what forecasts of the ends of a service's jobs need.
func (o *Owner) forecastView(service string) *forecast.View {
	v := &forecast.View{Backlogs: o.waiting[service], Errors: o.learned.Errors(), Fits: o.learned.Fits()}
	for _, w := range o.sortedWorkers() {
		if w.isUsable() && w.Service == service {
			v.BestEffortCPU += max(int64(o.viewOf(w).leftoverCPU), 0)
			v.ReservingCPU += w.Capacity.CPUMilli - w.longRunningCPU
		}
	}
	return v
}
