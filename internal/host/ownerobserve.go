package host

import (
	"slices"
	"time"

	"github.com/laburnumridge/laburnumridge/internal/attribution"
	"github.com/laburnumridge/laburnumridge/internal/explain"
	"github.com/laburnumridge/laburnumridge/internal/ledger"
	"github.com/laburnumridge/laburnumridge/internal/worker"
)

// endRetention is how long the end of an attempt is remembered, since workers repeat it until it is acknowledged.
const endRetention = 2 * time.Minute

// observeInterval is how often running attempts are reported to failure attribution.
const observeInterval = 10 * time.Second

// observeTask reports the end of an attempt to failure attribution. Repeats are ignored, since a worker repeats an
// end until it is acknowledged.
func (o *shardOwner) observeTask(now time.Time, id string, t worker.Task) {
	if t.Phase != worker.PhaseDone && t.Phase != worker.PhaseFailed {
		return
	}
	end := ledger.AttemptRef{Attempt: int(t.Attempt), Task: t.Task}
	if _, seen := o.seenEnds[end]; seen {
		return
	}
	o.seenEnds[end] = now
	delete(o.probes, t.Task)
	rec, ok := o.ledger.State().Task(t.Task)
	if !ok || isReplica(rec.Job) {
		return
	}
	outcome := attribution.Outcome{
		At: now, Job: rec.Job, RanFor: now.Sub(o.startedAt[t.Task]), Reason: t.Reason, Result: attribution.ResultSucceeded,
		Task: t.Task, Work: t.Work, Worker: id,
	}
	if t.Phase == worker.PhaseFailed {
		outcome.Result = attribution.ResultFailed
		if !slices.Contains(o.failedOn[t.Task], id) {
			o.failedOn[t.Task] = append(o.failedOn[t.Task], id)
		}
	} else {
		delete(o.failedOn, t.Task)
	}
	o.recordDecision(explain.Decision{
		Attempt: int(t.Attempt), Decision: "task_" + string(t.Phase), Job: rec.Job, Reason: endReason(t), Task: t.Task,
		Work: t.Work, Worker: id,
	})
	for _, d := range o.attribution.Observe(outcome) {
		o.applyAttribution(d)
	}
}

func endReason(t worker.Task) string {
	if t.Reason == "" {
		return "reported by the worker"
	}
	return t.Reason
}

// observeRunning regularly reports running attempts to failure attribution. Long tasks that keep running on other
// workers distinguish a bad worker from a bad job before they end.
func (o *shardOwner) observeRunning(now time.Time) {
	if now.Sub(o.lastObserved) < observeInterval {
		return
	}
	o.lastObserved = now
	for _, r := range o.ledger.Running() {
		if !r.Reported || r.Job.IsLatencyCritical() {
			continue
		}
		for _, d := range o.attribution.Observe(attribution.Outcome{
			At: now, Job: r.Job.ID, RanFor: now.Sub(o.startedAt[r.Task]), Result: attribution.ResultRunning, Task: r.Task,
			Work: r.Job.Work, Worker: r.Worker,
		}) {
			o.applyAttribution(d)
		}
	}
}

// recordAttemptEnd records an attempt that ended although its task is not done.
func (o *shardOwner) recordAttemptEnd(_ time.Time, end ledger.AttemptEnd) {
	rec, _ := o.ledger.State().Task(end.Task)
	o.recordDecision(explain.Decision{
		Attempt: end.Attempt, Decision: "attempt_" + end.Phase.String(), Job: rec.Job, Reason: end.Reason, Task: end.Task,
		Work: o.workOf(rec.Job), Worker: end.Worker,
	})
}

// pruneRecords deletes the state of ended tasks and replicas, and ends that workers no longer repeat.
func (o *shardOwner) pruneRecords(now time.Time) {
	for end, at := range o.seenEnds {
		if now.Sub(at) > endRetention {
			delete(o.seenEnds, end)
		}
	}
	for job := range o.drainingSince {
		if rec, ok := o.ledger.State().Job(job); !ok || rec.EndedAt != 0 {
			delete(o.drainingSince, job)
			delete(o.retiringSince, job)
		}
	}
	for task := range o.startedAt {
		if rec, ok := o.ledger.State().Task(task); !ok || rec.Phase.IsEnd() {
			delete(o.startedAt, task)
			delete(o.failedOn, task)
		}
	}
}
