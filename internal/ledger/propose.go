package ledger

import (
	"time"

	"github.com/rotisserie/eris"

	"github.com/laburnumridge/laburnumridge/internal/fleet"
)

// unknownAttemptGap is added to the attempt number of a task that is rebound although its last worker has not
// reported which attempts an earlier owner started there. An attempt takes seconds, so an owner does not come near
// 100 unreported attempts under one binding.
const unknownAttemptGap = 100

// Candidate is a task that may be bound to a worker.
type Candidate struct {
	Attempt    int
	Checkpoint int64
	Job        Job
	Task       string
	// Worker is the worker on which the task waits under its current binding; empty if it has none.
	Worker string
}

// Accept proposes to record a job. It returns false if a job with this id is already recorded or proposed.
func (o *Owner) Accept(j Job) bool {
	if _, ok := o.state.Job(j.ID); ok || o.proposedJobs[j.ID] {
		return false
	}
	o.proposedJobs[j.ID] = true
	o.propose(Accept(j))
	return true
}

// Bind proposes to bind a task to a worker. The resources are reserved there at once, before the commit.
// Errors match ErrNotBindable, ErrNotOwner or ErrUnknown.
func (o *Owner) Bind(task, worker string) error {
	if o.deposed || o.handingOver || o.takeoverAt.IsZero() {
		return eris.Wrapf(ErrNotOwner, "bind %s", task)
	}
	r := o.runs[task]
	if r == nil {
		return eris.Wrapf(ErrUnknown, "bind %s", task)
	}
	if !r.isBindable() || r.worker == worker {
		return eris.Wrapf(ErrNotBindable, "bind %s to %s", task, worker)
	}
	attempt := r.attempt
	if !r.attemptKnown {
		attempt += unknownAttemptGap
	}
	c := Bind(task, worker, attempt, r.checkpoint)
	if v := o.views[worker]; v != nil && v.bootID != "" && !v.supportsEpochs {
		c.NoEpochs = true
	}
	r.proposedWorker, r.notBefore = worker, time.Time{}
	o.propose(c)
	return nil
}

// Evict has the worker checkpoint and stop the task. Once the attempt is proven to have ended the task may be bound
// to another worker; if it is not, it restarts on its worker after hold. Errors match ErrUnknown.
func (o *Owner) Evict(now time.Time, task string, hold time.Duration) error {
	r := o.runs[task]
	if r == nil {
		return eris.Wrapf(ErrUnknown, "evict %s", task)
	}
	r.notBefore = now.Add(hold)
	if r.mayHaveAttempt() {
		r.stopReason = "evicted"
	}
	return nil
}

// Fail proposes to end a task as failed. The task must have no attempt. Errors match ErrNotBindable or ErrUnknown.
func (o *Owner) Fail(task, reason string) error {
	r := o.runs[task]
	if r == nil {
		return eris.Wrapf(ErrUnknown, "fail %s", task)
	}
	if !r.isBindable() {
		return eris.Wrapf(ErrNotBindable, "fail %s", task)
	}
	o.proposeEnd(r, PhaseFailed, reason)
	return nil
}

// Park proposes to park the job: its running tasks are stopped, and none is bound again. Errors match ErrUnknown.
func (o *Owner) Park(job, reason string) error { return o.closeJob(job, Park(job, reason)) }

// Bindable lists the tasks that may be bound, in the order in which they should be. These are tasks without a
// binding, and bound tasks that are proven to have no attempt on their worker.
func (o *Owner) Bindable(now time.Time) []Candidate {
	o.settleTimedOut(now)
	var out []Candidate
	for _, r := range o.inStartOrder() {
		if r.isBindable() {
			out = append(out, Candidate{
				Attempt: r.attempt, Checkpoint: r.checkpoint, Job: r.job, Task: r.id, Worker: r.worker,
			})
		}
	}
	return out
}

// Withdraw proposes to cancel the job's tasks. Errors match ErrUnknown.
func (o *Owner) Withdraw(job, reason string) error { return o.closeJob(job, Withdraw(job, reason)) }

func (o *Owner) closeJob(job string, c Change) error {
	j, ok := o.state.Job(job)
	if !ok {
		return eris.Wrapf(ErrUnknown, "job %s", job)
	}
	for _, id := range j.Job.TaskIDs() {
		if r := o.runs[id]; r != nil {
			r.jobClosing = true
		}
	}
	o.propose(c)
	return nil
}

// proposeEnd proposes the end of a task. From then on no attempt of it is started.
func (o *Owner) proposeEnd(r *taskRun, phase Phase, reason string) {
	r.endProposed = true
	o.propose(End(r.id, phase, reason, r.attempt))
}

func (r *taskRun) isBindable() bool {
	return r.attemptState == attemptNone && !r.endProposed && !r.jobClosing && r.proposedWorker == ""
}

// Reservation is the resources that tasks reserve on a worker.
type Reservation struct {
	// Running is reserved by attempts that run or may run. It never exceeds the worker's capacity.
	Running fleet.Resources
	// Waiting is reserved by tasks without an attempt whose binding to the worker is committed or proposed.
	Waiting fleet.Resources
}

// Total returns the sum of Running and Waiting.
func (r Reservation) Total() fleet.Resources { return r.Running.Add(r.Waiting) }

// Reservations returns the reservations of all workers that have any.
func (o *Owner) Reservations() map[string]Reservation {
	out := map[string]Reservation{}
	for _, r := range o.runs {
		if r.worker != "" && r.mayHaveAttempt() {
			res := out[r.worker]
			res.Running = res.Running.Add(r.job.Resources)
			out[r.worker] = res
		} else if worker := r.waitingWorker(); worker != "" {
			res := out[worker]
			res.Waiting = res.Waiting.Add(r.job.Resources)
			out[worker] = res
		}
	}
	return out
}

// Reserved returns the reservation of one worker.
func (o *Owner) Reserved(worker string) Reservation { return o.Reservations()[worker] }

// waitingWorker returns the worker on which a task without an attempt reserves resources. It is empty if the task
// has no binding, or if its end or the closing of its job is proposed.
func (r *taskRun) waitingWorker() string {
	if r.endProposed || r.jobClosing {
		return ""
	}
	if r.proposedWorker != "" {
		return r.proposedWorker
	}
	return r.worker
}
