package shard

import (
	"math"

	"github.com/laburnumridge/laburnumridge/internal/workflow"
)

// Load is what a shard has room for, by which new jobs are spread over shards. Amounts are in thousandths of a core.
type Load struct {
	// Fill is what open tasks that fill ask for; Left is what the others leave them.
	Fill, Left int64
	// Free is what is neither reserved nor asked for by open tasks that reserve; it may be negative.
	Free int64
	// Room is the capacity of all workers.
	Room int64
}

// Load returns the load of now for a service's workers.
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
					case j.Steps[s].Fills:
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

// Suits returns how well a shard with this load suits a job; higher is better.
func (l Load) Suits(j workflow.Job) float64 {
	if l.Room <= 0 {
		return math.Inf(-1)
	}
	for _, s := range j.Steps {
		if s.Fills {
			return float64(l.Left-l.Fill) / float64(l.Room)
		}
	}
	return float64(l.Free) / float64(l.Room)
}
