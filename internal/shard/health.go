package shard

import "time"

const (
	// quarantineAfter is the number of failed runs in a row after which a worker is quarantined. They are usually of
	// different tasks, since a failed task avoids the worker. Up to one run in twenty fails through the fault of its
	// task, so three in a row rarely happen by chance.
	quarantineAfter = 3
	// The first quarantine lasts firstQuarantine; each further one lasts twice as long as the one before, up to
	// maxQuarantine, until a run succeeds.
	firstQuarantine = 2 * time.Second
	maxQuarantine   = 16 * time.Second
	// jointFailureTime is the longest time between the first and the last failure of runs of one job that count as joint.
	// The ends of runs that fail together reach the owner in one or a few polls.
	jointFailureTime = time.Second
)

// probeInterval is the minimum time between two runs that a worker on probation is given after its quarantine, until
// one of them succeeds.
const probeInterval = time.Second

// health tracks the failed and successful runs of a worker.
type health struct {
	failures int
	// jointJob is the job of the first of the failures, and jointSince is when that failure became known.
	jointJob   string
	jointSince time.Time
	// separate is set if at least one of the failures is not joint with the first.
	separate bool
	// nextProbe is the earliest time of the next run while the worker is on probation.
	nextProbe  time.Time
	quarantine time.Duration
	// probation is set if no run has succeeded since the quarantine began.
	probation bool
	// stalledUntil is when the quarantine for the last stall ends.
	stalledUntil time.Time
	// until is when the last quarantine ends.
	until time.Time
}

// runFailed counts a run of a job that ended as failed and reports whether the worker was put into quarantine. Failures of
// one job that come together are usually the fault of the job: as long as there are no others, they do not lead to a
// quarantine. The failure of a run that was sent after the first of them is a new sign against the worker.
func (h *health) runFailed(now time.Time, job string, sentAt time.Time) bool {
	if h.failures == 0 {
		h.jointJob, h.jointSince, h.separate = job, now, false
	}
	isJoint := job == h.jointJob && !sentAt.After(h.jointSince) && now.Sub(h.jointSince) <= jointFailureTime
	if isJoint && !h.separate && !h.probation {
		h.failures++
		return false
	}
	return h.failed(now)
}

// failed counts a failure that is not joint with others, and reports whether the worker was put into quarantine.
func (h *health) failed(now time.Time) bool {
	h.separate = true
	h.failures++
	if h.failures < quarantineAfter && !h.probation || now.Before(h.until) {
		return false
	}
	h.quarantine = min(max(2*h.quarantine, firstQuarantine), maxQuarantine)
	h.until, h.probation, h.failures = now.Add(h.quarantine), true, 0
	return true
}

// quarantineStalled puts a stalled worker into quarantine. A longer quarantine for failed runs stays.
func (h *health) quarantineStalled(now time.Time) {
	h.quarantine = max(h.quarantine, stalledQuarantine)
	h.stalledUntil = now.Add(stalledQuarantine)
	h.until, h.probation, h.failures = maxTime(h.until, h.stalledUntil), true, 0
}

func (h *health) succeeded() { *h = health{} }

// accepts reports whether the worker may be given a run now.
func (h *health) accepts(now time.Time) bool {
	return !now.Before(h.until) && (!h.probation || !now.Before(h.nextProbe))
}

// acceptsAt returns the earliest time at which the worker may be given a run.
func (h *health) acceptsAt() time.Time {
	if h.probation {
		return maxTime(h.until, h.nextProbe)
	}
	return h.until
}

// assigned updates the probation when a run is assigned to the worker. Long-running tasks never complete, so a worker
// is also considered healthy once it has had no failure for longer than its quarantine lasted.
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
