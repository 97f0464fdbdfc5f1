package measure

import (
	"math"
	"time"
)

// noisyWavePeriod is the time between the starts of two waves of noisy tasks. A wave lasts for half of it.
const noisyWavePeriod = 2 * time.Minute

// interferenceScenario gives each pair of service and batch work a slowdown of its own, varies the request rate, and
// submits noisy tasks in waves.
func interferenceScenario() scenario {
	return scenario{
		about: "slowdown per (service, batch work) that shifts with load; reports lag 4 s; noisy tasks in waves",
		aims:  interferenceAims, decidingName: "worst p99 / target", decidingFigure: worstP99Ratio, length: 8 * time.Minute,
		name: "interference", prepare: prepareInterference,
		policies: []string{
			Ours, "round_robin", "least_outstanding", "first_fit", "least_loaded", "none", evictOnSlow,
			trialAffinity, trialNewestWeight, trialColdStart, trialProbeLimit,
		},
	}
}

func prepareInterference(sim *simulation) {
	for _, s := range sim.services {
		// The noisy batch work slows most services severely and some mildly. The values leave the services enough slots at
		// peak load even without mitigation: with stronger interference every policy saturated them.
		coefficient := 0.05
		if sim.truthRNG.Float64() < 0.7 {
			coefficient = 0.3 + 0.5*sim.truthRNG.Float64()
		}
		sim.interferenceByPair[[2]string{s.Name, forecast}] = coefficient
	}
	sim.loadFactor = func(t time.Duration) float64 { return 1 + 0.4*math.Sin(2*math.Pi*t.Minutes()/5) }
	submitUsualBatchWork(sim)
	for from := sim.now; from.Before(sim.end); from = from.Add(noisyWavePeriod) {
		sim.submitPeriodically(forecast, 0.25, from, from.Add(noisyWavePeriod/2), nil)
	}
}

func interferenceAims(r *Report) []Aim {
	ours := r.Row(Ours)
	best, evictingRow := r.bestBaseline(), r.Row(evictOnSlow)
	out := []Aim{r.urgentAim()}
	if ours == nil || best == nil {
		return out
	}
	out = append(out,
		atMost("p99 of services / best baseline ("+best.Policy+")", 0.5, ours.Deciding/best.Deciding))
	if evictingRow != nil {
		out = append(out,
			atMost("evictions / baseline that mitigates ("+evictOnSlow+")", 1.0/3, ours.mean(evictionsFigure)/evictingRow.mean(evictionsFigure)),
			atLeast("batch work / the same baseline", 1, ours.mean(coreSecondsFigure)/evictingRow.mean(coreSecondsFigure)))
	}
	return append(out, atLeast("batch work / best baseline", 1, ours.mean(coreSecondsFigure)/best.mean(coreSecondsFigure)))
}
