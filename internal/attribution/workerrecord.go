package attribution

import (
	"slices"
	"time"
)

// memory is how long a failure counts against a worker.
const memory = 30 * time.Minute

// failure is the last failure of a job on a worker.
type failure struct {
	at     time.Time
	ranFor time.Duration
}

// workerRecord is what is known of a worker.
type workerRecord struct {
	// failing holds the jobs that failed since the start of the last task that ran well.
	failing map[string]failure
	// failures is counted by the baseline only.
	failures int
	pause    time.Duration
	probeAt  time.Time
	probing  time.Time
	// provenAt is the latest start of a task that ran well.
	provenAt    time.Time
	quarantined bool
	releasedAt  time.Time
	since       time.Time
}

func (w *workerRecord) failed(o Outcome) {
	for job, f := range w.failing {
		if o.At.Sub(f.at) > memory {
			delete(w.failing, job)
		}
	}
	if _, ok := w.failing[o.Job]; !ok && len(w.failing) >= maxFailingJobs {
		return
	}
	w.failing[o.Job] = failure{at: o.At, ranFor: o.RanFor}
}

// healthy records that a task that started at the given time ran well. Only failures before that start
// are cleared, because a task that started on a worker before it went bad may still succeed. It returns
// the jobs of the cleared failures, sorted.
func (w *workerRecord) healthy(started time.Time) []string {
	var cleared []string
	if started.After(w.provenAt) {
		w.provenAt = started
	}
	for job, f := range w.failing {
		if !f.at.After(started) {
			delete(w.failing, job)
			cleared = append(cleared, job)
		}
	}
	slices.Sort(cleared)
	return cleared
}

// outlives reports whether a running attempt has lasted clearly longer than those that failed there.
func (w *workerRecord) outlives(o Outcome) bool {
	longest := survival / survivalFactor
	for _, f := range w.failing {
		longest = max(longest, f.ranFor)
	}
	return o.RanFor >= survivalFactor*longest
}
