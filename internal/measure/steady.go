package measure

import "time"

// steady runs services and batch work on the same workers.
func steady() scenario {
	return scenario{
		about:    "services and batch work on the same workers",
		aims:     func(r *Report) []Aim { return []Aim{r.urgentAim()} },
		deciding: "worst p99 / target", figure: worstRatio, length: 5 * time.Minute, name: "steady", prepare: usualBatch,
		rows: []string{
			Ours, "round_robin", "least_outstanding", "single_queue", "first_fit", "least_loaded", "none",
			trialAffinity, trialAlpha, trialStatic, trialProbes,
		},
	}
}
