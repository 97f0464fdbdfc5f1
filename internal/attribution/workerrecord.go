package attribution

import (
	"slices"
	"time"
)

// failureRetention is how long a failure counts as evidence against a worker.
const failureRetention = 30 * time.Minute

// failure is the last failure of a job on a worker.
type failure struct {
	at     time.Time
	ranFor time.Duration
}

// workerRecord holds the failures on a worker and its quarantine.
type workerRecord struct {
	// failuresByJob holds the last failure of each job that failed since the start of the last task that ran well.
	failuresByJob map[string]failure
	// failureCount is used by PolicyFixedBlacklist only.
	failureCount   int
	probeDelay     time.Duration
	probeAt        time.Time
	probeStartedAt time.Time
	// healthyAt is the latest time at which a task started that ran well.
	healthyAt     time.Time
	quarantined   bool
	releasedAt    time.Time
	quarantinedAt time.Time
}

func (w *workerRecord) recordFailure(o Outcome) {
	for job, f := range w.failuresByJob {
		if o.At.Sub(f.at) > failureRetention {
			delete(w.failuresByJob, job)
		}
	}
	if _, ok := w.failuresByJob[o.Job]; !ok && len(w.failuresByJob) >= maxFailingJobs {
		return
	}
	w.failuresByJob[o.Job] = failure{at: o.At, ranFor: o.RanFor}
}

// recordHealthy records that a task that started at the given time ran well. It removes only the failures up to that
// time, because a task that started before the worker became faulty may still succeed. It returns the sorted jobs of
// the removed failures.
func (w *workerRecord) recordHealthy(started time.Time) []string {
	var cleared []string
	if started.After(w.healthyAt) {
		w.healthyAt = started
	}
	for job, f := range w.failuresByJob {
		if !f.at.After(started) {
			delete(w.failuresByJob, job)
			cleared = append(cleared, job)
		}
	}
	slices.Sort(cleared)
	return cleared
}

// outlastsFailures reports whether a running attempt has lasted healthyRunFactor times as long as every attempt that
// failed on the worker, and at least minHealthyRun.
func (w *workerRecord) outlastsFailures(o Outcome) bool {
	longest := minHealthyRun / healthyRunFactor
	for _, f := range w.failuresByJob {
		longest = max(longest, f.ranFor)
	}
	return o.RanFor >= healthyRunFactor*longest
}
