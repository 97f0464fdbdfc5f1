package ledger

import "time"

// Timing holds the intervals and timeouts of an owner.
type Timing struct {
	// Autonomy is how long after its last renewal of the platform lease an owner may act on workers that support
	// epochs.
	Autonomy time.Duration
	// CheckpointInterval is the minimum time between a commit and the commit of a batch that holds only checkpoints.
	CheckpointInterval time.Duration
	// CommitInterval is the minimum time between two commits.
	CommitInterval time.Duration
	// HeartbeatInterval is the minimum time between two heartbeats to a worker.
	HeartbeatInterval time.Duration
	// Lease is the worker lease: the maximum age of a token, and the time for which a heartbeat lets tasks run.
	Lease time.Duration
	// RenewDeadline is how long after sending a successful renewal the owner relies on its platform lease. It is
	// shorter than PlatformLease, so that the owner stops relying on the lease before it can expire.
	RenewDeadline time.Duration
	// PlatformLease is the duration of the platform lease of an entry host.
	PlatformLease time.Duration
	// ResendInterval is the time after which an unanswered start or stop request is sent again.
	ResendInterval time.Duration
	// RetryDelay is the delay before a task restarts on its worker after a failed or refused attempt.
	RetryDelay time.Duration
}

// DefaultTiming returns the durations of docs/design.md, sections 5 and 12.
func DefaultTiming() Timing {
	return Timing{
		Autonomy:           2 * time.Hour,
		CheckpointInterval: 2 * time.Second,
		CommitInterval:     250 * time.Millisecond,
		HeartbeatInterval:  2 * time.Second,
		// After a crash of the owner a takeover takes up to 12 s: the platform lease expires, the new owner writes
		// the shard's record and fences the workers. Tasks survive that only if their leases are longer than the
		// takeover and one heartbeat interval together.
		Lease:          15 * time.Second,
		RenewDeadline:  6 * time.Second,
		PlatformLease:  9 * time.Second,
		ResendInterval: time.Second,
		RetryDelay:     5 * time.Second,
	}
}

// absenceTimeout is how long a worker must be missing from the host list before the owner may conclude that no task runs
// on it.
func (t Timing) absenceTimeout() time.Duration { return withMargin(2 * t.Lease) }

// autonomyTimeout is how long after a takeover messages of an earlier owner can still have an effect on any worker.
func (t Timing) autonomyTimeout() time.Duration { return withMargin(t.Autonomy + 2*t.Lease) }

// workerLeaseTimeout is how long after a worker's last response tasks of this owner can still run there. It is two
// leases, because a message may use the token of that response until one lease later, and then lets tasks run for
// another lease.
func (t Timing) workerLeaseTimeout() time.Duration { return withMargin(2 * t.Lease) }

// platformLeaseTimeout is how long after a takeover messages of an earlier owner can still have an effect on a worker
// without epoch support.
func (t Timing) platformLeaseTimeout() time.Duration { return withMargin(t.PlatformLease + 2*t.Lease) }

// withMargin adds 10% for clock drift between hosts and workers.
func withMargin(d time.Duration) time.Duration { return d + d/10 }
