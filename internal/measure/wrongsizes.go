package measure

import (
	"math"
	"time"
)

// wrongSizesScenario makes the true processor usage and run time of each batch work differ from the declared ones by a
// random factor between 0.1 and 10. recall keeps its declared values, since its starts are measured.
func wrongSizesScenario() scenario {
	return scenario{
		about:        "true processor use and run time of each batch work are 0.1 to 10 times the declared ones",
		aims:         func(r *Report) []Aim { return []Aim{r.urgentAim()} },
		decidingName: "worst p99 / target", decidingFigure: worstP99Ratio, length: 5 * time.Minute, name: "wrong-sizes",
		prepare:  prepareWrongSizes,
		policies: []string{Ours, "round_robin", "least_outstanding", "first_fit", "least_loaded", "none", evictOnSlow},
	}
}

func prepareWrongSizes(sim *simulation) {
	for _, k := range sim.user.batch {
		if k.Name == recall {
			continue
		}
		sim.trueCPUFactor[k.Name] = math.Pow(10, 2*sim.truthRNG.Float64()-1)
		sim.trueRunTimeFactor[k.Name] = math.Pow(10, 2*sim.truthRNG.Float64()-1)
	}
	submitUsualBatchWork(sim)
}
