package attribution

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
)

const (
	// parkAfterWorkers is the number of healthy workers on which a job must fail to be parked.
	parkAfterWorkers = 3
	// parkTaskAfterWorkers is the number of healthy workers on which a single task must fail for its job to be parked,
	// while other tasks of the job succeed.
	parkTaskAfterWorkers = 4
	// parkUnconfirmedAfterWorkers is the number of workers on which a job must be the only one that fails to be parked.
	// It applies if no other task runs there that would show that the workers are healthy.
	parkUnconfirmedAfterWorkers = 6
	// parkUnfitAfter is how long a job must be too large for every worker to be parked. A shorter time would park jobs
	// wrongly, since the host list is delayed and hosts are replaced.
	parkUnfitAfter = 30 * time.Second
)

// RecordFits records that a job is not too large for the workers any more.
func (a *Attributor) RecordFits(job string) {
	if j, ok := a.jobs[job]; ok {
		j.unfitSince = time.Time{}
	}
}

// IsParked returns the reason for which a job is parked, and whether it is parked.
func (a *Attributor) IsParked(job string) (string, bool) {
	j, ok := a.jobs[job]
	if !ok || j.parkedReason == "" {
		return "", false
	}
	return j.parkedReason, true
}

// RecordNeverFits records that a job is too large for every worker, and parks it if that has been so for 30 s.
func (a *Attributor) RecordNeverFits(job, detail string, now time.Time) (Decision, bool) {
	j := a.getOrCreateJob(Outcome{At: now, Job: job})
	if j.unfitSince.IsZero() {
		j.unfitSince = now
	}
	if j.parkedReason != "" || now.Sub(j.unfitSince) < parkUnfitAfter {
		return Decision{}, false
	}
	return j.park(job, "fits no worker: "+detail), true
}

// evaluateJob parks a job if the job or one of its tasks failed on enough healthy workers, or if the job is the only
// one that failed on enough workers.
func (a *Attributor) evaluateJob(id string, j *jobRecord) (Decision, bool) {
	if j.parkedReason != "" {
		return Decision{}, false
	}
	if workers := a.failuresOnHealthyWorkers(j, ""); len(workers) >= parkAfterWorkers {
		return j.park(id, failureReason("failed", workers, j.lastFailureReason)), true
	}
	for _, task := range slices.Sorted(maps.Keys(j.failedTasks)) {
		var workers []string
		for worker, at := range j.failedTasks[task] {
			if a.wasHealthyAfter(worker, at) {
				workers = append(workers, worker)
			}
		}
		if len(workers) >= parkTaskAfterWorkers {
			slices.Sort(workers)
			return j.park(id, failureReason("task "+task+" failed", workers, j.lastFailureReason)), true
		}
	}
	if workers := a.soleFailures(id, j); len(workers) >= parkUnconfirmedAfterWorkers {
		return j.park(id, failureReason("alone failed", workers, j.lastFailureReason)), true
	}
	return Decision{}, false
}

// evaluateJobs evaluates jobs that failed on a worker that has since been found healthy.
func (a *Attributor) evaluateJobs(ids []string) []Decision {
	var out []Decision
	for _, id := range ids {
		if j, ok := a.jobs[id]; ok {
			if d, parked := a.evaluateJob(id, j); parked {
				out = append(out, d)
			}
		}
	}
	return out
}

// soleFailures returns the workers on which the job is the only one that failed. It returns none if the job has ever
// succeeded.
func (a *Attributor) soleFailures(id string, j *jobRecord) []string {
	if !j.succeededAt.IsZero() {
		return nil
	}
	var out []string
	for worker, c := range j.attemptsByWorker {
		w, ok := a.workers[worker]
		if !ok || c.failed == 0 || w.quarantined {
			continue
		}
		others := len(w.failuresByJob)
		if _, failedHere := w.failuresByJob[id]; failedHere {
			others--
		}
		if others == 0 {
			out = append(out, worker)
		}
	}
	slices.Sort(out)
	return out
}

func (j *jobRecord) park(job, reason string) Decision {
	j.parkedReason = reason
	return Decision{Job: job, Kind: KindPark, Reason: reason}
}

func failureReason(what string, workers []string, reason string) string {
	return fmt.Sprintf("%s on %d healthy workers (%s): %s", what, len(workers),
		strings.Join(workers[:min(len(workers), 8)], ", "), reason)
}
