package shard

import (
	"time"

	"github.com/sirupsen/logrus"
)

const (
	// stalledTail is the ratio of tail latency to target above which a worker may be stalled. A task on a saturated worker
	// was seen at 16 times its target, one on a hung worker at 300 times and more. A single tail of 51.6 times the target
	// was seen on a worker without a fault, so a second sign is required.
	stalledTail = 40
	// stalledConfirmTime is the time after which a further listing above stalledTail is a second sign. Tails cover half a
	// second, so that earlier listings may show the same requests.
	stalledConfirmTime = 600 * time.Millisecond
	// clearlyStalledConfirmTime replaces stalledConfirmTime for tails above clearlyStalledTail, a ratio between the tails
	// that were seen on workers without a fault and on hung workers. A task has to leave a hung worker within 300 ms.
	clearlyStalledTail        = 100
	clearlyStalledConfirmTime = 150 * time.Millisecond
	// stalledQuarantine is how long a stalled worker gets no tasks. Hangs of workers last 5 to 7 s.
	stalledQuarantine = 6 * time.Second
	// overdueFactor and overdueSlack define how much longer than the mean of its siblings a run may take: tasks of a
	// step have similar run times.
	overdueFactor = 2.0
	overdueSlack  = 400 * time.Millisecond
	// bestEffortOverdueFactor replaces overdueFactor for best-effort tasks, which other tasks slow down.
	bestEffortOverdueFactor = 3.5
	// estimateFactor and estimateSlack apply to the step's estimate as long as no sibling is done: estimates are off by
	// up to 90%.
	estimateFactor = 4.0
	estimateSlack  = time.Second
	// maxCopies limits how many runs of a task are given up as overdue.
	maxCopies = 2
	// overdueCheckInterval is the minimum time between two searches for overdue runs.
	overdueCheckInterval = 150 * time.Millisecond
)

// stepTimes accumulates the run times of the completed tasks of a step.
type stepTimes struct {
	count int
	total time.Duration
}

func (s stepTimes) mean() time.Duration { return s.total / time.Duration(max(s.count, 1)) }

// overdueLimit returns how long a run may take before it is overdue; 0 means that there is no limit.
func (at *attempt) overdueLimit() time.Duration {
	t := at.task
	if t.step.LongRunning || t.step.Gang {
		return 0
	}
	times := t.job.occurrences[t.key.Occurrence].times[t.key.Step]
	switch {
	case times.count > 0 && t.step.BestEffort:
		return time.Duration(bestEffortOverdueFactor*float64(times.mean())) + overdueSlack
	case times.count > 0:
		return time.Duration(overdueFactor*float64(times.mean())) + overdueSlack
	case t.step.Estimate > 0 && !t.step.BestEffort:
		return time.Duration(estimateFactor*float64(t.step.Estimate)) + estimateSlack
	}
	return 0
}

// replaceOverdue starts copies of runs that take much longer than their siblings, and stops and restarts such runs if
// copies are not allowed. Their workers may be hung or slow without any other symptom.
func (o *Owner) replaceOverdue(now time.Time) {
	if now.Sub(o.overdueCheckedAt) < overdueCheckInterval {
		return
	}
	o.overdueCheckedAt = now
	for _, w := range o.sortedWorkers() {
		for _, at := range w.attempts {
			if at.phase != phaseRunning || at.pace < fullPace || at.confirmedAt.IsZero() {
				continue
			}
			limit := time.Duration(o.slowdown(at) * float64(at.overdueLimit()))
			if limit == 0 || now.Sub(at.confirmedAt) < limit || at.task.copies >= maxCopies || len(at.task.attempts) > 1 {
				continue
			}
			o.replaceRun(now, at, limit)
		}
	}
}

// replaceRun replaces an overdue run if another worker can take its task.
func (o *Owner) replaceRun(now time.Time, at *attempt, limit time.Duration) {
	t := at.task
	t.avoidWorker = at.worker.ID
	other := o.choose(now, t, "")
	isCold := now.Before(at.worker.coldUntil)
	if other == nil || other == at.worker || t.job.final != "" || isCold && !t.step.Speculative {
		return // a run on a cold worker is slow without a fault, and a stop would discard its work
	}
	t.copies++
	o.log.WithFields(logrus.Fields{
		"decision": "overdue", "job": t.job.ID, "task": t.key.String(), "run": at.run, "worker": at.worker.ID,
		"runs_for": now.Sub(at.confirmedAt).String(), "limit": limit.String(), "copy": t.step.Speculative,
	}).Info("run is overdue; replacing it")
	if !isCold && at.worker.health.failed(now) {
		o.logQuarantine(at.worker)
	}
	if t.step.Speculative {
		o.assign(t, other, t.run+1)
		return
	}
	o.stopRun(at, "overdue")
}

// isStalled reports whether a second sign confirms that a worker with the given longest tail is stalled: tasks of
// two jobs are above the limit, or the worker was above it in all listings for long enough.
func (w *worker) isStalled(now time.Time, tail float64) bool {
	if tail < stalledTail || now.Before(w.health.stalledUntil) {
		w.longTailSince = time.Time{}
		return false
	}
	if w.longTailSince.IsZero() {
		w.longTailSince = now
	}
	confirmTime := stalledConfirmTime
	if tail >= clearlyStalledTail {
		confirmTime = clearlyStalledConfirmTime
	}
	return now.Sub(w.longTailSince) >= confirmTime || w.hasLongTailsOfTwoJobs(now)
}

// hasLongTailsOfTwoJobs reports whether serving tasks of at least two jobs are above stalledTail.
func (w *worker) hasLongTailsOfTwoJobs(now time.Time) bool {
	var first *job
	for _, at := range w.attempts {
		if !at.hasTail(now) || tailRatio(at) < stalledTail {
			continue
		}
		if first != nil && first != at.task.job {
			return true
		}
		first = at.task.job
	}
	return false
}

// evacuateStalled stops all runs on a stalled worker and quarantines it, also if it is in quarantine for failed runs.
func (o *Owner) evacuateStalled(now time.Time, w *worker, tail float64) {
	if !w.isStalled(now, tail) {
		return
	}
	w.longTailSince = time.Time{}
	w.health.quarantineStalled(now)
	o.log.WithFields(logrus.Fields{"decision": "stalled", "worker": w.ID, "tail": tail, "runs": len(w.attempts)}).
		Warn("worker is stalled; moving its runs")
	for _, at := range w.attempts {
		if at.phase == phaseRunning {
			at.task.avoidWorker = w.ID
			o.stopRun(at, "worker stands still")
		}
	}
}

func (o *Owner) logQuarantine(w *worker) {
	o.log.WithFields(logrus.Fields{"decision": "quarantine", "worker": w.ID, "until_in": w.health.quarantine.String()}).
		Warn("worker is quarantined after failed or overdue runs")
}
