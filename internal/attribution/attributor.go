package attribution

import (
	"maps"
	"slices"
	"time"
)

// Policy selects how failures are attributed.
type Policy string

// Policies of an Attributor.
const (
	// PolicyFixedBlacklist is a baseline that shuts a worker out for good after 3 failures.
	PolicyFixedBlacklist Policy = "fixed_blacklist"
	// PolicyWhoElseFails compares workers and jobs.
	PolicyWhoElseFails Policy = "who_else_fails"
)

// Bounds of the state; what exceeds them is forgotten, the oldest first.
const (
	maxFailingJobs  = 32
	maxJobs         = 8192
	maxJobWorkers   = 64
	maxTasksPerJob  = 16
	maxWorks        = 1024
	maxWorkOutcomes = 64
)

// blacklistAfter is the number of failures after which the baseline shuts a worker out.
const blacklistAfter = 3

// Attributor decides from outcomes which workers are quarantined and which jobs are parked.
type Attributor struct {
	jobs   map[string]*jobRecord
	policy Policy
	// workers is bounded by the workers of the shard, since the owner forgets those that left.
	workers map[string]*workerRecord
	// works counts the outcomes of each work by worker.
	works map[string]map[string]tally
}

// Option sets a field of an Attributor.
type Option func(*Attributor)

// New returns an Attributor with PolicyWhoElseFails.
func New(opts ...Option) *Attributor {
	a := &Attributor{
		jobs:    map[string]*jobRecord{},
		policy:  PolicyWhoElseFails,
		workers: map[string]*workerRecord{},
		works:   map[string]map[string]tally{},
	}
	for _, opt := range opts {
		opt(a)
	}
	return a
}

// WithPolicy sets the policy.
func WithPolicy(p Policy) Option { return func(a *Attributor) { a.policy = p } }

// ForgetJob drops what is known of a job that ended, or that is to run again after it was parked.
func (a *Attributor) ForgetJob(job string) {
	delete(a.jobs, job)
	for _, w := range a.workers {
		delete(w.failing, job)
	}
}

// ForgetWorker drops what is known of a worker that left or that was replaced.
func (a *Attributor) ForgetWorker(worker string) {
	delete(a.workers, worker)
	a.dropFailuresOn(worker)
}

// Observe takes an outcome into account and returns the decisions that follow from it.
func (a *Attributor) Observe(o Outcome) []Decision {
	if a.policy == PolicyFixedBlacklist {
		return a.observeFixed(o)
	}
	w, j := a.worker(o.Worker), a.job(o)
	switch o.Result {
	case ResultFailed:
		return a.observeFailure(o, w, j)
	case ResultSucceeded:
		j.succeeded(o)
		a.count(o)
		out := a.observeHealth(o, w)
		return append(out, a.judgeWorkers(o, j)...)
	case ResultRunning:
		j.survived(o)
		var out []Decision
		if w.outlives(o) {
			out = a.observeHealth(o, w)
		}
		return append(out, a.judgeWorkers(o, j)...)
	}
	return nil
}

func (a *Attributor) count(o Outcome) {
	byWorker, ok := a.works[o.Work]
	if !ok {
		if len(a.works) >= maxWorks {
			return
		}
		byWorker = map[string]tally{}
		a.works[o.Work] = byWorker
	}
	byWorker[o.Worker] = byWorker[o.Worker].plus(o.Result)
}

// dropFailuresOn clears jobs and works of failures that are the worker's fault.
func (a *Attributor) dropFailuresOn(worker string) {
	for _, j := range a.jobs {
		delete(j.byWorker, worker)
		for _, failed := range j.tasks {
			delete(failed, worker)
		}
	}
	for _, byWorker := range a.works {
		delete(byWorker, worker)
	}
}

func (a *Attributor) job(o Outcome) *jobRecord {
	j, ok := a.jobs[o.Job]
	if !ok {
		if len(a.jobs) >= maxJobs {
			a.dropOldJobs()
		}
		j = &jobRecord{byWorker: map[string]attempts{}, tasks: map[string]map[string]time.Time{}, work: o.Work}
		a.jobs[o.Job] = j
	}
	j.seen = o.At
	return j
}

// dropOldJobs forgets an eighth of the jobs at once, so that the cost of sorting is paid rarely.
func (a *Attributor) dropOldJobs() {
	ids := slices.SortedFunc(maps.Keys(a.jobs), func(x, y string) int {
		return a.jobs[x].seen.Compare(a.jobs[y].seen)
	})
	for _, id := range ids[:maxJobs/8] {
		a.ForgetJob(id)
	}
}

func (a *Attributor) observeFailure(o Outcome, w *workerRecord, j *jobRecord) []Decision {
	if w.quarantined {
		return a.observeProbeFailure(o, w, j)
	}
	a.count(o)
	w.failed(o)
	j.failed(o)
	out := a.judgeWorkers(o, j)
	if d, ok := a.judgeWorker(o, o.Worker); ok {
		return append(out, d)
	}
	if d, ok := a.judgeJob(o.Job, j); ok {
		out = append(out, d)
	}
	return out
}

func (a *Attributor) observeFixed(o Outcome) []Decision {
	if o.Result != ResultFailed {
		return nil
	}
	w := a.worker(o.Worker)
	w.failures++
	if w.quarantined || w.failures < blacklistAfter {
		return nil
	}
	w.quarantined = true
	return []Decision{{Kind: KindQuarantine, Reason: "blacklisted after 3 failures", Worker: o.Worker}}
}

// observeHealth records that the worker can run tasks that started at o's start.
func (a *Attributor) observeHealth(o Outcome, w *workerRecord) []Decision {
	released := w.quarantined && o.started().After(w.since)
	if w.quarantined && !released {
		return nil
	}
	cleared := w.healthy(o.started())
	var out []Decision
	if released {
		w.quarantined, w.probing = false, time.Time{}
		w.releasedAt = o.At
		out = append(out, Decision{Kind: KindRelease, Reason: "a probe succeeded", Worker: o.Worker})
	}
	return append(out, a.judgeJobs(cleared)...)
}

func (a *Attributor) worker(id string) *workerRecord {
	w, ok := a.workers[id]
	if !ok {
		w = &workerRecord{failing: map[string]failure{}}
		a.workers[id] = w
	}
	return w
}
