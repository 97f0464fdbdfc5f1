package measure

import (
	"time"

	"github.com/laburnumridge/laburnumridge/internal/note"
)

const (
	// floodStart is the time in the run at which the floods begin. The flood of batch tasks lasts to the end.
	floodStart = 5 * time.Minute
	// requestFloodDuration is how long the flood of requests lasts.
	requestFloodDuration = time.Minute
)

// floodScenario floods the admission queue with requests of one service, and the job queue with tasks of one batch work,
// each at ten times the capacity. It measures how much of its throughput every other work retains. With urgent set, the
// service with the largest share and the most urgent batch work flood, and otherwise the service with the smallest share
// and the least urgent batch work.
func floodScenario(urgent bool) scenario {
	name, about := "flood-low", "ten times capacity of the service with the least share and of the least urgent batch work"
	if urgent {
		name, about = "flood-high", "ten times capacity of the service with the largest share and of the most urgent batch work"
	}
	return scenario{
		about: about, aims: floodAims, higherIsBetter: true, decidingName: "least kept by another kind", decidingFigure: leastRetained,
		length: 11 * time.Minute, name: name, prepare: func(sim *simulation) { prepareFlood(sim, urgent) },
		policies: []string{Ours, "single_queue", "least_outstanding", "least_loaded", "no_kept_rate"},
	}
}

func prepareFlood(sim *simulation, urgent bool) {
	submitUsualBatchWork(sim)
	service, batch := sim.services[0], archive
	for _, s := range sim.services {
		if urgent == (s.Share > service.Share) && s.Share != service.Share {
			service = s
		}
	}
	if urgent {
		batch = mostUrgentBatchWork(sim.user).Name
	}
	from := sim.now.Add(floodStart)
	sim.recorder.disturbanceStart = from
	sim.after(floodStart, func() {
		sim.recorder.floodStarted(service.Name, batch)
		capacity := float64(service.Resources.Slots*int64(service.ReplicasPerZone)) / meanServiceTime(service).Seconds()
		sim.generateRequests(10*capacity, service.Name, from.Add(requestFloodDuration))
	})
	sim.after(floodStart+requestFloodDuration, sim.recorder.requestFloodEnded)
	sim.submitPeriodically(batch, 10, from, sim.end, nil)
}

// mostUrgentBatchWork returns the batch work with the highest priority; of equal ones the user's own comes before those
// that the simulation adds.
func mostUrgentBatchWork(u user) note.Work {
	best := u.batch[0]
	for _, k := range u.batch {
		if k.Priority > best.Priority {
			best = k
		}
	}
	return best
}

// leastRetained returns the smallest RetainedFraction among the works that do not flood.
func leastRetained(f Figures) float64 {
	least := -1.0
	for _, k := range f.notFlooding() {
		if least < 0 || k.RetainedFraction() < least {
			least = k.RetainedFraction()
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
	for i, k := range ours.Runs[0].Works {
		if !ours.Runs[0].isFlooding(k.Name) {
			out = append(out, atLeast(k.Name+" keeps", 0.9, ours.mean(func(f Figures) float64 { return f.Works[i].RetainedFraction() })))
		}
	}
	if steadyRow := r.steadyRow; steadyRow != nil {
		for i, k := range ours.Runs[0].Works {
			if k.P99 > 0 && !ours.Runs[0].isFlooding(k.Name) {
				p99 := func(f Figures) float64 { return f.Works[i].P99 }
				out = append(out, atMost("p99 of "+k.Name+" / steady", 1.5, ours.mean(p99)/steadyRow.mean(p99)))
			}
		}
	}
	return append(out,
		atLeast("flooding service of the slots left", 0.9, ours.mean(func(f Figures) float64 { return f.FloodShare[0] })),
		atLeast("flooding batch work of the processors left", 0.9, ours.mean(func(f Figures) float64 { return f.FloodShare[1] })),
		atMost("attempts per request", 1.1, ours.mean(func(f Figures) float64 { return f.Attempts })))
}
