package measure

import "time"

// steadyScenario runs services and batch work on the same workers without any disturbance.
func steadyScenario() scenario {
	return scenario{
		about:        "services and batch work on the same workers",
		aims:         func(r *Report) []Aim { return []Aim{r.urgentAim()} },
		decidingName: "worst p99 / target", decidingFigure: worstP99Ratio, length: 5 * time.Minute, name: "steady", prepare: submitUsualBatchWork,
		policies: []string{
			Ours, "round_robin", "least_outstanding", "single_queue", "first_fit", "least_loaded", "none",
			trialAffinity, trialNewestWeight, trialColdStart, trialProbeLimit,
		},
	}
}
