package ledger

import "time"

// Timing holds the durations of the owner's rules.
type Timing struct {
	// Autonomy is how long an owner goes on with epoch-capable workers after its last platform contact.
	Autonomy time.Duration
	// CheckpointEvery bounds how often a batch that holds only checkpoints is committed.
	CheckpointEvery time.Duration
	// CommitEvery is the shortest time between two commits.
	CommitEvery time.Duration
	// HeartbeatEvery is the time between two heartbeats to a worker.
	HeartbeatEvery time.Duration
	// Lease is the worker lease: the age limit of a token and what a heartbeat adds to a task's life.
	Lease time.Duration
	// PlatformHold is how long after the start of a renewal the platform lease counts as held.
	PlatformHold time.Duration
	// PlatformLease is the platform's lease of an entry host.
	PlatformLease time.Duration
	// ResendEvery is the time after which an unanswered start or stop is sent again.
	ResendEvery time.Duration
	// RetryHold is how long a failed attempt's task waits before it restarts on its worker.
	RetryHold time.Duration
}

// DefaultTiming returns the durations of the design.
func DefaultTiming() Timing {
	return Timing{
		Autonomy:        2 * time.Hour,
		CheckpointEvery: 2 * time.Second,
		CommitEvery:     250 * time.Millisecond,
		HeartbeatEvery:  2 * time.Second,
		// A takeover takes up to 12 s: the platform lease runs out, the record is written and workers are fenced.
		// Tasks outlive the crash of their owner only if their leases are longer than that and a heartbeat.
		Lease:         15 * time.Second,
		PlatformHold:  6 * time.Second,
		PlatformLease: 9 * time.Second,
		ResendEvery:   time.Second,
		RetryHold:     5 * time.Second,
	}
}

// absentEnd is the time off the host list after which nothing runs on a worker.
func (t Timing) absentEnd() time.Duration { return withMargin(2 * t.Lease) }

// autonomyEnd is the time after a takeover when no earlier owner's message has effect on any worker.
func (t Timing) autonomyEnd() time.Duration { return withMargin(t.Autonomy + 2*t.Lease) }

// leaseEnd is the time after a worker's last response when nothing that the owner sent runs there:
// a message may carry a token for one lease and then renew for another.
func (t Timing) leaseEnd() time.Duration { return withMargin(2 * t.Lease) }

// platformEnd is the time after a takeover when no earlier owner's message has effect on a worker
// without epochs.
func (t Timing) platformEnd() time.Duration { return withMargin(t.PlatformLease + 2*t.Lease) }

// withMargin adds 10% because the clocks of hosts and workers drift.
func withMargin(d time.Duration) time.Duration { return d + d/10 }
