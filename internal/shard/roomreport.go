package shard

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/laburnumridge/laburnumridge/internal/fleet"
)

// roomCounts counts the places that the workers of a shard have for a task, by what becomes of them.
type roomCounts struct {
	// stopping places are used by runs that are being stopped.
	stopping int
	// planned places are free until a planned or recorded attempt is sent.
	planned int
	// refused places are free on workers that get no tasks, and held ones on workers that are held for other tasks.
	refused, held int
	// suitable places are free for the next placement round.
	suitable int
}

// Report logs what tasks wait for. It is to be called about once a second.
func (o *Owner) Report(now time.Time) {
	o.contain(now, "report_waits", func() { o.ReportWaits(now) })
	o.contain(now, "report_room", func() { o.ReportRoom(now) })
}

// ReportRoom logs for how many tasks like the one that has waited longest the workers have room, if an interrupted task waits. It tells
// room on its way from one run to the next from room that nobody uses. It is to be called about once a second.
func (o *Owner) ReportRoom(now time.Time) {
	var longest *task
	waiting := 0
	for _, j := range o.backlog {
		if o.jobs[j.ID] != j || !j.IsLongRunning() {
			continue
		}
		for _, t := range interruptedTasks(j.readyTasks()) {
			waiting++
			if !t.waitingSince.IsZero() && (longest == nil || t.waitingSince.Before(longest.waitingSince)) {
				longest = t
			}
		}
	}
	if longest == nil {
		return
	}
	var n roomCounts
	for _, w := range o.sortedWorkers() {
		if w.isUsable() && w.Service == longest.job.queue.Service && w.HasLabel(longest.step.Label) {
			w.countRoom(now, longest, &n)
		}
	}
	o.log.WithFields(logrus.Fields{
		"decision": "room", "job": longest.job.ID, "task": longest.key.String(), "waited": now.Sub(longest.waitingSince).String(),
		"cpu_milli": longest.step.Resources.CPUMilli, "waiting": waiting, "stopping": n.stopping, "planned": n.planned,
		"refused": n.refused, "held": n.held, "suitable": n.suitable,
	}).Info("room for the interrupted task that has waited longest")
}

// countRoom adds the worker's places for a task.
func (w *worker) countRoom(now time.Time, t *task, n *roomCounts) {
	unsent, stopping := fleet.Resources{}, fleet.Resources{}
	for _, at := range w.attempts {
		switch {
		case !at.isSent():
			unsent = unsent.Add(reservation(at.task.step))
		case at.phase == phaseStopping || at.phase == phaseStopped:
			stopping = stopping.Add(reservation(at.task.step))
		}
	}
	unreserved := w.Capacity.Sub(w.reserved)
	notSent := unreserved.Add(unsent)
	free := places(unreserved, t)
	n.planned += places(notSent, t) - free
	n.stopping += places(notSent.Add(stopping), t) - places(notSent, t)
	switch {
	case !w.takesTasks(now):
		n.refused += free
	case w.isHeldFrom(now, t):
		n.held += free
	default:
		n.suitable += free
	}
}

// places returns how many tasks of the step of t fit in some resources.
func places(free fleet.Resources, t *task) int {
	r, n := reservation(t.step), 0
	for ; n < maxPlaces && r.FitsIn(free); n++ {
		free = free.Sub(r)
	}
	return n
}

// maxPlaces limits the places that are counted on one worker, since a step may reserve nothing.
const maxPlaces = 100
