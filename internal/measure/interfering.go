package measure

import (
	"math"
	"time"
)

// noisyEvery is the period of the waves of noisy tasks, which last for half of it.
const noisyEvery = 2 * time.Minute

// interfering slows services down by pair, with load that shifts and noisy tasks that come in waves.
func interfering() scenario {
	return scenario{
		about: "slowdown per (service, batch work) that shifts with load; reports lag 4 s; noisy tasks in waves",
		aims:  interferenceAims, deciding: "worst p99 / target", figure: worstRatio, length: 8 * time.Minute,
		name: "interference", prepare: prepareInterference,
		rows: []string{
			Ours, "round_robin", "least_outstanding", "first_fit", "least_loaded", "none", evictOnSlow,
			trialAffinity, trialAlpha, trialStatic, trialProbes,
		},
	}
}

func prepareInterference(w *world) {
	for _, s := range w.services {
		// The noisy work is severe beside most services and mild beside some. At the peak load the services
		// still have the slots that they need without any mitigation.
		c := 0.05
		if w.truth.Float64() < 0.7 {
			c = 0.3 + 0.5*w.truth.Float64()
		}
		w.pairs[[2]string{s.Name, forecast}] = c
	}
	w.loadShift = func(t time.Duration) float64 { return 1 + 0.4*math.Sin(2*math.Pi*t.Minutes()/5) }
	usualBatch(w)
	for from := w.now; from.Before(w.end); from = from.Add(noisyEvery) {
		w.submissions(forecast, 0.25, from, from.Add(noisyEvery/2), nil)
	}
}

func interferenceAims(r *Report) []Aim {
	ours := r.Row(Ours)
	best, bestEvicting := r.bestBaseline(), r.Row(evictOnSlow)
	out := []Aim{r.urgentAim()}
	if ours == nil || best == nil {
		return out
	}
	out = append(out,
		atMost("p99 of services / best baseline ("+best.Policy+")", 0.5, ours.Deciding/best.Deciding))
	if bestEvicting != nil {
		out = append(out,
			atMost("evictions / baseline that mitigates ("+evictOnSlow+")", 1.0/3, ours.mean(evictionsOf)/bestEvicting.mean(evictionsOf)),
			atLeast("batch work / the same baseline", 1, ours.mean(workOf)/bestEvicting.mean(workOf)))
	}
	return append(out, atLeast("batch work / best baseline", 1, ours.mean(workOf)/best.mean(workOf)))
}
