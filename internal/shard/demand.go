package shard

import (
	"slices"

	"github.com/laburnumridge/laburnumridge/internal/fleet"
	"github.com/laburnumridge/laburnumridge/internal/workflow"
)

// Demand is what equal tasks need from the workers of a shard.
type Demand struct {
	// Count is the number of tasks.
	Count int
	// IsNew is set for long-running tasks that never ran, for which room for short tasks is kept free.
	IsNew bool
	// IsShort is set for tasks that end, if they move between shards. They leave the room to such tasks of the shard that wait.
	IsShort bool
	// Job and Step name the step of the tasks if it limits them per worker and they move between shards: those that a worker has count.
	Job   string
	Label string
	// PerWorker is the maximum number of the tasks on one worker; 0 means no limit.
	PerWorker int
	Resources fleet.Resources
	Service   string
	Step      int
}

// Requirements returns what the workers of a shard must be able to hold for a job to run there: a task of each step, or all tasks of
// a gang.
func Requirements(j workflow.Job, service string) []Demand {
	var out []Demand
	for i := range j.Steps {
		if d := requirement(&j.Steps[i], service); !slices.Contains(out, d) {
			out = append(out, d)
		}
	}
	return out
}

// requirement returns what must fit at the same time for a step to run.
func requirement(s *workflow.Step, service string) Demand {
	d := demandOf(s, service)
	if !s.Gang {
		d.Count = 1
	}
	return d
}

func demandOf(s *workflow.Step, service string) Demand {
	return Demand{Count: s.Count, Label: s.Label, PerWorker: s.PerWorker, Resources: reservation(s), Service: service}
}

// Suits reports whether the shard's workers could hold each of the demands by itself if they were empty. Workers that drain or
// are in evacuated zones don't count.
func (o *Owner) Suits(demands []Demand) bool {
	return !slices.ContainsFunc(demands, func(d Demand) bool { return !o.holds(d, (*worker).isUsable) })
}

// holds reports whether those of the shard's workers that count could hold a demand if they were empty.
func (o *Owner) holds(d Demand, counts func(*worker) bool) bool {
	n := 0
	for _, w := range o.sortedWorkers() {
		if n < d.Count && counts(w) {
			n += d.fit(w, w.Capacity, d.Count-n)
		}
	}
	return n >= d.Count
}

// suitsStep reports whether the shard's workers could hold a task of a step, or all tasks of a gang, if they were empty. known holds what
// was found for other steps.
func (o *Owner) suitsStep(s *workflow.Step, service string, known map[Demand]bool) bool {
	d := requirement(s, service)
	if _, ok := known[d]; !ok {
		known[d] = o.Suits([]Demand{d})
	}
	return known[d]
}

// fit returns how many of the tasks a worker can hold in some free resources, at most limit.
func (d Demand) fit(w *worker, free fleet.Resources, limit int) int {
	if d.PerWorker > 0 {
		limit = min(limit, d.PerWorker-w.countOf(d.Job, workflow.TaskKey{Step: d.Step}))
	}
	return d.fitIn(w.Worker, free, limit)
}

// FitEmpty returns how many of the tasks, at most limit, a worker of the registry could hold if it were empty. One that drains holds none.
func (d Demand) FitEmpty(w Worker, limit int) int {
	if w.Draining {
		return 0
	}
	if d.PerWorker > 0 {
		limit = min(limit, d.PerWorker)
	}
	return d.fitIn(w, w.Capacity, limit)
}

func (d Demand) fitIn(w Worker, free fleet.Resources, limit int) int {
	if w.Service != d.Service || !w.HasLabel(d.Label) {
		return 0
	}
	n := 0
	for n < limit && d.Resources.FitsIn(free) {
		free = free.Sub(d.Resources)
		n++
	}
	return n
}
