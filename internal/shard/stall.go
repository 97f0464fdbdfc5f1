package shard

import (
	"time"

	"github.com/sirupsen/logrus"
)

const (
	// stalledTail is the tail, as a part of its target, above which a serving task is taken to stand still. A saturated task
	// was seen at 16 times its target, one on a worker that hangs at 300 times and more.
	stalledTail = 40
	// stalledQuarantine keeps tasks off a worker that stood still; hangs of workers last 5 to 7 s.
	stalledQuarantine = 6 * time.Second
	// overdueFactor and overdueSlack tell how much longer than its siblings a run may take: tasks of a step take about as
	// long as each other.
	overdueFactor = 2.0
	overdueSlack  = 400 * time.Millisecond
	// fillFactor takes the place of overdueFactor for tasks that fill, which are slowed down by others.
	fillFactor = 3.5
	// estimateFactor and estimateSlack take their place while no sibling is done: estimates are off by up to 90%.
	estimateFactor = 4.0
	estimateSlack  = time.Second
	// maxCopies bounds the runs of a task that are given up as overdue.
	maxCopies = 2
	// overdueCheckInterval is the least time between two searches for overdue runs.
	overdueCheckInterval = 150 * time.Millisecond
)

// stepTimes is how long the done tasks of a step took.
type stepTimes struct {
	count int
	total time.Duration
}

func (s stepTimes) mean() time.Duration { return s.total / time.Duration(max(s.count, 1)) }

// overdueLimit returns how long a run may take before it is overdue; 0 means that nothing can be said.
func (at *attempt) overdueLimit() time.Duration {
	t := at.task
	if t.step.LongRunning || t.step.Gang {
		return 0
	}
	times := t.job.occurrences[t.key.Occurrence].times[t.key.Step]
	switch {
	case times.count > 0 && t.step.Fills:
		return time.Duration(fillFactor*float64(times.mean())) + overdueSlack
	case times.count > 0:
		return time.Duration(overdueFactor*float64(times.mean())) + overdueSlack
	case t.step.Estimate > 0 && !t.step.Fills:
		return time.Duration(estimateFactor*float64(t.step.Estimate)) + estimateSlack
	}
	return 0
}

// replaceOverdue starts copies of runs that take much longer than their siblings, and stops such runs where copies are not
// allowed: their workers may hang or be slow without any other sign.
func (o *Owner) replaceOverdue(now time.Time) {
	if now.Sub(o.overdueCheckedAt) < overdueCheckInterval {
		return
	}
	o.overdueCheckedAt = now
	for _, w := range o.sortedWorkers() {
		for _, at := range w.attempts {
			if at.phase != phaseRunning || at.overdue || at.pace < fullPace || at.confirmedAt.IsZero() {
				continue
			}
			limit := at.overdueLimit()
			if limit == 0 || now.Sub(at.confirmedAt) < limit || at.task.copies >= maxCopies || len(at.task.attempts) > 1 {
				continue
			}
			o.replaceRun(now, at, limit)
		}
	}
}

func (o *Owner) replaceRun(now time.Time, at *attempt, limit time.Duration) {
	t := at.task
	t.avoidWorker = at.worker.ID
	other := o.choose(now, t, "")
	if other == nil || other == at.worker || t.job.final != "" {
		return
	}
	at.overdue = true
	t.copies++
	o.log.WithFields(logrus.Fields{
		"decision": "overdue", "job": t.job.ID, "task": t.key.String(), "run": at.run, "worker": at.worker.ID,
		"runs_for": now.Sub(at.confirmedAt).String(), "limit": limit.String(), "copy": t.step.Speculative,
	}).Info("run takes much longer than its siblings")
	if at.worker.health.failed(now) {
		o.logQuarantine(at.worker)
	}
	if t.step.Speculative {
		o.assign(t, other, t.run+1)
		return
	}
	o.stopRun(at, "overdue")
}

// evacuateStalled stops what runs on a worker that stands still, and keeps others off it for a while.
func (o *Owner) evacuateStalled(now time.Time, w *worker, tail float64) {
	if tail < stalledTail || !w.health.accepts(now) {
		return
	}
	w.health.quarantineStalled(now)
	o.log.WithFields(logrus.Fields{"decision": "stalled", "worker": w.ID, "tail": tail, "runs": len(w.attempts)}).
		Warn("worker stands still; its runs are moved")
	for _, at := range w.attempts {
		if at.phase == phaseRunning {
			at.task.avoidWorker = w.ID
			o.stopRun(at, "worker stands still")
		}
	}
}

func (o *Owner) logQuarantine(w *worker) {
	o.log.WithFields(logrus.Fields{"decision": "quarantine", "worker": w.ID, "until_in": w.health.quarantine.String()}).
		Warn("worker fails what it runs and gets no more for a while")
}
