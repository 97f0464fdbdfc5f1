package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/laburnumridge/laburnumridge/internal/fleet"
)

// restartCost is added to the lost run time of each victim. It makes one victim with a slightly older
// checkpoint cheaper than two victims.
const restartCost = 10 * time.Second

// eviction names the victims on one worker.
type eviction struct {
	budgetSpent bool
	cost        float64
	victims     []*Held
	worker      string
}

func (e eviction) ids() []string {
	out := make([]string, 0, len(e.victims))
	for _, h := range e.victims {
		out = append(out, h.ID)
	}
	return out
}

// evict returns the cheapest set of victims on one worker that makes room for t within the budget.
func (p *Placer) evict(v View, t *Task) (eviction, bool) {
	left := p.evictionsLeft(t)
	f := p.filter(v, t)
	var best eviction
	for _, w := range v.workers {
		if f.reject(w) != RejectedCapacity || w.Suspect {
			continue
		}
		victims := victimsOn(w, t)
		if len(victims) == 0 {
			continue
		}
		if len(victims) > left {
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

// victimsOn returns a minimal set of lower-priority batch tasks whose end makes room for t, or nil.
func victimsOn(w *Worker, t *Task) []*Held {
	limit := t.Priority
	if t.IsLatencyCritical() {
		limit = UrgentPriority
	}
	var candidates []*Held
	for i := range w.Tasks {
		if h := &w.Tasks[i]; !h.IsLatencyCritical() && h.Priority < limit {
			candidates = append(candidates, h)
		}
	}
	slices.SortFunc(candidates, func(a, b *Held) int {
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
	return prune(candidates[:n], t, free)
}

// prune drops victims, the costliest first, that are not needed to make room.
func prune(victims []*Held, t *Task, free fleet.Resources) []*Held {
	for i := len(victims) - 1; i >= 0; i-- {
		if less := free.Sub(victims[i].Resources); t.Resources.FitsIn(less) {
			free = less
			victims = slices.Delete(victims, i, i+1)
		}
	}
	return victims
}

// evictionCost grows with the run time that is lost and with the priority of the victim.
func evictionCost(h *Held) float64 {
	return (h.Lost + restartCost).Seconds() * float64(1+h.Priority)
}
