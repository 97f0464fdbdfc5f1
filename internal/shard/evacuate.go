package shard

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/laburnumridge/laburnumridge/internal/evacuation"
)

// isUsable reports whether the worker's capacity counts: it is registered and neither drains nor is in an evacuated zone.
func (w *worker) isUsable() bool { return w.registered && !w.Draining && !w.isEvacuated }

// SetEvacuated replaces the set of zones to whose workers nothing is sent. It holds also for workers that are not registered at the moment.
func (o *Owner) SetEvacuated(now time.Time, zones *evacuation.Set) {
	o.now, o.evacuated = now, zones
	for _, w := range o.sortedWorkers() {
		o.updateEvacuated(w)
	}
}

// updateEvacuated notes whether the worker's zone is evacuated. When it becomes so, starts whose outcome is not known are neither sent nor
// repeated: the next listing after the worker accepted a higher token, which invalidates those that are late, shows whether their runs exist.
func (o *Owner) updateEvacuated(w *worker) {
	was := w.isEvacuated
	if w.isEvacuated = o.evacuated.Contains(w.Zone); !w.isEvacuated || was {
		return
	}
	unknown, unsent := 0, 0
	for _, at := range w.attempts {
		switch {
		case at.phase == phaseSent:
			at.phase = phaseInherited
			unknown++
		case !at.isSent():
			unsent++
		}
	}
	if unknown > 0 {
		o.raiseToken(w)
	}
	if len(w.attempts) > 0 {
		o.log.WithFields(logrus.Fields{
			"decision": "evacuate_worker", "worker": w.ID, "runs": len(w.attempts) - unsent, "unknown_starts": unknown, "withdrawn": unsent,
		}).Info("nothing more is sent to the worker, whose zone is evacuated; its runs go on")
	}
}

// withdrawEvacuated removes the attempts on workers in evacuated zones that were not sent, also those that an earlier owner planned.
func (o *Owner) withdrawEvacuated() {
	for _, w := range o.sortedWorkers() {
		if w.isEvacuated && len(w.attempts) > 0 {
			o.dropUnsent(w)
		}
	}
}

// evacuatedRuns returns the number of runs that may still be on the workers of each evacuated zone.
func (o *Owner) evacuatedRuns() map[string]int {
	runs := map[string]int{}
	for _, w := range o.sortedWorkers() {
		if w.isEvacuated && (w.registered || len(w.attempts) > 0) {
			runs[w.Zone] += len(w.sentAttempts())
		}
	}
	return runs
}

// waitsForZone reports whether a task, or its gang, could run on workers in evacuated zones with those of the others that suit it, but not
// without them, even if all were empty. known holds what was found for other tasks.
func (o *Owner) waitsForZone(t *task, known map[Demand]bool) bool {
	d := requirement(t.step, t.job.queue.Service)
	class := d
	if t.job.queue.Advice != nil {
		class.Job, class.Step = t.job.ID, t.key.Step // each step has its own advice
	}
	if _, ok := known[class]; !ok {
		known[class] = !o.holds(d, func(w *worker) bool { return w.isUsable() && !t.isAdvisedAgainst(w) }) &&
			o.holds(d, func(w *worker) bool { return w.registered && !w.Draining && !t.isAdvisedAgainst(w) })
	}
	return known[class]
}
