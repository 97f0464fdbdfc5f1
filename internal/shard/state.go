package shard

import (
	"slices"
	"time"

	"github.com/laburnumridge/laburnumridge/internal/fleet"
	"github.com/laburnumridge/laburnumridge/internal/interference"
	"github.com/laburnumridge/laburnumridge/internal/workflow"
)

// phase is what is known of an attempt.
type phase int

const (
	// phasePlanned: chosen, but not recorded; nothing was sent.
	phasePlanned phase = iota
	// phaseReady: recorded, and the start may be sent.
	phaseReady
	// phaseSent: the start is on its way, or its answer was lost.
	phaseSent
	// phaseInherited: an earlier owner recorded the attempt; its worker has not been asked yet.
	phaseInherited
	// phaseRunning: the worker confirmed the run.
	phaseRunning
	// phaseStopping: a stop is to be sent or on its way.
	phaseStopping
	// phaseStopped: the worker confirmed the stop; the end is not listed yet.
	phaseStopped
)

// attempt is a run of a task on a worker that is not proven to have ended.
type attempt struct {
	// confirmedAt is when the worker's answer to the start or the stop came.
	confirmedAt time.Time
	metric      float64
	// inFlight says that an order for the attempt has no answer yet.
	inFlight bool
	// overdue says that the run took much longer than its siblings.
	overdue bool
	// overTargetSince is since when every listing showed the run over its latency target.
	overTargetSince time.Time
	// pace is the percentage that was last asked for; 100 after a start.
	pace    int
	phase   phase
	retryAt time.Time
	run     int
	sentAt  time.Time
	// slowSince is since when the run has been slowed down much.
	slowSince time.Time
	stopCause string
	task      *task
	ticket    string
	worker    *worker
}

// isSent reports whether the worker may know of the attempt.
func (a *attempt) isSent() bool { return a.phase != phasePlanned && a.phase != phaseReady }

// task is one task of an occurrence of a job.
type task struct {
	attempts    []*attempt
	avoidWorker string
	checkpoint  string
	// copies counts the runs that were given up as overdue.
	copies   int
	done     bool
	failures int
	job      *job
	key      workflow.TaskKey
	// notBefore delays the next start after a failure.
	notBefore time.Time
	run       int
	started   bool
	step      *workflow.Step
	// waitingSince is since when a task that fills has found no worker that suits it.
	waitingSince time.Time
}

func (t *task) isWaiting() bool { return !t.done && len(t.attempts) == 0 }

// occurrence is one run of all steps of a job.
type occurrence struct {
	index int
	// loads follows the load of the serving tasks of each step; nil until a tail is known.
	loads     []*interference.Load
	openTasks int
	// permits holds the advice on workers for each step.
	permits []map[string]permit
	// ready says for each step that all steps before it are done.
	ready []bool
	tasks [][]*task
	// times holds for each step how long its done tasks took.
	times []stepTimes
	// undone counts the tasks of each step that are not done.
	undone []int
}

// job is an accepted job that has no final state on record, or whose runs have not all ended.
type job struct {
	workflow.Job
	cancelled   bool
	dirty       bool
	doneThrough int
	// final is the state that is to be recorded, or is.
	final         workflow.State
	finalRecorded bool
	// objective is when the job is late.
	objective   time.Time
	occurrences map[int]*occurrence
	priority    int
	queue       workflow.Queue
	// started says that a task of the job has been started.
	started bool
	version int
}

// openOccurrences returns the job's occurrences that are not done, the earliest first.
func (j *job) openOccurrences() []*occurrence {
	out := make([]*occurrence, 0, len(j.occurrences))
	for _, occ := range j.occurrences {
		out = append(out, occ)
	}
	slices.SortFunc(out, func(a, b *occurrence) int { return a.index - b.index })
	return out
}

// worker is a worker with what the owner knows of it.
type worker struct {
	Worker
	// answeredAt is when the worker answered a look last.
	answeredAt  time.Time
	attempts    []*attempt
	incarnation int64
	// tokenOffset is how often the token was raised for this worker alone.
	tokenOffset int64
	// clock is the worker's clock in milliseconds at the time clockAt or earlier.
	clock         int64
	clockAt       time.Time
	drainingSince time.Time
	// fenced says that the worker has accepted the owner's token.
	fenced bool
	// excessPressure is by how much the pressure on the serving tasks exceeds what the model expects, at present.
	excessPressure float64
	// haltedAt is when tasks of a weight from haltLimit on had to stand still last.
	haltedAt   time.Time
	haltWeight float64
	health     health
	// holdsFor is the task that the worker is kept for until heldUntil.
	heldUntil time.Time
	heldFor   *task
	// inheritedLeaseEnd bounds the leases that earlier owners may have given.
	inheritedLeaseEnd time.Time
	nextPollAt        time.Time
	pollFailures      int
	pollInFlight      bool
	pollSeq           int64
	// recordedEnd is the newest end whose record is written; told is what the worker has been told of it.
	recordedEnd, ackedEnd int64
	// pacedAt is when the pace of a task was changed last.
	pacedAt    time.Time
	registered bool
	reserved   fleet.Resources
	lastEnd    int64
	// orphans is the number of runs in the last listing that are not on the books. What they take is not known, so the
	// worker gets no tasks until they have ended.
	orphans  int
	leaseEnd int64
	// uses is what filling images used lately, as far as measured tails still show it.
	uses   interference.Uses
	usesAt time.Time
	// view is nil after the load has changed.
	view *view
}

// leaseExpiry returns when everything that runs on the worker has certainly ended if nothing more is sent. A call that is
// carried out late sets the lease to the same absolute time.
func (w *worker) leaseExpiry(t Timing) time.Time {
	over := w.inheritedLeaseEnd
	if w.leaseEnd > 0 {
		left := time.Duration(w.leaseEnd-w.clock) * time.Millisecond
		if own := w.clockAt.Add(t.onSlowestClock(left) + t.LeaseMargin); own.After(over) {
			over = own
		}
	}
	return over
}

// renewLease returns the end of a lease that is renewed now, on the worker's clock. The lease of a worker that does not
// answer is not renewed, so that it ends and its tasks can be started elsewhere.
func (w *worker) renewLease(now time.Time, t Timing) int64 {
	if w.clockAt.IsZero() {
		return 0
	}
	if w.pollFailures == 0 {
		until := w.clock + now.Sub(w.clockAt).Milliseconds() + t.WorkerLease.Milliseconds()
		w.leaseEnd = max(w.leaseEnd, until)
	}
	return w.leaseEnd
}

func (w *worker) observeClock(clock int64, received time.Time) {
	if clock <= 0 || received.Before(w.clockAt) {
		return
	}
	w.clock, w.clockAt = clock, received
}

func (w *worker) add(a *attempt) {
	w.attempts = append(w.attempts, a)
	w.view = nil
	w.reserved = w.reserved.Add(reservation(a.task.step))
}

func (w *worker) remove(a *attempt) {
	if i := slices.Index(w.attempts, a); i >= 0 {
		// A copy, since callers remove attempts while they go through them.
		w.attempts = slices.Concat(w.attempts[:i], w.attempts[i+1:])
		w.view = nil
		w.reserved = w.reserved.Sub(reservation(a.task.step))
	}
}

// reservation returns what a task of the step takes from a worker's capacity.
func reservation(s *workflow.Step) fleet.Resources {
	r := s.Resources
	if s.Fills {
		r.CPUMilli = 0
	}
	return r
}
