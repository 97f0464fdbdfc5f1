package placement

import "github.com/laburnumridge/laburnumridge/internal/fleet"

// Weights of the parts of a score. Each part is about 0 to 1, so a slowdown of 10% outweighs a perfect
// fit, and a replica in another rack outweighs a small slowdown.
const (
	acceleratorWeight = 2.0
	fitWeight         = 1.0
	slowdownWeight    = 10.0
	spreadRackWeight  = 4.0
	spreadHostWeight  = 8.0
	// suspectWeight exceeds every other part, so that a suspect worker is the last choice.
	suspectWeight = 100.0
)

// Score rates a worker for a task; less is better.
type Score struct {
	// Fit is the fraction of the worker that would stay free; less keeps large blocks free elsewhere.
	Fit float64 `json:"fit"`
	// Slowdown is the predicted slowdown of the services there; 1 means none.
	Slowdown float64 `json:"slowdown"`
	// Spread is the share of the service's replicas that are on the worker or in its rack.
	Spread float64 `json:"spread"`
	Total  float64 `json:"total"`
}

func (p *Placer) score(w *Worker, t *Task, spread replicas) Score {
	s := Score{Fit: freeAfter(w, t), Slowdown: 1}
	if p.slowdown != nil {
		s.Slowdown = max(1, p.slowdown(w, t))
	}
	if spread.total > 0 {
		total := float64(spread.total)
		s.Spread = spreadHostWeight*float64(countWork(w, t.Work))/total +
			spreadRackWeight*float64(spread.racks[w.Rack])/total
	}
	s.Total = slowdownWeight*(s.Slowdown-1) + s.Spread + fitWeight*s.Fit
	if t.Resources.Accelerators == 0 && w.Capacity.Accelerators > w.Reserved.Accelerators {
		s.Total += acceleratorWeight
	}
	if w.Suspect {
		s.Total += suspectWeight
	}
	return s
}

// replicas counts the replicas of one service by rack.
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
		if n := countWork(w, t.Work); n > 0 {
			r.racks[w.Rack] += n
			r.total += n
		}
	}
	return r
}

func countWork(w *Worker, work string) int {
	n := 0
	for i := range w.Tasks {
		if w.Tasks[i].Work == work {
			n++
		}
	}
	return n
}

// freeAfter returns the mean free fraction of processors and memory once t is placed.
func freeAfter(w *Worker, t *Task) float64 {
	free := func(capacity, reserved, wanted int64) float64 {
		if capacity <= 0 {
			return 0
		}
		return float64(capacity-reserved-wanted) / float64(capacity)
	}
	return (free(w.Capacity.CPUMilli, w.Reserved.CPUMilli, t.Resources.CPUMilli) +
		free(w.Capacity.MemoryMiB, w.Reserved.MemoryMiB, t.Resources.MemoryMiB)) / 2
}

// exceeds reports whether used is above the quota in a dimension for which one is set.
func exceeds(used, quota fleet.Resources) bool {
	over := func(used, quota int64) bool { return quota > 0 && used > quota }
	return over(used.Accelerators, quota.Accelerators) ||
		over(used.Connections, quota.Connections) ||
		over(used.CPUMilli, quota.CPUMilli) ||
		over(used.MemoryMiB, quota.MemoryMiB) ||
		over(used.Slots, quota.Slots)
}
