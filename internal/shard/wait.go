package shard

import (
	"time"

	"github.com/sirupsen/logrus"
)

const (
	// minReportedWait is how long a long-running task that ran before waits for a worker until that is logged.
	minReportedWait = 2 * time.Second
	// waitReportInterval is the time after which the wait of a task is logged again.
	waitReportInterval = 5 * time.Second
)

// restartWait is the wait of a long-running task for its next run.
type restartWait struct {
	since, reportedAt time.Time
}

// ReportWaits logs the long-running tasks that ran before and wait for a worker, with the number of workers by the reason why
// they can't take the task. It is to be called about once a second.
func (o *Owner) ReportWaits(now time.Time) {
	for _, j := range o.jobs {
		for _, t := range j.readyTasks() {
			o.reportWait(now, t)
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
	if now.Sub(t.restartWait.since) < minReportedWait || now.Sub(t.restartWait.reportedAt) < waitReportInterval {
		return
	}
	t.restartWait.reportedAt = now
	fields := logrus.Fields{
		"decision": "wait", "job": t.job.ID, "task": t.key.String(), "waited": now.Sub(t.restartWait.since).String(),
		"cpu_milli": t.step.Resources.CPUMilli, "memory_mib": t.step.Resources.MemoryMiB, "per_worker": t.step.PerWorker,
	}
	for _, w := range o.sortedWorkers() {
		if reason := w.waitReason(now, t); reason != "" {
			n, _ := fields[reason].(int)
			fields[reason] = n + 1
		}
	}
	o.log.WithFields(fields).Warn("long-running task waits for a worker")
}

// waitReason returns the log field that counts the worker while a task waits: the condition of hasRoom that the worker does not
// meet, or "suitable" if it meets all. CPU that short runs use is told apart from CPU that long-running tasks use, which none of them
// gives up. It returns "" for workers of other services.
func (w *worker) waitReason(now time.Time, t *task) string {
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
	case t.step.Resources.CPUMilli > w.Capacity.CPUMilli-w.longRunningCPU:
		return "no_cpu"
	case t.step.Resources.CPUMilli > free.CPUMilli:
		return "short_runs"
	case !w.reserved.Add(reservation(t.step)).FitsIn(w.Capacity):
		return "no_memory"
	case w.isHeldFrom(now, t):
		return "held"
	}
	return "suitable"
}
