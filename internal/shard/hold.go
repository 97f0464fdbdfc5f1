package shard

import (
	"time"

	"github.com/sirupsen/logrus"
)

const (
	// holdTime is how long a worker is held for a task that lasts; each round of placement renews it.
	holdTime = 400 * time.Millisecond
	// heldWorkersDivisor bounds the part of the workers that a round holds, so that other work goes on in a full shard; small shards
	// hold up to minHolds.
	heldWorkersDivisor = 10
	minHeldWorkers     = 4
)

// hold keeps other tasks off a worker that could take a task that lasts once some of its batch tasks have ended. Otherwise
// smaller batch tasks take each bit of room that comes free, and the larger task never fits.
func (o *Owner) hold(now time.Time, t *task) {
	if !t.step.LongRunning || o.heldWorkers >= max(len(o.workers)/heldWorkersDivisor, minHeldWorkers) {
		return
	}
	var best *worker
	bestFree := int64(0)
	for _, w := range o.sortedWorkers() {
		if w.heldFor != nil && w.heldFor != t && now.Before(w.heldUntil) || !o.fitsWithoutBatch(now, w, t) {
			continue
		}
		free := w.Capacity.CPUMilli - w.reserved.CPUMilli
		if w.heldFor == t {
			free = w.Capacity.CPUMilli // a worker that is held already stays the one
		}
		if best == nil || free > bestFree {
			best, bestFree = w, free
		}
	}
	if best == nil {
		return
	}
	o.heldWorkers++
	if best.heldFor != t {
		o.log.WithFields(logrus.Fields{
			"decision": "hold", "job": t.job.ID, "task": t.key.String(), "worker": best.ID, "free_cpu_milli": bestFree,
		}).Info("worker is kept for a task that lasts")
	}
	best.heldFor, best.heldUntil = t, now.Add(holdTime)
}

// fitsWithoutBatch reports whether a worker could take a task if its batch tasks had ended.
func (o *Owner) fitsWithoutBatch(now time.Time, w *worker, t *task) bool {
	if !w.suitsStep(now, t) {
		return false
	}
	reserved := w.reserved
	for _, at := range w.attempts {
		if !at.task.step.LongRunning {
			reserved = reserved.Sub(reservation(at.task.step))
		}
	}
	return reserved.Add(reservation(t.step)).FitsIn(w.Capacity)
}

// isHeldFrom reports whether the worker is kept for another task than t. Tasks that fill are kept off as well, since they take
// memory.
func (w *worker) isHeldFrom(now time.Time, t *task) bool {
	return now.Before(w.heldUntil) && w.heldFor != t
}
