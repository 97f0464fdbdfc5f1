package ledger

// RunningTask is a task that has or may have an attempt on its worker.
type RunningTask struct {
	Attempt    int
	Checkpoint int64
	Job        Job
	// Reported is set once a report of the worker to this owner has listed the attempt.
	Reported bool
	// Stopping is set if the attempt is to be stopped.
	Stopping bool
	Task     string
	Worker   string
}

// Running lists the tasks that have or may have an attempt, in the order in which the owner began to track them.
func (o *Owner) Running() []RunningTask {
	var out []RunningTask
	for _, r := range o.sortedRuns() {
		if r.worker == "" || !r.mayHaveAttempt() {
			continue
		}
		out = append(out, RunningTask{
			Attempt: r.attempt, Checkpoint: r.checkpoint, Job: r.job, Reported: r.attemptState == attemptRunning,
			Stopping: r.stopReason != "", Task: r.id, Worker: r.worker,
		})
	}
	return out
}

// HasTakenOver reports whether the takeover is committed and the owner is not deposed. Before that no task can be
// bound.
func (o *Owner) HasTakenOver() bool { return !o.takeoverAt.IsZero() && !o.deposed }

// ProposedJob returns the job of a task whose binding is proposed but not committed yet.
func (o *Owner) ProposedJob(task string) (Job, bool) {
	r := o.runs[task]
	if r == nil || r.proposedWorker == "" {
		return Job{}, false
	}
	return r.job, true
}

// WithStartCondition sets a function that reports whether a task of the job may start on the worker it is bound to.
func WithStartCondition(f func(worker string, j Job) bool) Option {
	return func(o *Owner) { o.startAllowed = f }
}
