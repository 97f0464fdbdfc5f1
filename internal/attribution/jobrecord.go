package attribution

import "time"

// A running attempt is evidence of health once it has lasted survival, and survivalFactor times as long
// as the failed attempt that it is compared with. Waiting for its end would take as long as the task.
const (
	survival       = 30 * time.Second
	survivalFactor = 3
)

// attempts sums up the attempts of a job on a worker.
type attempts struct {
	failed     int
	failedAt   time.Time
	longestRun time.Duration
	succeeded  int
}

// jobRecord is what is known of a job.
type jobRecord struct {
	byWorker map[string]attempts
	parked   string
	// reason is that of the last failure.
	reason string
	seen   time.Time
	// succeededAt is when a task of the job last succeeded.
	succeededAt time.Time
	// tasks holds for each failing task the time of its last failure on each worker.
	tasks map[string]map[string]time.Time
	// unfitSince is since when the job has fitted no worker.
	unfitSince time.Time
	work       string
}

func (j *jobRecord) failed(o Outcome) {
	t, ok := j.on(o.Worker)
	if !ok {
		return
	}
	j.reason = o.Reason
	t.failed++
	t.failedAt = o.At
	// The attempt that was seen running has failed after all.
	t.longestRun = 0
	j.byWorker[o.Worker] = t
	byWorker, ok := j.tasks[o.Task]
	if !ok {
		if len(j.tasks) >= maxTasksPerJob {
			return
		}
		byWorker = map[string]time.Time{}
		j.tasks[o.Task] = byWorker
	}
	byWorker[o.Worker] = o.At
}

func (j *jobRecord) on(worker string) (attempts, bool) {
	t, ok := j.byWorker[worker]
	return t, ok || len(j.byWorker) < maxJobWorkers
}

func (j *jobRecord) succeeded(o Outcome) {
	j.succeededAt = o.At
	delete(j.tasks, o.Task)
	if t, ok := j.on(o.Worker); ok {
		t.succeeded++
		j.byWorker[o.Worker] = t
	}
}

func (j *jobRecord) survived(o Outcome) {
	if o.RanFor < survival {
		return
	}
	if t, ok := j.on(o.Worker); ok {
		t.longestRun = max(t.longestRun, o.RanFor)
		j.byWorker[o.Worker] = t
	}
}
