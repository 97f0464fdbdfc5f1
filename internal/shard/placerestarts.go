package shard

import (
	"slices"
	"time"
)

// placeRestartsBetweenRounds places the long-running tasks that ran before without waiting for the next round. The pause before it
// can be seconds long if many tasks wait that fit nowhere.
func (o *Owner) placeRestartsBetweenRounds(now time.Time, a *Actions) {
	if !o.hasInterrupted {
		return
	}
	if due := o.lastRestartPlace.Add(o.placePause(o.evaluatedRestartPairs)); now.Before(due) {
		a.wakeAt(due)
		return
	}
	pairs := o.evaluatedPairs
	o.evaluatedPairs, o.heldWorkers, o.placeableAt = 0, 0, a.Wake
	clear(o.mostlyIdle)
	clear(o.unholdable)
	o.placeRestarts(now, map[taskClass]bool{})
	o.evaluatedPairs = pairs
	a.wakeAt(o.placeableAt)
	o.logPlaced(now)
}

// placeRestarts places the long-running tasks that ran before. They come before tasks that never ran, since their interruption
// lasts until they run again.
func (o *Owner) placeRestarts(now time.Time, unplaceable map[taskClass]bool) {
	o.hasInterrupted = false
	o.observeStoppedRuns()
	for _, j := range o.backlog {
		if j.final != "" || !j.IsLongRunning() {
			continue
		}
		for _, occ := range j.openOccurrences() {
			for s, tasks := range occ.tasks {
				if occ.ready[s] && !j.Steps[s].Gang {
					interrupted := interruptedTasks(tasks)
					for _, t := range interrupted {
						if t.waitingSince.IsZero() {
							t.waitingSince = now
						}
					}
					o.placeTasks(now, interrupted, unplaceable)
					o.hasInterrupted = o.hasInterrupted || slices.ContainsFunc(interrupted, (*task).isWaiting)
				}
			}
		}
	}
	o.lastRestartPlace, o.evaluatedRestartPairs = now, o.evaluatedPairs
}

func interruptedTasks(tasks []*task) []*task {
	var out []*task
	for _, t := range tasks {
		if t.isInterrupted() {
			out = append(out, t)
		}
	}
	return out
}
