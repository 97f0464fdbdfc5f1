package ledger

// RunningTask is a task that has or may have an attempt on its worker.
type RunningTask struct {
	Attempt    int
	Checkpoint int64
	Job        Job
	// Reported says that the worker has confirmed the attempt to this owner.
	Reported bool
	// Stopping says that a stop was asked for.
	Stopping bool
	Task     string
	Worker   string
}

// Running lists the tasks that hold resources on their worker, in the order of their acceptance.
func (o *Owner) Running() []RunningTask {
	var out []RunningTask
	for _, r := range o.sortedRuns() {
		if r.worker == "" || !r.mayHold() {
			continue
		}
		out = append(out, RunningTask{
			Attempt: r.attempt, Checkpoint: r.checkpoint, Job: r.job, Reported: r.phase == runRunning,
			Stopping: r.stopReason != "", Task: r.id, Worker: r.worker,
		})
	}
	return out
}

// HasTakenOver reports whether the takeover is committed; before that nothing can be bound.
func (o *Owner) HasTakenOver() bool { return !o.takenAt.IsZero() && !o.deposed }

// ProposedJob returns the job of a task whose binding is proposed and not committed yet.
func (o *Owner) ProposedJob(task string) (Job, bool) {
	r := o.runs[task]
	if r == nil || r.proposed == "" {
		return Job{}, false
	}
	return r.job, true
}

// WithStartGate sets a function that may hold back the start of a bound task on its worker.
func WithStartGate(f func(worker string, j Job) bool) Option {
	return func(o *Owner) { o.startGate = f }
}
