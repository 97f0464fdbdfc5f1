package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/laburnumridge/laburnumridge/internal/fleet"
)

// restartPenalty is added to the lost run time of each victim, so that evicting one task with a slightly older
// checkpoint costs less than evicting two tasks.
const restartPenalty = 10 * time.Second

// eviction is a set of tasks on one worker that are to be evicted.
type eviction struct {
	// budgetSpent is set if some worker was excluded because the budget allows too few evictions.
	budgetSpent bool
	cost        float64
	victims     []*PlacedTask
	worker      string
}

func (e eviction) victimIDs() []string {
	out := make([]string, 0, len(e.victims))
	for _, h := range e.victims {
		out = append(out, h.ID)
	}
	return out
}

// cheapestEviction returns, over all workers, the set of victims with the lowest cost that frees enough
// capacity for t and stays within the eviction budget.
func (p *Placer) cheapestEviction(v View, t *Task) (eviction, bool) {
	budget := p.evictionsLeft(t)
	f := p.newFilter(v, t)
	var best eviction
	for _, w := range v.workers {
		if f.reject(w) != RejectedCapacity || w.Suspect {
			continue
		}
		victims := victimsOn(w, t)
		if len(victims) == 0 {
			continue
		}
		if len(victims) > budget {
			best.budgetSpent = true
			continue
		}
		cost := 0.0
		for _, h := range victims {
			cost += evictionCost(h)
		}
		if best.worker == "" || cost < best.cost {
			best.cost, best.victims, best.worker = cost, victims, w.ID
		}
	}
	return best, best.worker != ""
}

// victimsOn returns a minimal set of lower-priority batch tasks on w whose eviction frees enough capacity for
// t, or nil if there is none.
func victimsOn(w *Worker, t *Task) []*PlacedTask {
	limit := t.Priority
	if t.IsLatencyCritical() {
		limit = UrgentPriority
	}
	var candidates []*PlacedTask
	for i := range w.Tasks {
		if h := &w.Tasks[i]; !h.IsLatencyCritical() && h.Priority < limit {
			candidates = append(candidates, h)
		}
	}
	slices.SortFunc(candidates, func(a, b *PlacedTask) int {
		return cmp.Or(cmp.Compare(evictionCost(a), evictionCost(b)), cmp.Compare(a.ID, b.ID))
	})
	free := w.Free()
	n := 0
	for ; n < len(candidates) && !t.Resources.FitsIn(free); n++ {
		free = free.Add(candidates[n].Resources)
	}
	if !t.Resources.FitsIn(free) {
		return nil
	}
	return dropUnneededVictims(candidates[:n], t, free)
}

// dropUnneededVictims removes victims, the most expensive first, as long as t still fits without evicting them.
func dropUnneededVictims(victims []*PlacedTask, t *Task, free fleet.Resources) []*PlacedTask {
	for i := len(victims) - 1; i >= 0; i-- {
		if remaining := free.Sub(victims[i].Resources); t.Resources.FitsIn(remaining) {
			free = remaining
			victims = slices.Delete(victims, i, i+1)
		}
	}
	return victims
}

// evictionCost increases with the run time lost since the last checkpoint and with the priority of the victim.
func evictionCost(h *PlacedTask) float64 {
	return (h.UnsavedRunTime + restartPenalty).Seconds() * float64(1+h.Priority)
}
