package measure

import (
	"math"
	"time"
)

// wrongSizes has declared sizes and run times that are off by up to ten times, either way.
func wrongSizes() scenario {
	return scenario{
		about:    "true processor use and run time of each batch work are 0.1 to 10 times the declared ones",
		aims:     func(r *Report) []Aim { return []Aim{r.urgentAim()} },
		deciding: "worst p99 / target", figure: worstRatio, length: 5 * time.Minute, name: "wrong-sizes",
		prepare: prepareWrongSizes,
		rows:    []string{Ours, "round_robin", "least_outstanding", "first_fit", "least_loaded", "none", evictOnSlow},
	}
}

func prepareWrongSizes(w *world) {
	for _, k := range w.user.batch {
		if k.Name == recall {
			continue
		}
		w.trueCPU[k.Name] = math.Pow(10, 2*w.truth.Float64()-1)
		w.trueTime[k.Name] = math.Pow(10, 2*w.truth.Float64()-1)
	}
	usualBatch(w)
}
