package shard

import (
	"slices"
	"time"

	"github.com/laburnumridge/laburnumridge/internal/fleet"
	"github.com/laburnumridge/laburnumridge/internal/forecast"
	"github.com/laburnumridge/laburnumridge/internal/interference"
	"github.com/laburnumridge/laburnumridge/internal/retrylimit"
	"github.com/laburnumridge/laburnumridge/internal/workercall"
	"github.com/laburnumridge/laburnumridge/internal/workflow"
)

// phase is the state of an attempt as far as the owner knows.
type phase int

const (
	// phasePlanned: a worker was chosen, but the attempt is not recorded yet and nothing was sent.
	phasePlanned phase = iota
	// phaseReady: the attempt is recorded, and its start may be sent.
	phaseReady
	// phaseSent: the start is in flight, or its answer was lost.
	phaseSent
	// phaseInherited: an earlier owner recorded the attempt, and its worker has not been polled yet.
	phaseInherited
	// phaseRunning: the worker confirmed the run.
	phaseRunning
	// phaseStopping: a stop has to be sent or is in flight.
	phaseStopping
	// phaseStopped: the worker confirmed the stop but has not listed the end yet.
	phaseStopped
)

// attempt is a run of a task on a worker that is not proven to have ended.
type attempt struct {
	// born is the lifetime of the worker to which the start was sent first, or for which an earlier owner recorded the attempt; 0 for
	// an attempt of this owner that was not sent.
	born int64
	// confirmedAt is when the worker answered the start or the stop, or first listed the run.
	confirmedAt time.Time
	// isAnswerRecorded is set if the record of the job may say that each start of the run has a response.
	isAnswerRecorded bool
	// isStartUnknown is set if an earlier owner recorded the attempt and did not say whether its start has a response.
	isStartUnknown bool
	// isUnbegun is set for an attempt that is removed because it has begun in no lifetime of its worker.
	isUnbegun bool
	// listedIn is the lifetime of the worker that listed the run last; 0 if none has.
	listedIn int64
	// lossVersion is the version of the job from which its record says that a start of the run has no response; 0 if all have one.
	lossVersion int
	// measurement is the value that the worker listed last for the run: a tail latency or CPU use.
	measurement float64
	// runningSince is when the run of an earlier owner began, if that owner handed it over.
	runningSince time.Time
	// inFlight is true while an order for the attempt is unanswered.
	inFlight bool
	// over is the period in which every listing has shown the run above its latency target.
	over interference.Excursion
	// pace is the percentage of full speed that was requested last: 100 after a start, -1 if unknown.
	pace  int
	phase phase
	// plannedAt is when the owner chose the worker; zero for an attempt of an earlier owner.
	plannedAt time.Time
	// restart is nil unless the run is the next one of an interrupted task.
	restart *restart
	retryAt time.Time
	run     int
	sentAt  time.Time
	// slowSince is when the pace fell to slowPace or below; zero while it is above.
	slowSince time.Time
	// starts holds the starts of the run that may still be carried out.
	starts    workercall.Pending
	stopCause string
	task      *task
	ticket    string
	// ticketUntil is when the ticket is too old for a start.
	ticketUntil time.Time
	worker      *worker
}

// isSent reports whether the worker may know about the attempt.
func (a *attempt) isSent() bool { return a.phase != phasePlanned && a.phase != phaseReady }

// lifetime returns the lifetime of the worker to which the attempt belongs.
func (a *attempt) lifetime() int64 {
	if a.born != 0 {
		return a.born
	}
	return a.worker.life.Born()
}

// markReady makes an attempt that an earlier owner recorded ready to be sent.
func (a *attempt) markReady(now time.Time) {
	a.phase, a.pace, a.plannedAt, a.sentAt = phaseReady, fullPace, now, time.Time{}
}

