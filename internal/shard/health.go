package shard

import "time"

const (
	// quarantineAfter is the number of failed runs in a row, of different tasks, after which a worker is left alone.
	// Tasks fail by their own fault in up to one run in twenty, so three in a row by chance are rare.
	quarantineAfter = 3
	firstQuarantine = 2 * time.Second
	maxQuarantine   = 16 * time.Second
)

// health is what the ends of runs say of a worker.
type health struct {
	failures int
	pause    time.Duration
	// probing says that the quarantine is over and one run is let through.
	probing bool
	until   time.Time
}

// failed counts a failed run and reports whether the worker is put into quarantine.
func (h *health) failed(now time.Time) bool {
	h.failures++
	if h.failures < quarantineAfter && !h.probing {
		return false
	}
	h.pause = min(max(2*h.pause, firstQuarantine), maxQuarantine)
	h.until, h.probing, h.failures = now.Add(h.pause), true, 0
	return true
}

func (h *health) succeeded() { *h = health{} }

// accepts reports whether a worker with the given number of runs may get one more.
func (h *health) accepts(now time.Time, runs int) bool {
	return !now.Before(h.until) && (!h.probing || runs == 0)
}
