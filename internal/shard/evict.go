package shard

import (
	"cmp"
	"slices"
	"time"

	"github.com/sirupsen/logrus"
)

// evictAfter is how long an interrupted long-running task waits for room until short runs are stopped for it. Most runs end
// earlier by themselves, and nothing is lost then.
const evictAfter = 2 * time.Second

// mayEvict reports whether short runs may be stopped for a task.
func (t *task) mayEvict(now time.Time) bool {
	return t.isInterrupted() && !t.waitingSince.IsZero() && now.Sub(t.waitingSince) >= evictAfter
}

// isEvictable reports whether a run may be stopped for a task: it loses little, or its job is less urgent. Long-running tasks don't
// give way to each other, since the interruption would only move.
func (a *attempt) isEvictable(t *task) bool {
	s, j := a.task.step, a.task.job
	return a.phase == phaseRunning && !s.LongRunning && !s.Gang && j.final == "" &&
		(j.priority > t.job.priority || j.priority == t.job.priority && s.SavesProgress)
}

// lostWork returns the work that a stop of the run discards, in CPU time. A run that saves its progress does so when it is stopped.
func (a *attempt) lostWork(now time.Time) time.Duration {
	if a.task.step.SavesProgress {
		return 0
	}
	return now.Sub(a.confirmedAt) * time.Duration(a.task.step.Resources.CPUMilli) / 1000
}

// runsToStop returns the runs on the worker whose stop makes room for a task, as cheap and as few as possible, and whether they
// suffice. Runs that are being stopped already count as ended.
func (w *worker) runsToStop(now time.Time, t *task) (runs []*attempt, ok bool) {
	reserved := w.reserved.Add(reservation(t.step))
	var evictable []*attempt
	for _, at := range w.attempts {
		switch {
		case at.phase == phaseStopping || at.phase == phaseStopped:
			reserved = reserved.Sub(reservation(at.task.step))
		case at.isEvictable(t):
			evictable = append(evictable, at)
		}
	}
	slices.SortStableFunc(evictable, func(a, b *attempt) int {
		return cmp.Or(cmp.Compare(b.task.job.priority, a.task.job.priority), cmp.Compare(a.lostWork(now), b.lostWork(now)))
	})
	for _, at := range evictable {
		if reserved.FitsIn(w.Capacity) {
			break
		}
		reserved = reserved.Sub(reservation(at.task.step))
		runs = append(runs, at)
	}
	if !reserved.FitsIn(w.Capacity) {
		return nil, false
	}
	return slices.DeleteFunc(runs, func(at *attempt) bool {
		without := reserved.Add(reservation(at.task.step))
		if without.FitsIn(w.Capacity) {
			reserved = without
			return true
		}
		return false
	}), true
}

// workerToEvictFrom returns the worker on which room for a task costs the least work, and the runs that have to be stopped there.
func (o *Owner) workerToEvictFrom(now time.Time, t *task) (best *worker, bestRuns []*attempt) {
	bestCost := time.Duration(0)
	for _, w := range o.sortedWorkers() {
		if w.isHeldFrom(now, t) || !o.fitsWithoutBatch(now, w, t) {
			continue
		}
		o.evaluatedPairs++
		runs, ok := w.runsToStop(now, t)
		if !ok {
			continue
		}
		cost := time.Duration(0)
		for _, at := range runs {
			cost += at.lostWork(now)
		}
		isCheaper := best == nil || cost < bestCost || cost == bestCost && len(runs) < len(bestRuns)
		isHeldAlready := w.heldFor == t && best != nil && cost == bestCost && len(runs) == len(bestRuns)
		if isCheaper || isHeldAlready {
			best, bestRuns, bestCost = w, runs, cost
		}
	}
	return best, bestRuns
}

// evictFor stops short runs to make room for an interrupted task, and returns their worker, or nil if there is no such room.
func (o *Owner) evictFor(now time.Time, t *task) *worker {
	w, runs := o.workerToEvictFrom(now, t)
	if w == nil || len(runs) == 0 {
		return w
	}
	o.log.WithFields(logrus.Fields{
		"decision": "evict", "job": t.job.ID, "task": t.key.String(), "worker": w.ID, "runs": len(runs),
		"waited": now.Sub(t.waitingSince).String(),
	}).Info("stopping short runs for a long-running task that was interrupted")
	for _, at := range runs {
		o.stopRun(at, "evicted for a long-running task that was interrupted")
	}
	return w
}
