package shard

import (
	"cmp"
	"slices"
	"time"

	"github.com/sirupsen/logrus"
)

const (
	// minReportedWait is how long a task whose interruption lasts until its next run waits until that is logged.
	minReportedWait = 2 * time.Second
	// minReportedFirstWait is the same for other tasks, which wait for that long in a full shard without a fault.
	minReportedFirstWait = 5 * time.Second
	// waitReportInterval is the time after which the wait of a task is logged again.
	waitReportInterval = 5 * time.Second
	// maxReportedWaits is the number of tasks whose waits are logged in a round. Each takes a look at all workers of the shard, and an owner
	// may have a tenth of a core.
	maxReportedWaits = 4
)

// taskWait is the wait of a task for its next run.
type taskWait struct {
	since, reportedAt time.Time
}

// observe notes that the task still waits, as far as is known since a time, and returns for how long.
func (r *taskWait) observe(now, since time.Time) time.Duration {
	if r.since.IsZero() {
		r.since = since
	}
	return now.Sub(r.since)
}

// dueWait is a wait that is due to be logged.
type dueWait struct {
	task *task
	// like holds the tasks of the same step that wait as well and never ran. One line stands for all of them.
	like   []*task
	waited time.Duration
}

// ReportWaits logs tasks that wait for a worker, with the number of workers by the reason why they can't take the task, and tasks whose
// only run on record is on a worker that does not answer, so that they wait for the end of its lease. It is to be called about once a
// second, and names the tasks in turn if there are many.
func (o *Owner) ReportWaits(now time.Time) {
	due := o.dueWaits(now)
	slices.SortFunc(due, func(a, b dueWait) int {
		return cmp.Or(a.task.wait.reportedAt.Compare(b.task.wait.reportedAt), -cmp.Compare(a.waited, b.waited),
			cmp.Compare(a.task.job.ID, b.task.job.ID), cmp.Compare(a.task.key.Index, b.task.key.Index))
	})
	for _, d := range due[:min(len(due), maxReportedWaits)] {
		for _, t := range append(d.like, d.task) {
			t.wait.reportedAt = now
		}
		if len(d.task.attempts) > 0 {
			o.logLeaseWait(now, d)
		} else {
			o.logWait(now, d)
		}
	}
}

// dueWaits notes which tasks wait, and returns the waits that are due to be logged. Of the tasks of a step that never ran, the first one
// stands for all.
func (o *Owner) dueWaits(now time.Time) []dueWait {
	var due []dueWait
	for _, j := range o.jobs {
		// first holds the index in due of the task that stands for a step, by the step's first task.
		first := map[*task]int{}
		for _, t := range j.readyTasks() {
			if !t.isWaiting() && !t.waitsForLease() {
				t.wait = taskWait{}
				continue
			}
			waited, least := t.wait.observe(now, t.knownWaitStart(now)), minReportedFirstWait
			if t.step.LongRunning && t.run > 0 {
				least = minReportedWait
			}
			if waited < least || now.Sub(t.wait.reportedAt) < waitReportInterval {
				continue
			}
			if t.run == 0 {
				step := j.occurrences[t.key.Occurrence].tasks[t.key.Step][0]
				if i, ok := first[step]; ok {
					due[i].like = append(due[i].like, t)
					continue
				}
				first[step] = len(due)
			}
			due = append(due, dueWait{task: t, waited: waited})
		}
	}
	return due
}

// waitsForLease reports whether the only run of the task on record is on a worker that does not answer.
func (t *task) waitsForLease() bool {
	return !t.done && !t.isAway && len(t.attempts) == 1 && t.attempts[0].worker.isSilent()
}

// knownWaitStart returns since when a task waits that this owner has not seen waiting before.
func (t *task) knownWaitStart(now time.Time) time.Time {
	switch {
	case len(t.attempts) > 0:
		return now
	case !t.waitingSince.IsZero():
		return t.waitingSince
	}
	return t.waitBegan(now)
}

// logLeaseWait logs the wait of a task for the lease of the worker that has its only run on record.
func (o *Owner) logLeaseWait(now time.Time, d dueWait) {
	t := d.task
	w := t.attempts[0].worker
	bound := o.endBound(now, t.attempts[0], o.leaseBound(w))
	reason := "task waits for the end of the lease of a worker that does not answer"
	if bound.Origin == leaseFromLateStart {
		reason = "task waits until no lifetime of its worker can carry out a start of its run, and for the lease that it would have"
	}
	o.log.WithFields(logrus.Fields{
		"decision": "wait_lease", "job": t.job.ID, "task": t.key.String(), "waited": d.waited.String(), "run": t.attempts[0].run,
		"worker": w.ID, "registered": w.registered, "poll_failures": w.pollFailures, "lease_over_in": bound.End.Sub(now).String(),
		"counts_from": string(bound.Origin),
		"born":        w.life.Born(), "start_unknown": t.attempts[0].isStartUnknown,
	}).Warn(reason)
}

func (o *Owner) logWait(now time.Time, d dueWait) {
	t := d.task
	fields := logrus.Fields{
		"decision": "wait", "job": t.job.ID, "task": t.key.String(), "waited": d.waited.String(),
		"cpu_milli": t.step.Resources.CPUMilli, "memory_mib": t.step.Resources.MemoryMiB, "per_worker": t.step.PerWorker,
	}
	if len(d.like) > 0 {
		fields["like"] = len(d.like)
	}
	if t.step.Gang {
		fields["gang"] = t.step.Count
	}
	if t.step.Label != "" {
		fields["label"] = t.step.Label
	}
	if now.Before(t.notBefore) {
		fields["not_before_in"] = t.notBefore.Sub(now).String()
	}
	if o.waitsForZone(t, map[Demand]bool{}) {
		fields["only_in_evacuated_zones"] = true
	}
	for _, w := range o.sortedWorkers() {
		if reason := o.waitReason(now, w, t); reason != "" {
			n, _ := fields[reason].(int)
			fields[reason] = n + 1
		}
	}
	o.log.WithFields(fields).Warn("task waits for a worker")
}
