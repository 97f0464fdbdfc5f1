package attribution

import (
	"maps"
	"slices"
	"time"
)

// Policy selects how failures are attributed.
type Policy string

const (
	// PolicyFixedBlacklist permanently quarantines a worker after 3 failures. It serves as a baseline for comparisons.
	PolicyFixedBlacklist Policy = "fixed_blacklist"
	// PolicyWhoElseFails compares the failures of a job on other workers with those of other jobs on the worker.
	PolicyWhoElseFails Policy = "who_else_fails"
)

// Limits of the recorded state. Beyond maxJobs the oldest jobs are removed, and the counts of a work are halved at
// maxWorkOutcomes; beyond the other limits no further entries are recorded.
const (
	maxFailingJobs  = 32
	maxJobs         = 8192
	maxJobWorkers   = 64
	maxTasksPerJob  = 16
	maxWorks        = 1024
	maxWorkOutcomes = 64
)

// blacklistAfter is the number of failures after which PolicyFixedBlacklist quarantines a worker.
const blacklistAfter = 3

// Attributor decides from the outcomes of tasks which workers are quarantined and which jobs are parked.
type Attributor struct {
	jobs   map[string]*jobRecord
	policy Policy
	// workers holds no more than the workers of the shard, since the owner calls ForgetWorker for workers that left.
	workers map[string]*workerRecord
	// workOutcomes holds the outcome counts by work and worker.
	workOutcomes map[string]map[string]outcomeCounts
}

// Option configures an Attributor.
type Option func(*Attributor)

// New returns an Attributor. The default policy is PolicyWhoElseFails.
func New(opts ...Option) *Attributor {
	a := &Attributor{
		jobs:         map[string]*jobRecord{},
		policy:       PolicyWhoElseFails,
		workers:      map[string]*workerRecord{},
		workOutcomes: map[string]map[string]outcomeCounts{},
	}
	for _, opt := range opts {
		opt(a)
	}
	return a
}

// WithPolicy sets the policy of the Attributor.
func WithPolicy(p Policy) Option { return func(a *Attributor) { a.policy = p } }

// ForgetJob removes the records of a job that ended, or that is to run again after it was parked.
func (a *Attributor) ForgetJob(job string) {
	delete(a.jobs, job)
	for _, w := range a.workers {
		delete(w.failuresByJob, job)
	}
}

// ForgetWorker removes the records of a worker that left or was replaced.
func (a *Attributor) ForgetWorker(worker string) {
	delete(a.workers, worker)
	a.dropFailuresOn(worker)
}

// Observe records an outcome and returns the decisions that follow from it.
func (a *Attributor) Observe(o Outcome) []Decision {
	if a.policy == PolicyFixedBlacklist {
		return a.recordForBlacklist(o)
	}
	w, j := a.getOrCreateWorker(o.Worker), a.getOrCreateJob(o)
	switch o.Result {
	case ResultFailed:
		return a.recordFailure(o, w, j)
	case ResultSucceeded:
		j.recordSuccess(o)
		a.countOutcome(o)
		out := a.recordHealthyRun(o, w)
		return append(out, a.evaluateOtherWorkers(o, j)...)
	case ResultRunning:
		j.recordRunning(o)
		var out []Decision
		if w.outlastsFailures(o) {
			out = a.recordHealthyRun(o, w)
		}
		return append(out, a.evaluateOtherWorkers(o, j)...)
	}
	return nil
}

func (a *Attributor) countOutcome(o Outcome) {
	byWorker, ok := a.workOutcomes[o.Work]
	if !ok {
		if len(a.workOutcomes) >= maxWorks {
			return
		}
		byWorker = map[string]outcomeCounts{}
		a.workOutcomes[o.Work] = byWorker
	}
	byWorker[o.Worker] = byWorker[o.Worker].with(o.Result)
}

// dropFailuresOn removes all outcomes on the worker from the records of jobs and works, since the worker caused the
// failures.
func (a *Attributor) dropFailuresOn(worker string) {
	for _, j := range a.jobs {
		delete(j.attemptsByWorker, worker)
		for _, failed := range j.failedTasks {
			delete(failed, worker)
		}
	}
	for _, byWorker := range a.workOutcomes {
		delete(byWorker, worker)
	}
}

func (a *Attributor) getOrCreateJob(o Outcome) *jobRecord {
	j, ok := a.jobs[o.Job]
	if !ok {
		if len(a.jobs) >= maxJobs {
			a.dropOldestJobs()
		}
		j = &jobRecord{attemptsByWorker: map[string]attemptCounts{}, failedTasks: map[string]map[string]time.Time{}, work: o.Work}
		a.jobs[o.Job] = j
	}
	j.lastOutcomeAt = o.At
	return j
}

// dropOldestJobs removes an eighth of the jobs at once, so that sorting is rarely needed.
func (a *Attributor) dropOldestJobs() {
	ids := slices.SortedFunc(maps.Keys(a.jobs), func(x, y string) int {
		return a.jobs[x].lastOutcomeAt.Compare(a.jobs[y].lastOutcomeAt)
	})
	for _, id := range ids[:maxJobs/8] {
		a.ForgetJob(id)
	}
}

func (a *Attributor) recordFailure(o Outcome, w *workerRecord, j *jobRecord) []Decision {
	if w.quarantined {
		return a.recordProbeFailure(o, w, j)
	}
	a.countOutcome(o)
	w.recordFailure(o)
	j.recordFailure(o)
	out := a.evaluateOtherWorkers(o, j)
	if d, ok := a.evaluateWorker(o, o.Worker); ok {
		return append(out, d)
	}
	if d, ok := a.evaluateJob(o.Job, j); ok {
		out = append(out, d)
	}
	return out
}

// recordForBlacklist implements Observe for PolicyFixedBlacklist.
func (a *Attributor) recordForBlacklist(o Outcome) []Decision {
	if o.Result != ResultFailed {
		return nil
	}
	w := a.getOrCreateWorker(o.Worker)
	w.failureCount++
	if w.quarantined || w.failureCount < blacklistAfter {
		return nil
	}
	w.quarantined = true
	return []Decision{{Kind: KindQuarantine, Reason: "blacklisted after 3 failures", Worker: o.Worker}}
}

// recordHealthyRun records that the attempt of o runs well on the worker, which clears the failures before its start. It
// releases a quarantined worker if the attempt is a probe, which means that it started after the quarantine.
func (a *Attributor) recordHealthyRun(o Outcome, w *workerRecord) []Decision {
	released := w.quarantined && o.started().After(w.quarantinedAt)
	if w.quarantined && !released {
		return nil
	}
	cleared := w.recordHealthy(o.started())
	var out []Decision
	if released {
		w.quarantined, w.probeStartedAt = false, time.Time{}
		w.releasedAt = o.At
		out = append(out, Decision{Kind: KindRelease, Reason: "a probe succeeded", Worker: o.Worker})
	}
	return append(out, a.evaluateJobs(cleared)...)
}

func (a *Attributor) getOrCreateWorker(id string) *workerRecord {
	w, ok := a.workers[id]
	if !ok {
		w = &workerRecord{failuresByJob: map[string]failure{}}
		a.workers[id] = w
	}
	return w
}
