package attribution

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

const (
	// significanceLevel is the probability that the jobs alone explain the failures on a worker, at or below which the
	// failures are attributed to the worker. The test is repeated on every failure, so a level of 1e-3 quarantined
	// healthy workers where a third of all tasks fail.
	significanceLevel = 1e-6
	// minFailingJobs is the number of different jobs that must fail on a worker and succeed elsewhere.
	minFailingJobs = 3
	// workRateWeight is the weight of the failure rate of a work in the estimate for a job, as a number of attempts.
	workRateWeight = 2.0
	// minSuspectJobs is the minimum number of jobs with unattributed failures on a suspect worker.
	minSuspectJobs = 2
	// longRunWeight is the weight of an attempt that has run for long, relative to one that succeeded.
	longRunWeight = 0.5
)

// IsSuspect reports whether several jobs failed on a worker, without a success in between, and the failures are not yet
// attributed to the jobs or to the worker. It is a hint for placement, not a quarantine.
func (a *Attributor) IsSuspect(worker string) bool {
	w, ok := a.workers[worker]
	if !ok || w.quarantined {
		return false
	}
	n := 0
	for id := range w.failuresByJob {
		if j, ok := a.jobs[id]; !ok || j.parkedReason != "" || len(a.failuresOnHealthyWorkers(j, worker)) > 0 {
			continue
		}
		n++
	}
	return n >= minSuspectJobs
}

// jobFailureRate returns the estimated probability that an attempt of job j fails on a healthy worker, and whether the
// job succeeded or ran for long on other workers. If it did not, its failures are no evidence against the worker.
func (a *Attributor) jobFailureRate(j *jobRecord, worker string, f failure) (float64, bool) {
	var failed, succeeded float64
	for id, c := range j.attemptsByWorker {
		if id == worker || a.isQuarantined(id) {
			continue
		}
		if !a.IsSuspect(id) {
			failed += float64(c.failed)
		}
		succeeded += float64(c.succeeded)
		if c.longestRun >= healthyRunFactor*f.ranFor && c.longestRun >= minHealthyRun {
			succeeded += longRunWeight
		}
	}
	rate := (failed + workRateWeight*a.workFailureRate(j.work, worker)) / (failed + succeeded + workRateWeight)
	return rate, succeeded > 0
}

// workFailureRate returns the estimated failure rate of a work on all workers other than except that are neither
// quarantined nor suspect. The estimate is 2/3 without outcomes and is too high while there are few, since a rate that
// is too low attributes failures to workers.
func (a *Attributor) workFailureRate(work, except string) float64 {
	var sum outcomeCounts
	for id, c := range a.workOutcomes[work] {
		if id == except || a.isQuarantined(id) || a.IsSuspect(id) {
			continue
		}
		sum.failed += c.failed
		sum.succeeded += c.succeeded
	}
	return (sum.failed + 2) / (sum.failed + sum.succeeded + 3)
}

// evaluateOtherWorkers evaluates the other workers on which the job of an outcome failed.
func (a *Attributor) evaluateOtherWorkers(o Outcome, j *jobRecord) []Decision {
	var out []Decision
	for _, id := range slices.Sorted(maps.Keys(j.attemptsByWorker)) {
		if id == o.Worker || j.attemptsByWorker[id].failed == 0 {
			continue
		}
		if d, ok := a.evaluateWorker(o, id); ok {
			out = append(out, d)
		}
	}
	return out
}

// evaluateWorker quarantines a worker if the probability that the jobs alone explain its failures is at or below
// significanceLevel.
func (a *Attributor) evaluateWorker(o Outcome, worker string) (Decision, bool) {
	w := a.getOrCreateWorker(worker)
	if w.quarantined || len(w.failuresByJob) < minFailingJobs {
		return Decision{}, false
	}
	probability := 1.0
	var jobs []string
	for _, id := range slices.Sorted(maps.Keys(w.failuresByJob)) {
		j, ok := a.jobs[id]
		if !ok || o.At.Sub(w.failuresByJob[id].at) > failureRetention {
			continue
		}
		if rate, succeededElsewhere := a.jobFailureRate(j, worker, w.failuresByJob[id]); succeededElsewhere {
			probability *= rate
			jobs = append(jobs, id)
		}
	}
	if len(jobs) < minFailingJobs || probability > significanceLevel {
		return Decision{}, false
	}
	w.quarantine(o.At)
	a.dropFailuresOn(worker)
	return Decision{
		Jobs: jobs[:min(len(jobs), 8)], Kind: KindQuarantine, Probe: w.probeAt, Worker: worker,
		Reason: fmt.Sprintf("%d jobs failed there and did well elsewhere, probability by chance %.2g",
			len(jobs), probability),
	}, true
}

// failuresOnHealthyWorkers returns the workers, other than except, on which the job failed after its last success and
// which then successfully ran a task that started after the failure.
func (a *Attributor) failuresOnHealthyWorkers(j *jobRecord, except string) []string {
	var out []string
	for id, c := range j.attemptsByWorker {
		if id != except && c.failed > 0 && a.wasHealthyAfter(id, c.failedAt) && c.failedAt.After(j.succeededAt) {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

// wasHealthyAfter reports whether a task that started on the worker at failedAt or later ran well.
func (a *Attributor) wasHealthyAfter(worker string, failedAt time.Time) bool {
	w, ok := a.workers[worker]
	return ok && !w.quarantined && !w.healthyAt.Before(failedAt)
}
