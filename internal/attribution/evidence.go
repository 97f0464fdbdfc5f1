package attribution

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

const (
	// chance is the probability below which the failures on a worker are no longer put down to the jobs.
	// Every failure is such a test, so 1e-3 quarantined healthy workers where a third of all tasks fail.
	chance = 1e-6
	// minJobs is the number of different jobs that must fail on a worker and do well elsewhere.
	minJobs = 3
	// priorWeight is the number of attempts that the failure rate of a work counts for in that of a job.
	priorWeight = 2.0
	// suspectJobs is the number of jobs whose unexplained failures make a worker a last choice.
	suspectJobs = 2
	// survivedWeight is what an attempt that still runs counts for, compared with one that succeeded.
	survivedWeight = 0.5
)

// IsSuspect reports whether several jobs failed on a worker in a row for which neither they nor the
// worker are to blame yet. It is a hint for placement, not a quarantine.
func (a *Attributor) IsSuspect(worker string) bool {
	w, ok := a.workers[worker]
	if !ok || w.quarantined {
		return false
	}
	n := 0
	for id := range w.failing {
		if j, ok := a.jobs[id]; !ok || j.parked != "" || len(a.provenFailures(j, worker)) > 0 {
			continue
		}
		n++
	}
	return n >= suspectJobs
}

// ownRate returns the estimated probability that job j fails on a healthy worker, and whether the job
// did better elsewhere than on the worker, without which its failures say nothing about the worker.
func (a *Attributor) ownRate(j *jobRecord, worker string, f failure) (float64, bool) {
	var failed, done float64
	for id, t := range j.byWorker {
		if id == worker || a.isQuarantined(id) {
			continue
		}
		if !a.IsSuspect(id) {
			failed += float64(t.failed)
		}
		done += float64(t.succeeded)
		if t.longestRun >= survivalFactor*f.ranFor && t.longestRun >= survival {
			done += survivedWeight
		}
	}
	rate := (failed + priorWeight*a.workRate(j.work, worker)) / (failed + done + priorWeight)
	return rate, done > 0
}

// workRate returns the failure rate of a work on all other workers in good standing. It starts at 2/3 and
// errs to the high side while outcomes are few, since a rate that is too low blames workers.
func (a *Attributor) workRate(work, except string) float64 {
	var sum tally
	for id, t := range a.works[work] {
		if id == except || a.isQuarantined(id) || a.IsSuspect(id) {
			continue
		}
		sum.failed += t.failed
		sum.succeeded += t.succeeded
	}
	return (sum.failed + 2) / (sum.failed + sum.succeeded + 3)
}

// judgeWorkers judges the other workers on which the job of an outcome failed.
func (a *Attributor) judgeWorkers(o Outcome, j *jobRecord) []Decision {
	var out []Decision
	for _, id := range slices.Sorted(maps.Keys(j.byWorker)) {
		if id == o.Worker || j.byWorker[id].failed == 0 {
			continue
		}
		if d, ok := a.judgeWorker(o, id); ok {
			out = append(out, d)
		}
	}
	return out
}

// judgeWorker quarantines a worker if it is too improbable that the jobs alone explain its failures.
func (a *Attributor) judgeWorker(o Outcome, worker string) (Decision, bool) {
	w := a.worker(worker)
	if w.quarantined || len(w.failing) < minJobs {
		return Decision{}, false
	}
	product := 1.0
	var jobs []string
	for _, id := range slices.Sorted(maps.Keys(w.failing)) {
		j, ok := a.jobs[id]
		if !ok || o.At.Sub(w.failing[id].at) > memory {
			continue
		}
		if rate, better := a.ownRate(j, worker, w.failing[id]); better {
			product *= rate
			jobs = append(jobs, id)
		}
	}
	if len(jobs) < minJobs || product > chance {
		return Decision{}, false
	}
	w.quarantine(o.At)
	a.dropFailuresOn(worker)
	return Decision{
		Jobs: jobs[:min(len(jobs), 8)], Kind: KindQuarantine, Probe: w.probeAt, Worker: worker,
		Reason: fmt.Sprintf("%d jobs failed there and did well elsewhere, probability by chance %.2g",
			len(jobs), product),
	}, true
}

// provenFailures returns the workers, other than except, on which the job failed and that ran another
// task well that started later.
func (a *Attributor) provenFailures(j *jobRecord, except string) []string {
	var out []string
	for id, t := range j.byWorker {
		if id != except && t.failed > 0 && a.isProven(id, t.failedAt) && t.failedAt.After(j.succeededAt) {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

func (a *Attributor) isProven(worker string, failedAt time.Time) bool {
	w, ok := a.workers[worker]
	return ok && !w.quarantined && !w.provenAt.Before(failedAt)
}
