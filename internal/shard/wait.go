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

// report notes that the task still waits, and returns for how long and whether that is to be logged now.
func (r *restartWait) report(now time.Time) (waited time.Duration, isDue bool) {
	if r.since.IsZero() {
		r.since = now
	}
	waited = now.Sub(r.since)
	if waited < minReportedWait || now.Sub(r.reportedAt) < waitReportInterval {
		return waited, false
	}
	r.reportedAt = now
	return waited, true
}

// ReportWaits logs the long-running tasks that ran before and wait for a worker, with the number of workers by the reason why
// they can't take the task, and those whose last run is on a worker that does not answer, so that they wait for the end of its lease.
// It is to be called about once a second.
func (o *Owner) ReportWaits(now time.Time) {
	for _, j := range o.jobs {
		for _, t := range j.readyTasks() {
			if t.step.LongRunning && len(t.attempts) > 0 {
				o.reportLeaseWait(now, t)
			} else {
				o.reportWait(now, t)
			}
		}
	}
}

// reportLeaseWait logs the wait of a long-running task for the lease of the worker that has its only run on record.
func (o *Owner) reportLeaseWait(now time.Time, t *task) {
	w := t.attempts[0].worker
	if len(t.attempts) > 1 || !w.isSilent() {
		t.restartWait = restartWait{}
		return
	}
	waited, ok := t.restartWait.report(now)
	if !ok {
		return
	}
	bound := w.leaseBound(o.timing)
	o.log.WithFields(logrus.Fields{
		"decision": "wait_lease", "job": t.job.ID, "task": t.key.String(), "waited": waited.String(), "run": t.attempts[0].run,
		"worker": w.ID, "registered": w.registered, "poll_failures": w.pollFailures, "lease_over_in": bound.end.Sub(now).String(),
		"counts_from": string(bound.origin),
	}).Warn("long-running task waits for the end of the lease of a worker that does not answer")
}

func (o *Owner) reportWait(now time.Time, t *task) {
	if !t.isInterrupted() {
		t.restartWait = restartWait{}
		return
	}
	waited, ok := t.restartWait.report(now)
	if !ok {
		return
	}
	fields := logrus.Fields{
		"decision": "wait", "job": t.job.ID, "task": t.key.String(), "waited": waited.String(),
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
