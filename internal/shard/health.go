package shard

import "time"

const (
	// quarantineAfter is the number of failed runs in a row, of different tasks, after which a worker is left alone.
	// Tasks fail by their own fault in up to one run in twenty, so three in a row by chance are rare.
	quarantineAfter = 3
	firstQuarantine = 2 * time.Second
	maxQuarantine   = 16 * time.Second
)

// probeInterval separates the runs that a worker gets after its quarantine, until one of them is done.
const probeInterval = time.Second

// health is what the ends of runs say of a worker.
type health struct {
	failures int
	// nextProbe is when the next run may be given to a worker on probation.
	nextProbe  time.Time
	quarantine time.Duration
	// probation says that the quarantine is over and no run was done since.
	probation bool
	until     time.Time
}

// failed counts a failed run and reports whether the worker is put into quarantine.
func (h *health) failed(now time.Time) bool {
	h.failures++
	if h.failures < quarantineAfter && !h.probation || now.Before(h.until) {
		return false
	}
	h.quarantine = min(max(2*h.quarantine, firstQuarantine), maxQuarantine)
	h.until, h.probation, h.failures = now.Add(h.quarantine), true, 0
	return true
}

// quarantineStalled puts a worker that stands still into quarantine.
func (h *health) quarantineStalled(now time.Time) {
	h.quarantine = stalledQuarantine
	h.until, h.probation, h.failures = now.Add(h.quarantine), true, 0
}

func (h *health) succeeded() { *h = health{} }

// accepts reports whether the worker may get a run now.
func (h *health) accepts(now time.Time) bool {
	return !now.Before(h.until) && (!h.probation || !now.Before(h.nextProbe))
}

// assigned takes note of a run that is given to the worker. Runs that last are never done, so a worker that fails none of
// its runs for as long as it was in quarantine counts as healthy, too.
func (h *health) assigned(now time.Time) {
	if !h.probation {
		return
	}
	if now.Sub(h.until) > h.quarantine {
		h.succeeded()
		return
	}
	h.nextProbe = now.Add(probeInterval)
}
