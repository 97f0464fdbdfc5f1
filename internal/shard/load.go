package shard

import (
	"math"

	"github.com/laburnumridge/laburnumridge/internal/workflow"
)

// Load summarizes the free capacity of a shard, by which new jobs are distributed over the shards. All amounts are in
// thousandths of a core.
type Load struct {
	// Fill is the CPU demand of unfinished best-effort tasks. Left is the CPU that the other tasks leave to them.
	Fill, Left int64
	// Free is the CPU that is neither reserved nor requested by waiting tasks that reserve CPU. It may be negative.
	Free int64
	// Room is the total capacity of the workers.
	Room int64
}

// Load returns the current load of the workers of a service.
func (o *Owner) Load(service string) Load {
	var l Load
	for _, w := range o.workers {
		if w.registered && !w.Draining && w.Service == service {
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
					}
				}
			}
		}
	}
	return l
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
