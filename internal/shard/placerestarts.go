package shard

import (
	"cmp"
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
	for _, tasks := range o.interruptedSteps(now) {
		o.placeTasks(now, tasks, unplaceable)
		o.hasInterrupted = o.hasInterrupted || slices.ContainsFunc(tasks, (*task).isWaiting)
	}
	o.lastRestartPlace, o.evaluatedRestartPairs = now, o.evaluatedPairs
}

// interruptedSteps returns the interrupted tasks by step, the most urgent first, and of equally urgent ones those with the smallest
// demand. If there is no room for all, more of them run again, and fewer small ones wait beside room in other shards that is too small
// for the tasks that wait there.
func (o *Owner) interruptedSteps(now time.Time) [][]*task {
	var steps [][]*task
	for _, j := range o.backlog {
		if j.final != "" || !j.IsLongRunning() {
			continue
		}
		for _, occ := range j.openOccurrences() {
			for s, tasks := range occ.tasks {
				if !occ.ready[s] || j.Steps[s].Gang {
					continue
				}
				if interrupted := interruptedTasks(tasks); len(interrupted) > 0 {
					for _, t := range interrupted {
						if t.waitingSince.IsZero() {
							t.waitingSince = now
						}
					}
					steps = append(steps, interrupted)
				}
			}
		}
	}
	slices.SortStableFunc(steps, func(a, b []*task) int {
		return cmp.Or(
			cmp.Compare(a[0].job.priority, b[0].job.priority),
			cmp.Compare(a[0].step.Resources.CPUMilli, b[0].step.Resources.CPUMilli),
			cmp.Compare(a[0].step.Resources.MemoryMiB, b[0].step.Resources.MemoryMiB),
		)
	})
	return steps
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
