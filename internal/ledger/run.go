package ledger

import "time"

// runPhase is what the owner knows of a task's attempts on its bound worker.
type runPhase int

const (
	// runIdle: no attempt exists and none can appear.
	runIdle runPhase = iota
	// runUnproven: an earlier owner's attempt may exist.
	runUnproven
	// runStarting: a start was sent and no report lists it yet.
	runStarting
	// runRunning: a report listed the attempt.
	runRunning
)

// run is the owner's knowledge of a task that has not ended.
type run struct {
	// answeredAt is when the worker answered the start; a report of a later contact must list the attempt.
	answeredAt time.Time
	attempt    int
	// attemptKnown says that no earlier owner can have used a higher number than attempt.
	attemptKnown bool
	checkpoint   int64
	// closing says that a withdrawal or parking was proposed.
	closing bool
	// finished says that the end was proposed.
	finished  bool
	holdUntil time.Time
	id        string
	job       Job
	order     int64
	phase     runPhase
	// proposed is the worker of a binding that is not committed.
	proposed string
	sentAt   time.Time
	// settled is the highest attempt whose end was taken into account.
	settled int
	// stopReason asks for a stop if it is not empty.
	stopReason string
	stopSentAt time.Time
	// worker is that of the committed binding.
	worker string
}

// mayHold reports whether an attempt may take resources on the bound worker.
func (r *run) mayHold() bool { return r.phase != runIdle }

// idle records proof that no attempt exists on the bound worker and that none can appear.
func (r *run) idle() {
	r.answeredAt = time.Time{}
	r.phase = runIdle
	r.stopReason = ""
}

// before orders waiting tasks: services first, then by priority, then by acceptance.
func (r *run) before(o *run) bool {
	if a, b := r.job.IsLatencyCritical(), o.job.IsLatencyCritical(); a != b {
		return a
	}
	if r.job.Priority != o.job.Priority {
		return r.job.Priority > o.job.Priority
	}
	return r.order < o.order
}
