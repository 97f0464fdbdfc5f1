package shard

import (
	"time"

	"github.com/sirupsen/logrus"
)

const (
	// reportedWait is how long a long-running task that ran before may wait for a worker until that is logged, and
	// waitReportInterval the time until it is logged again.
	reportedWait       = 2 * time.Second
	waitReportInterval = 5 * time.Second
)

// ReportWaits logs the long-running tasks that ran before and wait for a worker, with the number of workers by the reason why
// they can't take the task. It is to be called about once a second.
func (o *Owner) ReportWaits(now time.Time) {
	for _, j := range o.jobs {
		if j.final != "" {
			continue
		}
		for _, occ := range j.openOccurrences() {
			for _, tasks := range occ.tasks {
				for _, t := range tasks {
					o.reportWait(now, t)
				}
			}
		}
	}
}

func (o *Owner) reportWait(now time.Time, t *task) {
	if !t.isInterrupted() {
		t.restartWait = restartWait{}
		return
	}
	if t.restartWait.since.IsZero() {
		t.restartWait.since = now
	}
	if now.Sub(t.restartWait.since) < reportedWait || now.Sub(t.restartWait.reportedAt) < waitReportInterval {
		return
	}
	t.restartWait.reportedAt = now
	fields := logrus.Fields{
		"decision": "wait", "job": t.job.ID, "task": t.key.String(), "waited": now.Sub(t.restartWait.since).String(),
		"cpu_milli": t.step.Resources.CPUMilli, "memory_mib": t.step.Resources.MemoryMiB, "per_worker": t.step.PerWorker,
	}
	for _, w := range o.sortedWorkers() {
		if reason := o.whyNot(now, w, t); reason != "" {
			n, _ := fields[reason].(int)
			fields[reason] = n + 1
		}
	}
	o.log.WithFields(fields).Warn("long-running task waits for a worker")
}

// restartWait is the wait of a long-running task for its next run.
type restartWait struct {
	since, reportedAt time.Time
}

// whyNot returns the log field that counts the workers that can't take a task for the same reason, or "" for workers of other
// services.
func (o *Owner) whyNot(now time.Time, w *worker, t *task) string {
	free := w.Capacity.Sub(w.reserved)
	switch {
	case w.Service != t.job.queue.Service:
		return ""
	case !w.registered, w.Draining:
		return "leaving"
	case !w.fenced, w.pollFailures > 0:
		return "unreachable"
	case w.orphans > 0:
		return "unknown_runs"
	case !w.health.accepts(now):
		return "quarantined"
	case !w.suitsStep(now, t):
		return "unsuitable"
	case t.step.Resources.CPUMilli > free.CPUMilli:
		return "no_cpu"
	case !w.reserved.Add(reservation(t.step)).FitsIn(w.Capacity):
		return "no_memory"
	case w.isHeldFrom(now, t):
		return "held"
	}
	return "suitable"
}
