package host

import (
	"slices"
	"time"

	"github.com/laburnumridge/laburnumridge/internal/attribution"
	"github.com/laburnumridge/laburnumridge/internal/explain"
	"github.com/laburnumridge/laburnumridge/internal/ledger"
	"github.com/laburnumridge/laburnumridge/internal/worker"
)

// endsRemembered is how long an end that a worker repeats until it is acknowledged is recognised.
const endsRemembered = 2 * time.Minute

// observeEvery is how often running attempts are reported to the attribution of failures.
const observeEvery = 10 * time.Second

// observeTask learns from an attempt that ended; a worker repeats an end until it is acknowledged.
func (o *shardOwner) observeTask(now time.Time, id string, t worker.Task) {
	if t.Phase != worker.PhaseDone && t.Phase != worker.PhaseFailed {
		return
	}
	end := ledger.TaskEnd{Attempt: int(t.Attempt), Task: t.Task}
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
		At: now, Job: rec.Job, RanFor: now.Sub(o.started[t.Task]), Reason: t.Reason, Result: attribution.ResultSucceeded,
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
	o.explain(explain.Decision{
		Attempt: int(t.Attempt), Decision: "task_" + string(t.Phase), Job: rec.Job, Reason: endReason(t), Task: t.Task,
		Work: t.Work, Worker: id,
	})
	for _, d := range o.attribution.Observe(outcome) {
		o.attributed(d)
	}
}

func endReason(t worker.Task) string {
	if t.Reason == "" {
		return "reported by the worker"
	}
	return t.Reason
}

// observeRunning reports attempts that run well now and then: long tasks that go on elsewhere tell a bad worker
// from a bad job before they end.
func (o *shardOwner) observeRunning(now time.Time) {
	if now.Sub(o.lastObserved) < observeEvery {
		return
	}
	o.lastObserved = now
	for _, r := range o.ledger.Running() {
		if !r.Reported || r.Job.IsLatencyCritical() {
			continue
		}
		for _, d := range o.attribution.Observe(attribution.Outcome{
			At: now, Job: r.Job.ID, RanFor: now.Sub(o.started[r.Task]), Result: attribution.ResultRunning, Task: r.Task,
			Work: r.Job.Work, Worker: r.Worker,
		}) {
			o.attributed(d)
		}
	}
}

// attemptEnded logs an attempt that ended without its task being done.
func (o *shardOwner) attemptEnded(_ time.Time, end ledger.AttemptEnd) {
	rec, _ := o.ledger.State().Task(end.Task)
	o.explain(explain.Decision{
		Attempt: end.Attempt, Decision: "attempt_" + end.Phase.String(), Job: rec.Job, Reason: end.Reason, Task: end.Task,
		Work: o.workOf(rec.Job), Worker: end.Worker,
	})
}

// forgetOld drops what was kept for reports that may be repeated.
func (o *shardOwner) forgetOld(now time.Time) {
	for end, at := range o.seenEnds {
		if now.Sub(at) > endsRemembered {
			delete(o.seenEnds, end)
		}
	}
	for job := range o.draining {
		if rec, ok := o.ledger.State().Job(job); !ok || rec.EndedAt != 0 {
			delete(o.draining, job)
			delete(o.rollouts, job)
		}
	}
	for task := range o.started {
		if rec, ok := o.ledger.State().Task(task); !ok || rec.Phase.IsEnd() {
			delete(o.started, task)
			delete(o.failedOn, task)
		}
	}
}
