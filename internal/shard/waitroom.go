package shard

import (
	"time"

	"github.com/laburnumridge/laburnumridge/internal/fleet"
	"github.com/laburnumridge/laburnumridge/internal/workflow"
)

const (
	// besideRoomSlack is added to the longest lease before a wait beside room counts: waits are looked at once a second.
	besideRoomSlack = time.Second
	// minIdleWorkers is how many workers with room a task has to wait beside. A single one may be quarantined, or about to be used.
	minIdleWorkers = 2
	// maxRoomChecks is the number of kinds of tasks for which workers with room are looked for in a round. Each takes a look at all workers.
	maxRoomChecks = 16
)

// roomClass identifies tasks that the same workers suit.
type roomClass struct {
	// headroom is set for long-running tasks that never ran.
	headroom  *headroom
	label     string
	resources fleet.Resources
	service   string
	// occurrence and step are set for steps that limit the number of their tasks on a worker, and for those with placement advice.
	occurrence *occurrence
	step       *workflow.Step
}

// waitingBesideRoom counts the tasks that wait for longer than the longest lease although several workers that suit them have room. What
// this owner decided or believes of a worker beyond its reservations doesn't count against the worker: a hold, a quarantine, runs that are
// on no record or a missing ticket is what may be wrong. Room that is kept for short tasks is no room.
func (o *Owner) waitingBesideRoom(now time.Time) int {
	n := 0
	known := map[roomClass]bool{}
	for _, j := range o.backlog {
		for _, t := range j.readyTasks() {
			if t.wait.since.IsZero() || now.Sub(t.wait.since) < o.longWait(t) || !t.isWaiting() && !t.waitsForLease() || o.hasLateStart(now, t) {
				continue
			}
			if o.hasIdleWorkers(now, t, known) {
				n++
			}
		}
	}
	return n
}

// longWait returns the time from which a wait is longer than what the design explains.
func (o *Owner) longWait(t *task) time.Duration {
	wait := o.timing.LeaseBound(o.timing.MaxWorkerLease)
	if t.step.BestEffort {
		wait = max(wait, maxBestEffortWait)
	}
	return wait + besideRoomSlack
}

// hasIdleWorkers reports whether at least minIdleWorkers suit a task and have room for it, or for its whole gang. known holds what was found
// for other tasks.
func (o *Owner) hasIdleWorkers(now time.Time, t *task, known map[roomClass]bool) bool {
	class := roomClass{headroom: o.headroomFor(now, t), label: t.step.Label, resources: reservation(t.step), service: t.job.queue.Service}
	if t.step.PerWorker > 0 || t.step.Gang || t.job.queue.Advice != nil {
		class.occurrence, class.step = t.job.occurrences[t.key.Occurrence], t.step
	}
	found, ok := known[class]
	if ok || len(known) >= maxRoomChecks {
		return found
	}
	gang, room, idle := demandOf(t.step, class.service), 0, 0
	for _, w := range o.sortedWorkers() {
		if w.isIdleFor(t) && class.headroom.allows(w, t.step.Resources.CPUMilli) {
			idle++
			if t.step.Gang {
				room += gang.fit(w, w.Capacity.Sub(w.reserved), gang.Count-room)
			}
		}
		if idle >= minIdleWorkers && (!t.step.Gang || room == gang.Count) {
			break
		}
	}
	known[class] = idle >= minIdleWorkers && (!t.step.Gang || room == gang.Count)
	return known[class]
}

// isIdleFor reports whether the worker answers, suits the task and has room for it by its reservations.
func (w *worker) isIdleFor(t *task) bool {
	return w.isUsable() && !w.isSilent() && w.Service == t.job.queue.Service && w.HasLabel(t.step.Label) &&
		!t.isAdvisedAgainst(w) && !w.isAtSpreadLimit(t) && w.reserved.Add(reservation(t.step)).FitsIn(w.Capacity)
}
