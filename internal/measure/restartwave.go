package measure

import (
	"maps"
	"slices"
	"time"

	"github.com/laburnumridge/laburnumridge/internal/admission"
	"github.com/laburnumridge/laburnumridge/internal/fleet"
)

const (
	// leavingTime is how long the host list shows a worker as leaving before it restarts.
	leavingTime = 10 * time.Second
	restartTime = 10 * time.Second
)

// restartWave restarts all workers and entry hosts one after another, while jobs are cancelled in waves.
func restartWave() scenario {
	return scenario{
		about:    "workers restart one after another, half of them unannounced; then entry hosts; cancellations in waves",
		aims:     func(r *Report) []Aim { return []Aim{r.urgentAim()} },
		deciding: "requests not answered", figure: refusedPart, length: 6 * time.Minute, name: "restart-wave",
		prepare: prepareRestarts,
		rows: []string{
			Ours, "round_robin", "least_outstanding", "first_fit", "least_loaded",
			trialAffinity, trialAlpha, trialStatic, trialProbes,
		},
	}
}

func prepareRestarts(w *world) {
	usualBatch(w)
	at := warmUp
	for i, b := range w.backends {
		if i%2 == 0 {
			w.after(at-leavingTime, func() { b.State = fleet.StateLeaving })
		}
		w.after(at, func() { w.restart(b) })
		at += restartTime
	}
	for _, e := range w.entries {
		w.after(at, func() { e.stop() })
		w.after(at+restartTime, func() { e.down = false })
		at += 2 * restartTime
	}
	for wave := 80 * time.Second; wave < w.end.Sub(epoch); wave += 80 * time.Second {
		w.after(wave, w.cancelHalf)
	}
}

// cancelHalf cancels every second job that waits or runs, but for the watched urgent ones.
func (w *world) cancelHalf() {
	jobs := map[string]bool{}
	for _, t := range w.owner.tasks {
		if t.Work != recall {
			jobs[t.Job] = true
		}
	}
	for i, id := range slices.Sorted(maps.Keys(jobs)) {
		if i%2 == 0 {
			w.owner.cancel(id)
		}
	}
}

// restart stops all that runs on a worker; its new boot id then proves that nothing runs there.
func (w *world) restart(b *backend) {
	b.down = true
	w.after(restartTime, func() {
		b.down, b.State = false, fleet.StateLive
		for _, t := range slices.Clone(b.running) {
			w.owner.remove(t)
			t.left = t.work.RunTime.Seconds() * orOne(w.trueTime[t.Work])
			w.owner.requeue(t, 0)
		}
	})
}

// stop ends an entry host; its requests in flight get no answer.
func (e *entry) stop() {
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

func refusedPart(f Figures) float64 {
	refused, offered := 0, 0
	for _, k := range f.Kinds {
		refused, offered = refused+k.Refused, offered+k.Offered
	}
	return float64(refused) / float64(max(1, offered))
}
