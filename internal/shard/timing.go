package shard

import "time"

// Timing holds the intervals and timeouts of an owner.
type Timing struct {
	// CallDelay is the longest time after the sending of a call without a response at which a worker may still carry it out.
	CallDelay time.Duration
	// ClockDrift is the fraction by which a worker's clock may run slower than the owner's.
	ClockDrift float64
	// CommitGap is the minimum time between two commits, so that changes are written in batches.
	CommitGap time.Duration
	// EvaluationGap extends the pause after a placement round for each (task, worker) pair that the round evaluated.
	EvaluationGap time.Duration
	// HeldPollInterval replaces PollInterval while listed ends are held because of starts that may still be carried out. The worker lists
	// the ends in each response, which it does not delay then.
	HeldPollInterval time.Duration
	// IdleRenewalMargin is how long before its end the lease of a worker without runs is renewed while ends of the worker
	// wait for their record. It covers two polls without an answer, 0.9 s each, with the pauses after them.
	IdleRenewalMargin time.Duration
	// LeaseFromRenewal is the longest time from a renewal of the owner's own lease to the end of a worker's lease that the owner
	// requests. It bounds what an owner can have granted that acted on after its own lease was ended, which is not known to others.
	LeaseFromRenewal time.Duration
	// LeaseMargin is added to the lease expiry to allow for scheduling delays and rounding before the worker's tasks
	// count as ended.
	LeaseMargin time.Duration
	// PollInterval is the minimum time between two polls of a worker, so that several ends are reported in one poll.
	PollInterval time.Duration
	// PollRetryDelay is the pause after a failed poll. It grows with further failures, up to four times.
	PollRetryDelay time.Duration
	// PollWait is how long a worker may delay the answer to a poll until a task ends, unless one of the shorter waits
	// below applies.
	PollWait time.Duration
	// MaxWorkerLease is the longest lease that a worker grants to any owner.
	MaxWorkerLease time.Duration
	// OverTargetPollWait is the wait for workers with a serving task above its latency target.
	OverTargetPollWait time.Duration
	// MixedPollWait and MinMixedPollWait bound the wait for workers that run best-effort tasks next to serving tasks, which follows
	// from how soon a tail could exceed its target. A measurement covers half a second and a pace takes 100 ms, so with a wait
	// of less than 0.2 s successive reports would show much the same.
	MixedPollWait, MinMixedPollWait time.Duration
	// UnrecordedPollInterval replaces PollInterval while ends that the worker has listed are not recorded. The worker lists
	// them again in each poll, which adds work to an owner whose commits are already late. The interval is well below
	// maxAckGap, so that late timers don't make the owner exceed that.
	UnrecordedPollInterval time.Duration
	// WorkerLease is the length of the leases that the owner requests. With longer leases tasks survive longer
	// partitions and outages; with shorter ones the tasks of a lost worker are restarted elsewhere sooner.
	WorkerLease time.Duration
}

// renewalSlack is by how much LeaseFromRenewal exceeds WorkerLease: the age of the last renewal of an owner whose renewals are
// answered, with one of them lost.
const renewalSlack = 600 * time.Millisecond

// WithMaxWorkerLease returns the timing for workers that grant leases of at most longest, of which owners leave out a reserve.
func (t Timing) WithMaxWorkerLease(longest, reserve time.Duration) Timing {
	t.MaxWorkerLease, t.WorkerLease = longest, min(t.WorkerLease, longest-reserve)
	t.LeaseFromRenewal = min(t.WorkerLease+renewalSlack, longest)
	return t
}

// LeaseBound returns how long after a moment leases can last that end a time after it on a worker's clock, but not longer than the
// longest lease of a worker.
func (t Timing) LeaseBound(lease time.Duration) time.Duration {
	return t.onSlowestClock(min(lease, t.MaxWorkerLease)) + t.LeaseMargin
}

// restartDetection is how long calls for an earlier lifetime of a worker that renew its lease are sent after a restart: until a poll, which may
// wait behind other calls and gets no response, has ended.
const restartDetection = 5 * time.Second

// restartMemory is how long after a restart of a worker its lease may be longer than any that was requested, by the times of day of the
// worker and of an owner.
func (t Timing) restartMemory() time.Duration {
	return restartDetection + t.CallDelay + t.LeaseBound(t.MaxWorkerLease) + clockDifference
}

// DefaultTiming returns the timing for workers that grant leases of 10 s.
func DefaultTiming() Timing {
	return Timing{
		CallDelay:              12 * time.Second,
		ClockDrift:             0.02,
		CommitGap:              15 * time.Millisecond,
		EvaluationGap:          10 * time.Microsecond,
		HeldPollInterval:       500 * time.Millisecond,
		IdleRenewalMargin:      3 * time.Second,
		LeaseFromRenewal:       7*time.Second + renewalSlack,
		LeaseMargin:            300 * time.Millisecond,
		PollInterval:           150 * time.Millisecond,
		PollRetryDelay:         200 * time.Millisecond,
		PollWait:               1500 * time.Millisecond,
		MaxWorkerLease:         10 * time.Second,
		OverTargetPollWait:     300 * time.Millisecond,
		MixedPollWait:          700 * time.Millisecond,
		MinMixedPollWait:       200 * time.Millisecond,
		UnrecordedPollInterval: 300 * time.Millisecond,
		WorkerLease:            7 * time.Second,
	}
}

// onSlowestClock returns how long a duration that a worker measures can last on the owner's clock, if the worker's
// clock is as slow as ClockDrift allows.
func (t Timing) onSlowestClock(d time.Duration) time.Duration {
	return time.Duration(float64(d) / (1 - t.ClockDrift))
}
