package attribution

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
)

const (
	// parkAfter is the number of healthy workers on which a job must fail.
	parkAfter = 3
	// parkTaskAfter is the same for one task of a job whose other tasks succeed.
	parkTaskAfter = 4
	// parkUnproven is the number of workers on which a job alone fails that suffices where nothing else
	// runs that could prove the workers healthy.
	parkUnproven = 6
	// unfitFor is how long a job must fit no worker, since the host list lags and hosts are replaced.
	unfitFor = 30 * time.Second
)

// Fits clears the time since which a job has fitted no worker.
func (a *Attributor) Fits(job string) {
	if j, ok := a.jobs[job]; ok {
		j.unfitSince = time.Time{}
	}
}

// IsParked returns the reason for which a job is parked, if it is.
func (a *Attributor) IsParked(job string) (string, bool) {
	j, ok := a.jobs[job]
	if !ok || j.parked == "" {
		return "", false
	}
	return j.parked, true
}

// NeverFits records that a job is larger than every worker, and parks it once that has lasted 30 s.
func (a *Attributor) NeverFits(job, detail string, now time.Time) (Decision, bool) {
	j := a.job(Outcome{At: now, Job: job})
	if j.unfitSince.IsZero() {
		j.unfitSince = now
	}
	if j.parked != "" || now.Sub(j.unfitSince) < unfitFor {
		return Decision{}, false
	}
	return j.park(job, "fits no worker: "+detail), true
}

// judgeJob parks a job that failed on several healthy workers.
func (a *Attributor) judgeJob(id string, j *jobRecord) (Decision, bool) {
	if j.parked != "" {
		return Decision{}, false
	}
	if on := a.provenFailures(j, ""); len(on) >= parkAfter {
		return j.park(id, failedOn("failed", on, j.reason)), true
	}
	for _, task := range slices.Sorted(maps.Keys(j.tasks)) {
		var on []string
		for worker, at := range j.tasks[task] {
			if a.isProven(worker, at) {
				on = append(on, worker)
			}
		}
		if len(on) >= parkTaskAfter {
			slices.Sort(on)
			return j.park(id, failedOn("task "+task+" failed", on, j.reason)), true
		}
	}
	if on := a.loneFailures(id, j); len(on) >= parkUnproven {
		return j.park(id, failedOn("alone failed", on, j.reason)), true
	}
	return Decision{}, false
}

// judgeJobs judges jobs that failed on a worker that has just been proven healthy.
func (a *Attributor) judgeJobs(ids []string) []Decision {
	var out []Decision
	for _, id := range ids {
		if j, ok := a.jobs[id]; ok {
			if d, parked := a.judgeJob(id, j); parked {
				out = append(out, d)
			}
		}
	}
	return out
}

// loneFailures returns the workers on which the job failed and no other job did, if it never succeeded.
func (a *Attributor) loneFailures(id string, j *jobRecord) []string {
	if !j.succeededAt.IsZero() {
		return nil
	}
	var out []string
	for worker, t := range j.byWorker {
		w, ok := a.workers[worker]
		if !ok || t.failed == 0 || w.quarantined {
			continue
		}
		others := len(w.failing)
		if _, listed := w.failing[id]; listed {
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
	j.parked = reason
	return Decision{Job: job, Kind: KindPark, Reason: reason}
}

func failedOn(what string, on []string, reason string) string {
	return fmt.Sprintf("%s on %d healthy workers (%s): %s", what, len(on),
		strings.Join(on[:min(len(on), 8)], ", "), reason)
}
