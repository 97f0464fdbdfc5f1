package measure

import (
	"maps"
	"slices"
	"time"

	"github.com/laburnumridge/laburnumridge/internal/admission"
	"github.com/laburnumridge/laburnumridge/internal/fleet"
)

const (
	// leavingNotice is how long the host list marks a worker as leaving before an announced restart.
	leavingNotice   = 10 * time.Second
	restartDuration = 10 * time.Second
)

// restartWaveScenario restarts the workers and then the entry hosts one after another, and cancels half of the jobs at
// intervals.
func restartWaveScenario() scenario {
	return scenario{
		about:        "workers restart one after another, half of them unannounced; then entry hosts; cancellations in waves",
		aims:         func(r *Report) []Aim { return []Aim{r.urgentAim()} },
		decidingName: "requests not answered", decidingFigure: unansweredFraction, length: 6 * time.Minute, name: "restart-wave",
		prepare: prepareRestartWave,
		policies: []string{
			Ours, "round_robin", "least_outstanding", "first_fit", "least_loaded",
			trialAffinity, trialNewestWeight, trialColdStart, trialProbeLimit,
		},
	}
}

func prepareRestartWave(sim *simulation) {
	submitUsualBatchWork(sim)
	at := warmUp
	for i, w := range sim.workers {
		if i%2 == 0 {
			sim.after(at-leavingNotice, func() { w.State = fleet.StateLeaving })
		}
		sim.after(at, func() { sim.restartWorker(w) })
		at += restartDuration
	}
	for _, e := range sim.entryHosts {
		sim.after(at, func() { e.stop() })
		sim.after(at+restartDuration, func() { e.down = false })
		at += 2 * restartDuration
	}
	for wave := 80 * time.Second; wave < sim.end.Sub(runStart); wave += 80 * time.Second {
		sim.after(wave, sim.cancelEverySecondJob)
	}
}

// cancelEverySecondJob cancels every second unfinished job, except those of recall, whose starts are measured.
func (sim *simulation) cancelEverySecondJob() {
	jobs := map[string]bool{}
	for _, t := range sim.owner.tasks {
		if t.Work != recall {
			jobs[t.Job] = true
		}
	}
	for i, id := range slices.Sorted(maps.Keys(jobs)) {
		if i%2 == 0 {
			sim.owner.cancelJob(id)
		}
	}
}

// restartWorker takes a worker down for restartDuration. Its tasks are requeued without progress only when it is back,
// because only the new boot id proves that their attempts have ended.
func (sim *simulation) restartWorker(w *simWorker) {
	w.down = true
	sim.after(restartDuration, func() {
		w.down, w.State = false, fleet.StateLive
		for _, t := range slices.Clone(w.running) {
			sim.owner.removeFromWorker(t)
			t.remainingSeconds = t.work.RunTime.Seconds() * oneIfZero(sim.trueRunTimeFactor[t.Work])
			sim.owner.requeue(t, 0)
		}
	})
}

// stop takes an entry host down. All its unfinished requests count as not answered.
func (e *entryHost) stop() {
	e.down = true
	for _, id := range slices.Sorted(maps.Keys(e.requests)) {
		r := e.requests[id]
		if r != nil && !e.admission.Cancel(id) {
			e.finish(r, admission.ResultFailed)
		} else if r != nil {
			e.refuse(r)
		}
	}
}

// unansweredFraction returns the fraction of all requests that were refused or failed.
func unansweredFraction(f Figures) float64 {
	refused, offered := 0, 0
	for _, k := range f.Works {
		refused, offered = refused+k.Refused, offered+k.Offered
	}
	return float64(refused) / float64(max(1, offered))
}