// isUnstarted reports whether this owner planned the attempt and the worker has not confirmed its start.
func (a *attempt) isUnstarted() bool {
	return !a.plannedAt.IsZero() && (a.phase == phasePlanned || a.phase == phaseReady || a.phase == phaseSent)
}

// task is one task of an occurrence of a job.
type task struct {
	attempts    []*attempt
	avoidWorker string
	checkpoint  string
	// copies is the number of runs that were given up as overdue.
	copies   int
	done     bool
	failures retrylimit.Failures
	// heldWorker is the worker that was last held for the task.
	heldWorker *worker
	// isAway is set while another shard holds the task.
	isAway bool
	job    *job
	key    workflow.TaskKey
	// lateStarts holds the starts of ended runs that may still be carried out.
	lateStarts workercall.LateStarts
	local      localWait
	// notBefore delays the next start after a failure.
	notBefore  time.Time
	occurrence *occurrence
	run        int
	started    bool
	step       *workflow.Step
	// waitingSince is when a best-effort task was first considered for placement, or since when an interrupted one waits.
	waitingSince time.Time
	// wait is kept by ReportWaits.
	wait taskWait
}

// isIdle reports whether this shard holds the task, which is not done, and no worker has it.
func (t *task) isIdle() bool { return !t.done && !t.isAway && len(t.attempts) == 0 }

// isWaiting reports whether the task is idle and may run again.
func (t *task) isWaiting() bool { return t.isIdle() && !t.isExhausted() }

// isInterrupted reports whether the task is a long-running one that ran before and waits for its next run.
func (t *task) isInterrupted() bool { return t.step.LongRunning && t.run > 0 && t.isWaiting() }

// occurrence is one run of all steps of a job.
type occurrence struct {
	index int
	// loads holds the load estimate for the serving tasks of each step; nil until a tail latency has been measured.
	loads     []*interference.LoadEstimate
	openTasks int
	// advice holds the placement advice by step and worker ID.
	advice []map[string]cachedAdvice
	// ready is true for each step whose preceding steps are all done.
	ready []bool
	tasks [][]*task
	// times holds the run times of the completed tasks of each step.
	times []stepTimes
	// undone is the number of tasks of each step that are not done.
	undone []int
}

// job is an accepted job whose final state is not recorded yet, or which still has runs that have not ended.
type job struct {
	workflow.Job
	// acceptedAt is AcceptedAt on the owner's clock.
	acceptedAt time.Time
	// begunTasks is the number of tasks that have run and are not done.
	begunTasks int
	cancelled  bool
	dirty      bool
	// dirtySince is when the job changed first since its last write; it is valid while the job is dirty.
	dirtySince  time.Time
	doneThrough int
	// final is the final state, whether already recorded or not.
	final         workflow.State
	finalRecorded bool
	// forecastEnd is how long after its acceptance the job was expected to end; 0 if nothing was learned then.
	forecastEnd time.Duration
	// isCompactRecorded is set once the job's own record says that its progress may be compact.
	isCompactRecorded bool
	// isLimitLogged is set once it was logged that the job has as many open occurrences as it may have.
	isLimitLogged bool
	// hasArrived is set once a placement round has counted the job's short tasks as arrivals.
	hasArrived bool
	// objective is the time after which the job counts as late.
	objective   time.Time
	occurrences map[int]*occurrence
	// order is the job's place in the order of the backlog as of its last sorting.
	order    forecast.Candidate
	priority int
	// queue holds the settings of the job's queue; the last ones if the queue has been removed.
	queue workflow.QueueSettings
	// recordedQueue holds the settings on record; nil if there are none.
	recordedQueue *workflow.QueueSettings
	// recordNotBefore delays the record of a failed run until the task's next run is planned.
	recordNotBefore time.Time
	// startPlanned and restartPlanned are set if the unrecorded changes include an attempt to start, and one of a
	// long-running task that ran before.
	startPlanned, restartPlanned bool
	// rejectedWrites counts the failed writes of the job's record since the last one that was carried out, the first of them at
	// rejectedSince. The next one waits until writeNotBefore.
	rejectedWrites int
	rejectedSince  time.Time
	writeNotBefore time.Time
	// shared is nil unless tasks of the job have moved between shards.
	shared *sharing
	// started is set once any task of the job has been started.
	started bool
	// endedStarts holds the late starts of tasks of occurrences that have ended.
	endedStarts []endedStart
	// version counts the changes of the job, and recordedVersion is the one in the store.
	version, recordedVersion int
}

