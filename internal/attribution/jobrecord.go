package attribution

import "time"

// A running attempt shows that a worker is healthy once it has run for minHealthyRun and for healthyRunFactor times
// as long as the failed attempt that it is compared with. Waiting until it ends would delay the decision by the run
// time of the task.
const (
	minHealthyRun    = 30 * time.Second
	healthyRunFactor = 3
)

// attemptCounts summarizes the attempts of a job on a worker.
type attemptCounts struct {
	failed   int
	failedAt time.Time
	// longestRun is the longest run time of an attempt that was reported as running.
	longestRun time.Duration
	succeeded  int
}

// jobRecord holds the outcomes of a job.
type jobRecord struct {
	attemptsByWorker map[string]attemptCounts
	parkedReason     string
	// lastFailureReason is the worker's description of the last failure.
	lastFailureReason string
	lastOutcomeAt     time.Time
	// succeededAt is when a task of the job last succeeded.
	succeededAt time.Time
	// failedTasks holds for each failing task the time of its last failure on each worker.
	failedTasks map[string]map[string]time.Time
	// unfitSince is the time since which the job has been too large for every worker; zero if it fits.
	unfitSince time.Time
	work       string
}

func (j *jobRecord) recordFailure(o Outcome) {
	c, ok := j.attemptsOn(o.Worker)
	if !ok {
		return
	}
	j.lastFailureReason = o.Reason
	c.failed++
	c.failedAt = o.At
	// The attempt that was reported as running may be the one that failed.
	c.longestRun = 0
	j.attemptsByWorker[o.Worker] = c
	byWorker, ok := j.failedTasks[o.Task]
	if !ok {
		if len(j.failedTasks) >= maxTasksPerJob {
			return
		}
		byWorker = map[string]time.Time{}
		j.failedTasks[o.Task] = byWorker
	}
	byWorker[o.Worker] = o.At
}

// attemptsOn returns the attempts on a worker, and false if there are none and too many workers are recorded already.
func (j *jobRecord) attemptsOn(worker string) (attemptCounts, bool) {
	c, ok := j.attemptsByWorker[worker]
	return c, ok || len(j.attemptsByWorker) < maxJobWorkers
}

func (j *jobRecord) recordSuccess(o Outcome) {
	j.succeededAt = o.At
	delete(j.failedTasks, o.Task)
	if c, ok := j.attemptsOn(o.Worker); ok {
		c.succeeded++
		j.attemptsByWorker[o.Worker] = c
	}
}

func (j *jobRecord) recordRunning(o Outcome) {
	if o.RanFor < minHealthyRun {
		return
	}
	if c, ok := j.attemptsOn(o.Worker); ok {
		c.longestRun = max(c.longestRun, o.RanFor)
		j.attemptsByWorker[o.Worker] = c
	}
}
