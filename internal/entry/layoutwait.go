package entry

import (
	"context"
	"time"
)

const (
	// layoutDelay is how long the numbers of hosts and workers must stay the same before a host writes the layout. The number of
	// shards depends on them and never changes afterwards.
	layoutDelay = time.Second
	// maxLayoutDelay bounds the wait for hosts or workers that come one after the other, since no job is accepted without a layout.
	maxLayoutDelay = 5 * time.Second
	// registrationTime is how long the registry must have been readable. The entries of workers that expired in an outage of the
	// store are back about 2 s after its end.
	registrationTime = 2500 * time.Millisecond
	// workerCountInterval is the time between two counts of the workers.
	workerCountInterval = 500 * time.Millisecond
	// outageReads is how many reads of the registry fail in a row until the entries of workers may have expired. Entries expire 4.5 s
	// after the worker's last report, 3 s or more into an outage, and a read without an answer ends after 1 s. A single failed read is
	// no sign of an outage: its response may have been lost.
	outageReads = 2
)

// layoutWait is what a host has seen of hosts and workers since it found no layout. Only election rounds use it, so it needs no lock.
type layoutWait struct {
	// countedAt is when the workers were last counted.
	countedAt time.Time
	// failedReads is the number of reads of the registry that have failed since.
	failedReads    int
	hosts, workers observedCount
}

// observedCount is a count that is observed again and again.
type observedCount struct {
	changedAt time.Time
	n         int
	since     time.Time
}

// with returns the count after an observation.
func (c observedCount) with(now time.Time, n int) observedCount {
	if c.since.IsZero() {
		c.since = now
	}
	if c.changedAt.IsZero() || n != c.n {
		c.changedAt, c.n = now, n
	}
	return c
}

// isSettled reports whether the count has been observed for least and stayed the same for layoutDelay, or maxLayoutDelay has passed.
func (c observedCount) isSettled(now time.Time, least time.Duration) bool {
	if c.since.IsZero() {
		return false
	}
	observed := now.Sub(c.since)
	return observed >= maxLayoutDelay || observed >= least && now.Sub(c.changedAt) >= layoutDelay
}

// observeFleet counts hosts and workers and returns whether the layout may be written. Without a valid lease it starts anew: other
// hosts may have lost their leases too, and the directory may be out of date. After outageReads, the count of workers
// starts anew.
func (h *Host) observeFleet(ctx context.Context) bool {
	if lease, expires := h.session.currentLease(); lease == 0 || !h.now().Before(expires) {
		h.layoutWait = layoutWait{}
		return false
	}
	w := &h.layoutWait
	w.hosts = w.hosts.with(time.Now(), len(h.directory.strengths(h.self)))
	if time.Since(w.countedAt) >= workerCountInterval {
		n, err := h.countWorkers(ctx)
		now := time.Now()
		if err != nil {
			w.failedReads++
		}
		if err == nil && n == 0 || w.failedReads >= outageReads {
			w.workers = observedCount{}
		}
		if err != nil || n == 0 {
			return false // the next election round retries
		}
		w.countedAt, w.failedReads, w.workers = now, 0, w.workers.with(now, n)
	}
	now := time.Now()
	return w.hosts.isSettled(now, 0) && w.workers.isSettled(now, registrationTime)
}

// countWorkers returns the number of registered workers. The store bounds the read of each page.
func (h *Host) countWorkers(ctx context.Context) (int, error) {
	kvs, _, err := h.platform.Store.Range(ctx, h.platform.WorkerPrefix)
	return len(kvs), err
}
