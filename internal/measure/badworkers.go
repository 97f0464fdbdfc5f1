package measure

import (
	"math/rand/v2"
	"time"
)

// badWorkersScenario has workers that fail every task and request at once, jobs whose tasks fail on every worker, and a
// job that is larger than any worker. It measures whether failures are attributed to the worker or to the job.
func badWorkersScenario() scenario {
	return scenario{
		about:        "a sixth of the workers fails everything quickly; a tenth of the jobs fails everywhere; one job fits nowhere",
		aims:         badWorkerAims,
		decidingName: "starts lost to bad workers", decidingFigure: func(f Figures) float64 { return f.LostStarts }, length: 5 * time.Minute,
		name: "bad-workers", prepare: prepareBadWorkers,
		policies: []string{
			Ours, "fixed_blacklist", "round_robin", "least_outstanding", "first_fit", "least_loaded",
			trialAffinity, trialNewestWeight, trialColdStart, trialProbeLimit,
		},
	}
}

func prepareBadWorkers(sim *simulation) {
	for i, n := range sim.truthRNG.Perm(len(sim.workers))[:len(sim.workers)/6] {
		w := sim.workers[n]
		w.failsAll = true
		if i == 0 {
			sim.after(4*time.Minute, func() { w.failsAll = false })
		}
	}
	rng := rand.New(rand.NewPCG(sim.truthRNG.Uint64(), 5))
	var job string
	var fails bool
	sim.owner.modifyTask = func(t *task) {
		if t.Job != job {
			job, fails = t.Job, rng.Float64() < 0.1
		}
		t.failsEverywhere = fails && t.Work != recall
	}
	// Fill the fleet at the start. Otherwise the bad workers stay empty during the first minute, and most of their
	// failures fall into the measured time.
	for range len(sim.workers) {
		sim.owner.submitJob(archive, nil)
		sim.owner.submitJob(forecast, nil)
	}
	submitUsualBatchWork(sim)
	sim.after(time.Minute, func() {
		sim.owner.submitJob(archive, func(t *task) { t.Resources.CPUMilli = 2 * sim.user.workerCapacity.CPUMilli })
	})
}

func badWorkerAims(r *Report) []Aim {
	out := []Aim{r.urgentAim()}
	if ours := r.Row(Ours); ours != nil {
		out = append(out,
			atMost("starts lost to bad workers", 0.02, ours.mean(func(f Figures) float64 { return f.LostStarts })),
			atMost("healthy workers quarantined (worst seed)", 0, ours.worst(func(f Figures) float64 { return float64(f.QuarantinedHealthy) })),
			atMost("attempts per request", 1.1, ours.mean(func(f Figures) float64 { return f.Attempts })))
	}
	return out
}
