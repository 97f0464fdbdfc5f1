package shard

import (
	"time"

	"github.com/sirupsen/logrus"
)

const (
	// stalledTail is the ratio of tail latency to target above which a worker is considered stalled. A task on a
	// saturated worker was seen at 16 times its target, one on a hung worker at 300 times and more.
	stalledTail = 40
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

// evacuateStalled stops all runs on a stalled worker and quarantines it, also if it is in quarantine for failed runs.
func (o *Owner) evacuateStalled(now time.Time, w *worker, tail float64) {
	if tail < stalledTail || now.Before(w.health.stalledUntil) {
		return
	}
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
