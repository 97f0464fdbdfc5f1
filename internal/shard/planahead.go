package shard

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/laburnumridge/laburnumridge/internal/fleet"
)

const (
	// maxRoomWait is how long after its plan an attempt may wait until its worker has room for it. A worker ends a run 0.4 s after the order
	// at the latest, so after this time the stop went wrong.
	maxRoomWait = time.Second
	// awaitedRoomPollInterval replaces PollInterval while an attempt waits for room on a worker: the ends of several runs that stop there
	// come one after the other.
	awaitedRoomPollInterval = 30 * time.Millisecond
)

// observeStoppedRuns notes the room that runs leave which are about to end: their workers have confirmed the stops.
func (o *Owner) observeStoppedRuns() {
	o.stoppedRuns = map[*worker]fleet.Resources{}
	for _, w := range o.sortedWorkers() {
		for _, at := range w.attempts {
			if at.phase == phaseStopped && o.now.Sub(at.confirmedAt) < maxRoomWait {
				o.stoppedRuns[w] = o.stoppedRuns[w].Add(reservation(at.task.step))
			}
		}
	}
}

// chooseAhead returns the best worker that has room for an interrupted task once the runs that stop on it have ended, or nil. The attempt
// can be recorded meanwhile, so that the room is used as soon as they have.
func (o *Owner) chooseAhead(now time.Time, t *task) *worker {
	var best *worker
	bestScore := 0.0
	for _, w := range o.sortedWorkers() {
		stopped, ok := o.stoppedRuns[w]
		if !ok {
			continue
		}
		o.evaluatedPairs++
		if w.isHeldFrom(now, t) || !w.suitsStep(now, t) || !w.reserved.Sub(stopped).Add(reservation(t.step)).FitsIn(w.Capacity) ||
			t.job.queue.Advice != nil && o.ticket(now, w, t) == "" {
			continue
		}
		if score := o.score(w, t); best == nil || score > bestScore || score == bestScore && w.ID < best.ID {
			best, bestScore = w, score
		}
	}
	if best != nil {
		o.log.WithFields(logrus.Fields{
			"decision": "place_ahead", "job": t.job.ID, "task": t.key.String(), "worker": best.ID, "cpu_milli": t.step.Resources.CPUMilli,
			"stopping_cpu_milli": o.stoppedRuns[best].CPUMilli,
		}).Info("planning the next run of an interrupted task on a worker on which others still stop")
	}
	return best
}

// hasRoomToSend reports whether the worker has room for an attempt beside all runs that may be there. A run that is being stopped uses its
// room until its end is listed.
func (w *worker) hasRoomToSend(at *attempt) bool {
	if w.orphans > 0 {
		return false // runs on no record use room, too
	}
	sum := reservation(at.task.step)
	for _, other := range w.attempts {
		if other != at && other.isSent() {
			sum = sum.Add(reservation(other.task.step))
		}
	}
	return sum.FitsIn(w.Capacity)
}

// awaitRoom polls the worker of an attempt that waits for room soon. An attempt that has waited for too long is dropped, so that its task
// is placed elsewhere.
func (o *Owner) awaitRoom(now time.Time, at *attempt, a *Actions) {
	w := at.worker
	if due := at.plannedAt.Add(maxRoomWait); now.Before(due) {
		a.wakeAt(due)
		w.nextPollAt = minTime(w.nextPollAt, w.answeredAt.Add(awaitedRoomPollInterval))
		return
	}
	o.dropAttempt(at, "worker has no room for it in time")
}

// dropAttempt removes an attempt that was not sent. Its task goes on waiting.
func (o *Owner) dropAttempt(at *attempt, reason string) {
	o.removeAttempt(at, reason)
	o.markDirty(at.task.job)
}

// dropAttemptsWithoutRoom drops the attempts that wait for room. The next owner may be of a build that sends each recorded attempt at once.
func (o *Owner) dropAttemptsWithoutRoom() {
	for _, w := range o.sortedWorkers() {
		for _, at := range w.attempts {
			if !at.isSent() && !at.task.step.Gang && !w.reserved.FitsIn(w.Capacity) {
				o.dropAttempt(at, "the shard is handed over")
			}
		}
	}
}
