package shard

import "time"

// Timing holds the intervals and timeouts of an owner.
type Timing struct {
	// ClockDrift is the fraction by which a worker's clock may run slower than the owner's.
	ClockDrift float64
	// CommitGap is the minimum time between two commits, so that changes are written in batches.
	CommitGap time.Duration
	// EvaluationGap extends the pause after a placement round for each (task, worker) pair that the round evaluated.
	EvaluationGap time.Duration
	// LeaseMargin is added to the lease expiry to allow for scheduling delays and rounding before the worker's tasks
	// count as ended.
	LeaseMargin time.Duration
	// LookGap is the minimum time between two polls of a worker, so that several ends are reported in one poll.
	LookGap time.Duration
	// LookRetry is the pause after a failed poll. It grows with further failures, up to four times.
	LookRetry time.Duration
	// LookWait is how long a worker may delay the answer to a poll until a task ends, unless one of the shorter waits
	// below applies.
	LookWait time.Duration
	// MaxWorkerLease is the longest lease that a worker grants to any owner.
	MaxWorkerLease time.Duration
	// OverLookWait is the wait for workers with a serving task above its latency target.
	OverLookWait time.Duration
	// SharedLookWait is the wait for workers that run best-effort tasks next to serving tasks: the owner has to react
	// within seconds to a tail above its target.
	SharedLookWait time.Duration
	// WorkerLease is the length of the leases that the owner requests. With longer leases tasks survive longer
	// partitions and outages; with shorter ones the tasks of a lost worker are restarted elsewhere sooner.
	WorkerLease time.Duration
}

// DefaultTiming returns the timing for workers that grant leases of 10 s.
func DefaultTiming() Timing {
	return Timing{
		ClockDrift:     0.02,
		CommitGap:      15 * time.Millisecond,
		EvaluationGap:  10 * time.Microsecond,
		LeaseMargin:    300 * time.Millisecond,
		LookGap:        150 * time.Millisecond,
		LookRetry:      200 * time.Millisecond,
		LookWait:       1500 * time.Millisecond,
		MaxWorkerLease: 10 * time.Second,
		OverLookWait:   300 * time.Millisecond,
		SharedLookWait: 700 * time.Millisecond,
		WorkerLease:    7 * time.Second,
	}
}

// onSlowestClock returns how long a duration that a worker measures can last on the owner's clock, if the worker's
// clock is as slow as ClockDrift allows.
func (t Timing) onSlowestClock(d time.Duration) time.Duration {
	return time.Duration(float64(d) / (1 - t.ClockDrift))
}
