package shard

import (
	"slices"
	"time"
)

const (
	// maxFirstPolls bounds the unanswered polls of workers whose state this owner does not know. A new owner that polled all
	// workers at once would send its first commit and starts after all of these calls, which takes a weak host a second.
	maxFirstPolls = 16
	// firstPollTime is how long an unanswered poll counts against maxFirstPolls, so that workers that do not answer delay the
	// polls of others for this time only.
	firstPollTime = 200 * time.Millisecond
)

// pollOrder returns the workers in the order in which they are polled. Until all have answered this owner, those come first whose runs
// end first unless it renews their lease. Owners in series that don't get to all workers would otherwise leave out the same ones.
func (o *Owner) pollOrder() []*worker {
	workers := o.sortedWorkers()
	if !slices.ContainsFunc(workers, func(w *worker) bool { return !w.fenced }) {
		return workers
	}
	workers = slices.Clone(workers)
	slices.SortStableFunc(workers, func(a, b *worker) int {
		if hasRuns := a.hasSentAttempts(); hasRuns != b.hasSentAttempts() {
			if hasRuns {
				return -1
			}
			return 1
		}
		return a.life.Inherited().End.Compare(b.life.Inherited().End)
	})
	return workers
}

// countFirstPolls returns the number of polls in flight that count against maxFirstPolls.
func (o *Owner) countFirstPolls(now time.Time) int {
	n := 0
	for _, w := range o.workers {
		if !w.fenced && w.pollInFlight && now.Sub(w.polledAt) < firstPollTime {
			n++
		}
	}
	return n
}
