package ledger

import (
	"time"

	"github.com/rotisserie/eris"

	"github.com/laburnumridge/laburnumridge/internal/fleet"
)

// unknownAttempts is added to the attempt number of a task whose last worker can't say which attempts an
// earlier owner started there; an attempt needs seconds, so a binding does not come near it unseen.
const unknownAttempts = 100

// Candidate is a task that may be bound.
type Candidate struct {
	Attempt    int
	Checkpoint int64
	Job        Job
	Task       string
	// Worker is the present binding, on which the task waits; empty if there is none.
	Worker string
}

// Accept proposes a job; it returns false if the job is recorded or proposed already.
func (o *Owner) Accept(j Job) bool {
	if _, ok := o.state.Job(j.ID); ok || o.proposed[j.ID] {
		return false
	}
	o.proposed[j.ID] = true
	o.propose(Accept(j))
	return true
}

// Bind proposes to bind a task to a worker and reserves its resources there at once.
// Errors match ErrNotBindable, ErrNotOwner or ErrUnknown.
func (o *Owner) Bind(task, worker string) error {
	if o.deposed || o.draining || o.takenAt.IsZero() {
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
		attempt += unknownAttempts
	}
	c := Bind(task, worker, attempt, r.checkpoint)
	if v := o.views[worker]; v != nil && v.bootID != "" && !v.capable {
		c.NoEpochs = true
	}
	r.proposed, r.holdUntil = worker, time.Time{}
	o.propose(c)
	return nil
}

// Evict asks the worker to checkpoint and stop the task. After proof of its end the task may be bound
// elsewhere; it restarts on its worker if that has not happened after hold. Errors match ErrUnknown.
func (o *Owner) Evict(now time.Time, task string, hold time.Duration) error {
	r := o.runs[task]
	if r == nil {
		return eris.Wrapf(ErrUnknown, "evict %s", task)
	}
	r.holdUntil = now.Add(hold)
	if r.mayHold() {
		r.stopReason = "evicted"
	}
	return nil
}

// Fail proposes to end a task that has no attempt as failed. Errors match ErrNotBindable or ErrUnknown.
func (o *Owner) Fail(task, reason string) error {
	r := o.runs[task]
	if r == nil {
		return eris.Wrapf(ErrUnknown, "fail %s", task)
	}
	if !r.isBindable() {
		return eris.Wrapf(ErrNotBindable, "fail %s", task)
	}
	o.finish(r, PhaseFailed, reason)
	return nil
}

// Park proposes to take the job's tasks out of the queue. Errors match ErrUnknown.
func (o *Owner) Park(job, reason string) error { return o.closeJob(job, Park(job, reason)) }

// Unbound lists the tasks that may be bound, in the order in which they should be: those without a binding
// and those whose present worker is proven to hold no attempt.
func (o *Owner) Unbound(now time.Time) []Candidate {
	o.proveEnds(now)
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
			r.closing = true
		}
	}
	o.propose(c)
	return nil
}

// finish proposes the end of a task; nothing of it is started from then on.
func (o *Owner) finish(r *run, phase Phase, reason string) {
	r.finished = true
	o.propose(End(r.id, phase, reason, r.attempt))
}

func (r *run) isBindable() bool {
	return r.phase == runIdle && !r.finished && !r.closing && r.proposed == ""
}

// Reservation is what the tasks of a worker take.
type Reservation struct {
	// Running is taken by attempts that run or may run; it never exceeds the worker's capacity.
	Running fleet.Resources
	// Waiting is taken by tasks that are bound, or proposed to be, and have no attempt.
	Waiting fleet.Resources
}

// Total returns the sum of running and waiting tasks.
func (r Reservation) Total() fleet.Resources { return r.Running.Add(r.Waiting) }

// Reservations returns what tasks take on each worker.
func (o *Owner) Reservations() map[string]Reservation {
	out := map[string]Reservation{}
	for _, r := range o.runs {
		if r.worker != "" && r.mayHold() {
			res := out[r.worker]
			res.Running = res.Running.Add(r.job.Resources)
			out[r.worker] = res
		} else if worker := r.waitsOn(); worker != "" {
			res := out[worker]
			res.Waiting = res.Waiting.Add(r.job.Resources)
			out[worker] = res
		}
	}
	return out
}

// Reserved returns what tasks take on the worker.
func (o *Owner) Reserved(worker string) Reservation { return o.Reservations()[worker] }

// waitsOn returns the worker on which an idle task reserves; a held or closed task reserves nothing.
func (r *run) waitsOn() string {
	if r.finished || r.closing {
		return ""
	}
	if r.proposed != "" {
		return r.proposed
	}
	return r.worker
}
