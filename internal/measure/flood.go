package measure

import (
	"time"

	"github.com/laburnumridge/laburnumridge/internal/note"
)

const (
	// floodAfter is when a flood begins; that of batch tasks lasts to the end.
	floodAfter = 5 * time.Minute
	// requestFlood is how long the flood of requests lasts.
	requestFlood = time.Minute
)

// flood sends ten times the capacity of one kind: requests of a service to the admission queue, and tasks
// of a batch work to the job queue.
func flood(urgent bool) scenario {
	name, about := "flood-low", "ten times capacity of the service with the least share and of the least urgent batch work"
	if urgent {
		name, about = "flood-high", "ten times capacity of the service with the largest share and of the most urgent batch work"
	}
	return scenario{
		about: about, aims: floodAims, better: true, deciding: "least kept by another kind", figure: leastKept,
		length: 11 * time.Minute, name: name, prepare: func(w *world) { prepareFlood(w, urgent) },
		rows: []string{Ours, "single_queue", "least_outstanding", "least_loaded", "no_kept_rate"},
	}
}

func prepareFlood(w *world, urgent bool) {
	usualBatch(w)
	service, batch := w.services[0], archive
	for _, s := range w.services {
		if urgent == (s.Share > service.Share) && s.Share != service.Share {
			service = s
		}
	}
	if urgent {
		batch = mostUrgent(w.user).Name
	}
	from := w.now.Add(floodAfter)
	w.figures.floodFrom = from
	w.after(floodAfter, func() {
		w.figures.beginFlood(service.Name, batch)
		capacity := float64(service.Resources.Slots*int64(service.ReplicasPerZone)) / serviceTime(service).Seconds()
		w.arrivals(10*capacity, service.Name, from.Add(requestFlood))
	})
	w.after(floodAfter+requestFlood, w.figures.endRequests)
	w.submissions(batch, 10, from, w.end, nil)
}

// mostUrgent returns the user's own batch work of the highest priority.
func mostUrgent(u user) note.Work {
	best := u.batch[0]
	for _, k := range u.batch {
		if k.Priority > best.Priority {
			best = k
		}
	}
	return best
}

func leastKept(f Figures) float64 {
	least := -1.0
	for _, k := range f.others() {
		if least < 0 || k.Keeps() < least {
			least = k.Keeps()
		}
	}
	return least
}

func floodAims(r *Report) []Aim {
	ours := r.Row(Ours)
	out := []Aim{r.urgentAim()}
	if ours == nil {
		return out
	}
	for i, k := range ours.Runs[0].Kinds {
		if !ours.Runs[0].isFlooding(k.Name) {
			out = append(out, atLeast(k.Name+" keeps", 0.9, ours.mean(func(f Figures) float64 { return f.Kinds[i].Keeps() })))
		}
	}
	if calm := r.calm; calm != nil {
		for i, k := range ours.Runs[0].Kinds {
			if k.P99 > 0 && !ours.Runs[0].isFlooding(k.Name) {
				p99 := func(f Figures) float64 { return f.Kinds[i].P99 }
				out = append(out, atMost("p99 of "+k.Name+" / steady", 1.5, ours.mean(p99)/calm.mean(p99)))
			}
		}
	}
	return append(out,
		atLeast("flooding service of the slots left", 0.9, ours.mean(func(f Figures) float64 { return f.FloodShare[0] })),
		atLeast("flooding batch work of the processors left", 0.9, ours.mean(func(f Figures) float64 { return f.FloodShare[1] })),
		atMost("attempts per request", 1.1, ours.mean(func(f Figures) float64 { return f.Attempts })))
}
