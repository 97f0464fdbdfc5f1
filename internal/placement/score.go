package placement

import "github.com/laburnumridge/laburnumridge/internal/fleet"

// Weights of the terms of a score. The unweighted terms are roughly in the range 0 to 1, so a slowdown of 10%
// outweighs any difference in the free fraction, and placing a replica in a separate rack outweighs a small slowdown.
const (
	acceleratorWeight = 2.0
	fitWeight         = 1.0
	slowdownWeight    = 10.0
	spreadRackWeight  = 4.0
	spreadHostWeight  = 8.0
	// suspectWeight exceeds the sum of all other terms, so that a suspect worker is chosen last.
	suspectWeight = 100.0
)

// Score rates a worker for a task; lower is better.
type Score struct {
	// FreeFraction is the fraction of the worker that stays free after placement. A lower value packs tasks more
	// tightly and keeps large free blocks on other workers.
	FreeFraction float64 `json:"fit"`
	// Slowdown is the predicted slowdown factor of the services on the worker; 1 means none.
	Slowdown float64 `json:"slowdown"`
	// Spread is the weighted fraction of the service's replicas that already run on the worker or in its rack.
	Spread float64 `json:"spread"`
	// Total is the weighted sum by which workers are ordered.
	Total float64 `json:"total"`
}

func (p *Placer) score(w *Worker, t *Task, existing replicas) Score {
	s := Score{FreeFraction: freeFractionAfter(w, t), Slowdown: 1}
	if p.slowdown != nil {
		s.Slowdown = max(1, p.slowdown(w, t))
	}
	if existing.total > 0 {
		total := float64(existing.total)
		s.Spread = spreadHostWeight*float64(countTasksOf(w, t.Work))/total +
			spreadRackWeight*float64(existing.racks[w.Rack])/total
	}
	s.Total = slowdownWeight*(s.Slowdown-1) + s.Spread + fitWeight*s.FreeFraction
	if t.Resources.Accelerators == 0 && w.Capacity.Accelerators > w.Reserved.Accelerators {
		s.Total += acceleratorWeight
	}
	if w.Suspect {
		s.Total += suspectWeight
	}
	return s
}

// replicas counts the replicas of a service, in total and by rack.
type replicas struct {
	racks map[string]int
	total int
}

func (v View) replicasOf(t *Task) replicas {
	var r replicas
	if !t.IsLatencyCritical() {
		return r
	}
	r.racks = map[string]int{}
	for _, w := range v.workers {
		if n := countTasksOf(w, t.Work); n > 0 {
			r.racks[w.Rack] += n
			r.total += n
		}
	}
	return r
}

func countTasksOf(w *Worker, work string) int {
	n := 0
	for i := range w.Tasks {
		if w.Tasks[i].Work == work {
			n++
		}
	}
	return n
}

// freeFractionAfter returns the mean of the free CPU and free memory fractions of w after t is placed there.
func freeFractionAfter(w *Worker, t *Task) float64 {
	free := func(capacity, reserved, wanted int64) float64 {
		if capacity <= 0 {
			return 0
		}
		return float64(capacity-reserved-wanted) / float64(capacity)
	}
	return (free(w.Capacity.CPUMilli, w.Reserved.CPUMilli, t.Resources.CPUMilli) +
		free(w.Capacity.MemoryMiB, w.Reserved.MemoryMiB, t.Resources.MemoryMiB)) / 2
}

// exceeds reports whether used is above the quota for any resource that has one.
func exceeds(used, quota fleet.Resources) bool {
	over := func(used, quota int64) bool { return quota > 0 && used > quota }
	return over(used.Accelerators, quota.Accelerators) ||
		over(used.Connections, quota.Connections) ||
		over(used.CPUMilli, quota.CPUMilli) ||
		over(used.MemoryMiB, quota.MemoryMiB) ||
		over(used.Slots, quota.Slots)
}
