package shard

import "time"

// Timing holds the durations that an owner's rules depend on.
type Timing struct {
	// ClockDrift is how much slower than ours a worker's clock may run, as a part of 1.
	ClockDrift float64
	// CommitGap is the least time between two writes of records, which lets changes share a write.
	CommitGap time.Duration
	// EvaluationGap lengthens the pause after a round of placement by the pairs of task and worker that it looked at.
	EvaluationGap time.Duration
	// LeaseMargin is added to the end of a worker's lease before its tasks count as ended: scheduling and rounding.
	LeaseMargin time.Duration
	// LookGap is the least time between two looks at a worker, which lets several ends share a look.
	LookGap time.Duration
	// LookRetry is the pause after a look that failed.
	LookRetry time.Duration
	// LookWait is how long a worker may hold a look until a task ends.
	LookWait time.Duration
	// MaxWorkerLease is the longest lease that a worker grants, whoever asks for it.
	MaxWorkerLease time.Duration
	// OverLookWait is the same for a worker with a serving task over its target.
	OverLookWait time.Duration
	// SharedLookWait is the same for a worker on which serving tasks are disturbed by others: a tail over its target
	// has to be answered within seconds.
	SharedLookWait time.Duration
	// WorkerLease is how far ahead of a worker's clock its lease is renewed. Longer leases let tasks outlive longer cuts
	// and outages; shorter ones let the tasks of a lost worker start elsewhere sooner.
	WorkerLease time.Duration
}

// DefaultTiming returns timing for workers that grant leases of 10 s.
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

// onSlowestClock returns how long a span on the slowest allowed worker clock lasts on ours.
func (t Timing) onSlowestClock(d time.Duration) time.Duration {
	return time.Duration(float64(d) / (1 - t.ClockDrift))
}
