package ledger

import "time"

// attemptState is what the owner knows about attempts of a task on the worker it is bound to.
type attemptState int

const (
	// attemptNone means that no attempt exists, and that none can appear.
	attemptNone attemptState = iota
	// attemptUnverified means that an attempt of an earlier owner may exist.
	attemptUnverified
	// attemptStarting means that a start was sent and no report lists the attempt yet.
	attemptStarting
	// attemptRunning means that a report has listed the attempt.
	attemptRunning
)

// taskRun tracks a task that has not ended, and its attempts on the worker it is bound to.
type taskRun struct {
	// startAnsweredAt is when the worker answered the start. If a report that was requested later does not list the
	// attempt, the attempt has ended.
	startAnsweredAt time.Time
	attempt         int
	// attemptKnown is set if no earlier owner can have used a higher attempt number.
	attemptKnown bool
	checkpoint   int64
	// checkpointProposed is set while a proposed checkpoint is not in a batch yet.
	checkpointProposed bool
	// jobClosing is set once a change that withdraws or parks the job is proposed.
	jobClosing  bool
	endProposed bool
	// notBefore is the earliest time at which the task may restart on its worker.
	notBefore time.Time
	id        string
	job       Job
	// order counts the tasks as the owner begins to track them: first those in the log at the takeover, by id, then
	// others as they are accepted.
	order        int64
	attemptState attemptState
	// proposedWorker is the worker of a proposed binding that is not committed; empty if there is none.
	proposedWorker string
	startSentAt    time.Time
	// settledAttempt is the highest attempt whose end has been handled. A repeated report of it is ignored.
	settledAttempt int
	// stopReason is why the attempt is to be stopped; empty if it is not.
	stopReason string
	stopSentAt time.Time
	// worker is the worker of the committed binding; empty if there is none.
	worker string
}

// mayHaveAttempt reports whether an attempt may use resources of the bound worker.
func (r *taskRun) mayHaveAttempt() bool { return r.attemptState != attemptNone }

// setNoAttempt records proof that no attempt exists on the bound worker and that none can appear.
func (r *taskRun) setNoAttempt() {
	r.startAnsweredAt = time.Time{}
	r.attemptState = attemptNone
	r.stopReason = ""
}

// startsBefore orders waiting tasks: services and feeds first, then by priority, then by order. Tasks that were accepted
// before the takeover are thus ordered by id and not by their time of acceptance.
func (r *taskRun) startsBefore(o *taskRun) bool {
	if a, b := r.job.IsLatencyCritical(), o.job.IsLatencyCritical(); a != b {
		return a
	}
	if r.job.Priority != o.job.Priority {
		return r.job.Priority > o.job.Priority
	}
	return r.order < o.order
}
