package measure

import (
	"math/rand/v2"
	"time"
)

// badWorkers has workers that fail everything quickly, and jobs that can never run.
func badWorkers() scenario {
	return scenario{
		about:    "a sixth of the workers fails everything quickly; a tenth of the jobs fails everywhere; one job fits nowhere",
		aims:     badWorkerAims,
		deciding: "starts lost to bad workers", figure: func(f Figures) float64 { return f.LostStarts }, length: 5 * time.Minute,
		name: "bad-workers", prepare: prepareBadWorkers,
		rows: []string{
			Ours, "fixed_blacklist", "round_robin", "least_outstanding", "first_fit", "least_loaded",
			trialAffinity, trialAlpha, trialStatic, trialProbes,
		},
	}
}

func prepareBadWorkers(w *world) {
	for i, n := range w.truth.Perm(len(w.backends))[:len(w.backends)/6] {
		b := w.backends[n]
		b.bad = true
		if i == 0 {
			w.after(4*time.Minute, func() { b.bad = false })
		}
	}
	rng := rand.New(rand.NewPCG(w.truth.Uint64(), 5))
	var job string
	var fails bool
	w.owner.change = func(t *task) {
		if t.Job != job {
			job, fails = t.Job, rng.Float64() < 0.1
		}
		t.fails = fails && t.Work != recall
	}
	// The fleet is full from the start, so that the bad workers fail tasks in the first minute.
	for range len(w.backends) {
		w.owner.submit(archive, nil)
		w.owner.submit(forecast, nil)
	}
	usualBatch(w)
	w.after(time.Minute, func() {
		w.owner.submit(archive, func(t *task) { t.Resources.CPUMilli = 2 * w.user.worker.CPUMilli })
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