// openOccurrences returns the job's unfinished occurrences, earliest first.
func (j *job) openOccurrences() []*occurrence {
	out := make([]*occurrence, 0, len(j.occurrences))
	for _, occ := range j.occurrences {
		out = append(out, occ)
	}
	slices.SortFunc(out, func(a, b *occurrence) int { return a.index - b.index })
	return out
}

// unsentAttempts returns the attempts of all tasks of a step that were not sent yet.
func (j *job) unsentAttempts(k workflow.TaskKey) []*attempt {
	var out []*attempt
	for _, t := range j.occurrences[k.Occurrence].tasks[k.Step] {
		for _, at := range t.attempts {
			if !at.isSent() {
				out = append(out, at)
			}
		}
	}
	return out
}

// readyTasks returns the tasks of the job that don't wait for other steps, or none if the job has a final state.
func (j *job) readyTasks() []*task {
	if j.final != "" {
		return nil
	}
	var out []*task
	for _, occ := range j.openOccurrences() {
		for s, tasks := range occ.tasks {
			if occ.ready[s] {
				out = append(out, tasks...)
			}
		}
	}
	return out
}

// worker is the owner's view of a worker.
type worker struct {
	Worker
	refusal
	// answeredAt is when the worker last answered a poll.
	answeredAt time.Time
	attempts   []*attempt
	// life is the latest lifetime of the worker that it reported, or that is on record.
	life workercall.Lifetime
	// fenceToken is the token which the worker has to have accepted before it counts as fenced. Responses to calls with a lower one are
	// ignored.
	fenceToken int64
	// tokenOffset is how often the token was raised for this worker alone.
	tokenOffset int64
	// coldUntil is until when the worker is slow after its start.
	coldUntil     time.Time
	drainingSince time.Time
	// interferenceLoggedAt is when a serving task of the worker above its target was last logged.
	interferenceLoggedAt time.Time
	// isEvacuated is set while the worker's zone is evacuated.
	isEvacuated bool
	// endKnownAt is when this owner learned of the last end of a run on the worker.
	endKnownAt time.Time
	// fenced is true once the worker has accepted the owner's token.
	fenced bool
	// excess is the smoothed difference between the measured pressure on the serving tasks and the pressure that the
	// model expects.
	excess float64
	// haltedAt is when best-effort tasks with a weight of haltWeight or more were last halted.
	haltedAt   time.Time
	haltWeight float64
	health     health
	// longTailSince is the first of the successive listings in which a serving task was above stalledTail.
	longTailSince time.Time
	// The worker is held for the task heldFor until heldUntil.
	heldUntil    time.Time
	heldFor      *task
	nextPollAt   time.Time
	pollFailures int
	pollInFlight bool
	// polledAt is when the last poll was due.
	polledAt time.Time
	pollSeq  int64
	// lateStartsUntil is until when starts of runs that have ended may be carried out, and withheldUntil until when those may that are known to
	// have no response.
	lateStartsUntil, withheldUntil time.Time
	// ackInFlight is set while a poll that acknowledges ends is unanswered, and no start has been sent since.
	ackInFlight bool
	// ackBlockedSince is when a poll was due first that can't acknowledge ends because of starts in flight; zero if there is none.
	ackBlockedSince time.Time
	// lastCall is the last call that was sent to the worker, and lastGrant the last one that named a lease end.
	lastCall, lastGrant workercall.Call
	// lastEnd is the number of the newest end that the worker listed, recordedEnd that of the newest end that is
	// durably recorded, and ackedEnd that of the newest end acknowledged to the worker, which may forget ends up to it.
	recordedEnd, ackedEnd int64
	// endsHeldUntil is when the first of unrecordedEnds may be acknowledged; zero if it waits for its record.
	endsHeldUntil time.Time
	// unrecordedEnds holds the listed ends that may not be acknowledged yet, in ascending order.
	unrecordedEnds []unrecordedEnd
	// pacedAt is when the pace of a task on the worker was last changed.
	pacedAt time.Time
	// rackDemand is the part of the room of the worker's rack that tasks would take which name it and don't run there.
	rackDemand float64
	registered bool
	reserved   fleet.Resources
	lastEnd    int64
	// orphans is the number of runs in the last listing that have no attempt on record. Their resource use is unknown,
	// so the worker gets no tasks until they have ended.
	orphans int
	// longRunningCPU is the part of the reserved CPU that long-running tasks reserve, in thousandths of a core.
	longRunningCPU int64
	// uses is the recent CPU use by image of best-effort tasks, smoothed to match the delay of measured tails.
	uses   interference.CPUUsage
	usesAt time.Time
	// view is nil if it has to be recomputed after a change of the load.
	view *view
}

