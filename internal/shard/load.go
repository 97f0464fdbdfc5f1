package shard

import (
	"math"
	"time"

	"github.com/laburnumridge/laburnumridge/internal/forecast"
	"github.com/laburnumridge/laburnumridge/internal/workflow"
)

// Load summarizes the free capacity of a shard, by which new jobs are distributed over the shards. All amounts are in
// thousandths of a core.
type Load struct {
	// Expected is the part of the demand that belongs to jobs for which the shard was chosen and which have not come yet.
	Expected int64
	// Fill is the CPU demand of unfinished best-effort tasks. Left is the CPU that the other tasks leave to them.
	Fill, Left int64
	// Forecast is what forecasts of the ends of jobs need; nil if it is not known.
	Forecast *forecast.View
	// Free is the CPU that is neither reserved nor requested by waiting tasks that reserve CPU. It may be negative.
	Free int64
	// Interrupted is the number of long-running tasks that ran before and have waited for a worker for longer than
	// minInterruptedWait.
	Interrupted int
	// Room is the total capacity of the workers.
	Room int64
}

// minInterruptedWait is how long an interrupted task may wait for its next run, as most do, before it counts in Load.Interrupted.
const minInterruptedWait = 500 * time.Millisecond

// Load returns the current load of the workers of a service.
func (o *Owner) Load(service string) Load {
	l := Load{Forecast: o.forecastView(service)}
	for _, w := range o.workers {
		if w.isUsable() && w.Service == service {
			l.Room += w.Capacity.CPUMilli
			l.Free += w.Capacity.CPUMilli - w.reserved.CPUMilli
			l.Left += int64(o.viewOf(w).leftoverCPU)
		}
	}
	for _, j := range o.jobs {
		if j.final != "" || j.queue.Service != service {
			continue
		}
		for _, occ := range j.occurrences {
			for s, tasks := range occ.tasks {
				cpu := j.Steps[s].Resources.CPUMilli
				for _, t := range tasks {
					switch {
					case t.done:
					case j.Steps[s].BestEffort:
						l.Fill += cpu
					case occ.ready[s] && t.isWaiting():
						l.Free -= cpu
						if t.isInterrupted() && !t.waitingSince.IsZero() && o.now.Sub(t.waitingSince) > minInterruptedWait {
							l.Interrupted++
						}
					}
				}
			}
		}
	}
	return l
}

// WithJob returns the load once a new job is added.
func (l Load) WithJob(j workflow.Job) Load {
	for _, s := range j.Steps {
		switch cpu := int64(s.Count) * s.Resources.CPUMilli; {
		case s.BestEffort:
			l.Fill += cpu
		case len(s.After) == 0:
			l.Free -= cpu
		}
	}
	return l
}

// WithExpected returns the load with the demand of jobs that are expected, given as the load of a shard that has nothing else.
func (l Load) WithExpected(e Load) Load {
	l.Expected += e.Fill - e.Free
	l.Fill += e.Fill
	l.Free += e.Free
	return l
}

// minSpan is the difference between the suitabilities of two shards from which all jobs go to the better one, if none is expected.
const minSpan = 0.02

// Preference returns the probability with which a job goes to a shard with this load rather than to one with the other load. The more
// jobs are on their way, the less a difference says: hosts that choose at the same time see the same loads, and would all choose
// the same shard.
func (l Load) Preference(other Load, j workflow.Job) float64 {
	own, others := l.Suitability(j), other.Suitability(j)
	switch {
	case math.IsInf(own, -1) && math.IsInf(others, -1):
		return 0.5
	case math.IsInf(own, -1):
		return 0
	case math.IsInf(others, -1):
		return 1
	}
	span := minSpan + float64(l.Expected)/float64(l.Room) + float64(other.Expected)/float64(other.Room)
	return min(max(0.5+(own-others)/(2*span), 0), 1)
}

// Suitability returns how suitable a shard with this load is for a job; higher is better.
func (l Load) Suitability(j workflow.Job) float64 {
	if l.Room <= 0 {
		return math.Inf(-1)
	}
	for _, s := range j.Steps {
		if s.BestEffort {
			return float64(l.Left-l.Fill) / float64(l.Room)
		}
	}
	return float64(l.Free) / float64(l.Room)
}
