package shard

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/laburnumridge/laburnumridge/internal/fleet"
)

const (
	// holdTime is how long a worker is held for a long-running task. Each placement round renews the hold.
	holdTime = 400 * time.Millisecond
	// At most 1/heldWorkersDivisor of the workers are held in a round, so that other work continues in a full shard.
	// Small shards may hold up to minHeldWorkers.
	heldWorkersDivisor = 10
	minHeldWorkers     = 4
)

// hold reserves a worker for a long-running task that will fit once some batch tasks on it have ended. Otherwise
// smaller batch tasks would take all resources as they become free, and a larger task would never fit. It returns false if there is
// no such worker.
func (o *Owner) hold(now time.Time, t *task) bool {
	if !t.step.LongRunning || !o.mayHoldMore() {
		return false
	}
	var best *worker
	if t.mayEvict(now) {
		best = o.evictFor(now, t)
	}
	if best == nil {
		best = o.workerToHold(now, t)
	}
	if best == nil {
		return false
	}
	o.heldWorkers++
	if t.heldWorker != best {
		t.releaseHold(now)
	}
	if best.heldFor != t {
		o.log.WithFields(logrus.Fields{
			"decision": "hold", "job": t.job.ID, "task": t.key.String(), "worker": best.ID,
			"free_cpu_milli": best.Capacity.CPUMilli - best.reserved.CPUMilli,
		}).Info("holding worker for a long-running task")
	}
	best.holdFor(t, now.Add(holdTime))
	return true
}

// mayHoldMore reports whether another worker may be held in this round.
func (o *Owner) mayHoldMore() bool {
	return o.heldWorkers < max(len(o.workers)/heldWorkersDivisor, minHeldWorkers)
}

// workerToHold returns the worker that is already held for a task, or else the one with the most free CPU of those that could take the
// task if all batch tasks on them had ended.
func (o *Owner) workerToHold(now time.Time, t *task) *worker {
	var best *worker
	bestFree := int64(0)
	for _, w := range o.sortedWorkers() {
		if w.isHeldFrom(now, t) || !o.fitsWithoutBatch(now, w, t) {
			continue
		}
		free := w.Capacity.CPUMilli - w.reserved.CPUMilli
		if w.heldFor == t {
			free = w.Capacity.CPUMilli // prefer the worker that is already held for the task
		}
		if best == nil || free > bestFree {
			best, bestFree = w, free
		}
	}
	return best
}

// holdForRestart holds the worker on which a long-running task failed until holdTime after the task may start again. In a full
// shard another task would take the room, and the failed one would wait until some task ends. A hold for another task that ran
// before is not replaced.
func (w *worker) holdForRestart(now time.Time, t *task) {
	if t.step.LongRunning && (w.heldFor == nil || !now.Before(w.heldUntil) || w.heldFor.run == 0) {
		w.holdFor(t, t.notBefore.Add(holdTime))
	}
}

func (w *worker) holdFor(t *task, until time.Time) {
	w.heldFor, w.heldUntil, t.heldWorker = t, until, w
}

// hasHold reports whether a worker is still held for the task.
func (t *task) hasHold(now time.Time) bool {
	return t.heldWorker != nil && t.heldWorker.heldFor == t && now.Before(t.heldWorker.heldUntil)
}

// releaseHold ends the hold for the task.
func (t *task) releaseHold(now time.Time) {
	if t.hasHold(now) {
		t.heldWorker.heldFor, t.heldWorker.heldUntil = nil, time.Time{}
	}
	t.heldWorker = nil
}

// fitsWithoutBatch reports whether a worker could take a task if all its batch tasks had ended.
func (o *Owner) fitsWithoutBatch(now time.Time, w *worker, t *task) bool {
	if !w.suitsStep(now, t) || t.isAdvisedAgainst(w) || !o.headroomFor(now, t).allows(w, t.step.Resources.CPUMilli) {
		return false
	}
	return reservation(t.step).FitsIn(w.freeWithoutBatch())
}

// freeWithoutBatch returns what a worker would have left if all its batch tasks had ended.
func (w *worker) freeWithoutBatch() fleet.Resources {
	free := w.Capacity.Sub(w.reserved)
	for _, at := range w.attempts {
		if !at.task.step.LongRunning {
			free = free.Add(reservation(at.task.step))
		}
	}
	return free
}

// isHeldFrom reports whether the worker is held for a task other than t. Best-effort tasks may not use a held worker
// either, since they take memory.
func (w *worker) isHeldFrom(now time.Time, t *task) bool {
	return now.Before(w.heldUntil) && w.heldFor != t
}