// idleRenewalAt returns when the lease of a worker without runs is to be renewed, on a clock as fast as the owner's. If polls or the last
// renewal got no answer, or this owner has not granted a lease yet, that is at once.
func (w *worker) idleRenewalAt(t Timing) time.Time {
	left, from, ok := w.life.Granted()
	if w.pollFailures > 0 || !ok || w.life.IsRenewalLost() {
		return time.Time{}
	}
	return from.Add(left - t.IdleRenewalMargin)
}

// renewLease extends the worker's lease and returns its end on the worker's clock. The lease of a worker that does not answer is not extended,
// so that it expires and the tasks can be started elsewhere; the return value is 0 then. Without a renewal of the owner's own lease, the
// worker's lease is extended up to LeaseFromRenewal only.
func (w *worker) renewLease(now, ownerRenewedAt time.Time, t Timing) (until int64) {
	lease := t.WorkerLease
	if !ownerRenewedAt.IsZero() {
		lease = min(lease, ownerRenewedAt.Add(t.LeaseFromRenewal).Sub(now))
	}
	w.life, until = w.life.WithGrant(now, lease)
	return until
}

func (w *worker) add(a *attempt) {
	w.attempts = append(w.attempts, a)
	w.view = nil
	w.reserved = w.reserved.Add(reservation(a.task.step))
	if a.task.step.LongRunning {
		w.longRunningCPU += reservation(a.task.step).CPUMilli
	}
}

func (w *worker) remove(a *attempt) {
	if i := slices.Index(w.attempts, a); i >= 0 {
		// Build a new slice, since callers remove attempts while iterating over the old one.
		w.attempts = slices.Concat(w.attempts[:i], w.attempts[i+1:])
		w.view = nil
		w.reserved = w.reserved.Sub(reservation(a.task.step))
		if a.task.step.LongRunning {
			w.longRunningCPU -= reservation(a.task.step).CPUMilli
		}
	}
}

func (w *worker) hasSentAttempts() bool { return slices.ContainsFunc(w.attempts, (*attempt).isSent) }

// sentAttempts returns the attempts that the worker may know about.
func (w *worker) sentAttempts() []*attempt {
	var sent []*attempt
	for _, at := range w.attempts {
		if at.isSent() {
			sent = append(sent, at)
		}
	}
	return sent
}

// reservation returns the resources that a task of the step reserves on its worker.
func reservation(s *workflow.Step) fleet.Resources {
	r := s.Resources
	if s.BestEffort {
		r.CPUMilli = 0
	}
	return r
}
