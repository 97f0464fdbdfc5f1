package shard

import (
	"slices"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/laburnumridge/laburnumridge/internal/evacuation"
	"github.com/laburnumridge/laburnumridge/internal/fleet"
	"github.com/laburnumridge/laburnumridge/internal/forecast"
	"github.com/laburnumridge/laburnumridge/internal/interference"
	"github.com/laburnumridge/laburnumridge/internal/retrylimit"
	"github.com/laburnumridge/laburnumridge/internal/workflow"
)

// Owner schedules the jobs of one shard. It is not safe for concurrent use.
type Owner struct {
	interferenceState
	// adviceInFlight is true while a placement advice request is outstanding. After a failed request the next one is
	// not sent before nextAdviceAt.
	adviceInFlight bool
	nextAdviceAt   time.Time
	adviceRequests []AdviceRequest
	// unmarkedSince is since when there are answers that the last mark of the shard does not tell of; zero if there are none.
	unmarkedSince time.Time
	// answers holds the confirmed runs whose responses are to be put on record.
	answers []unrecordedAnswer
	// committing is the unanswered commit, or nil.
	committing *Commit
	config     workflow.Config
	contained  contained
	dirty      []*job
	ended      endedJobs
	// endedTasks holds, for tasks that are not known any more, until when a start of them may be carried out.
	endedTasks map[endedTask]time.Time
	// earlierLeasesEnd is when the leases that earlier owners granted have ended, by their claims; zero if that is not known.
	earlierLeasesEnd    time.Time
	earlierLeasesSource LeaseSource
	// evacuated is the set of zones to whose workers nothing is sent.
	evacuated *evacuation.Set
	// evaluatedPairs is the number of (task, worker) pairs that the last placement round evaluated, and evaluatedRestartPairs the
	// number of those that placeRestarts evaluated last.
	evaluatedPairs, evaluatedRestartPairs int
	// exhausted holds tasks that have reached the limit of failed runs and are to be ended.
	exhausted []*task
	// areLimitsUnchecked is set while there may be further ones.
	areLimitsUnchecked bool
	// mayHaveLateStarts is false only if no task has a late start.
	mayHaveLateStarts bool
	// hasInterrupted is false only if no task waits that placeRestarts would place.
	hasInterrupted bool
	// guestJobs holds the jobs for which this shard is a guest.
	guestJobs map[*job]bool
	// headrooms caches headroomFor for the duration of a placement round, by the least urgent of the short tasks concerned.
	headrooms map[shortTasks]*headroom
	// heldBack holds the services with tasks that the last placement round did not place because of the headroom.
	heldBack map[string]bool
	// heldWorkers is the number of workers that the last placement round held for long-running tasks.
	heldWorkers int
	// inherited is what the last owner handed over, or nil.
	inherited *Handover
	// told is what the last owner told after this one had taken the shard, or nil.
	told *lateHandover
	// isRegistryRead is set once the shard's workers are known.
	isRegistryRead bool
	// isHandingOver is set once the shard is handed over to another owner.
	isHandingOver bool
	jobs          map[string]*job
	local         localPlacement
	lastCommit    time.Time
	// lastClaim is when the last owner took the shard from another one, or later; zero if it was the first one.
	lastClaim time.Time
	// learned is what this owner has learned for forecasts. The next one begins without.
	learned forecast.Learned
	// lastWritten is when the store last confirmed a record of a job.
	lastWritten time.Time
	lastPlace   time.Time
	// lastRestartPlace is when long-running tasks that ran before were last placed.
	lastRestartPlace time.Time
	backlogSortedAt  time.Time
	// lentUntil is when the headroom of a service is kept again.
	lentUntil map[string]time.Time
	log       *logrus.Entry
	// observeLifetime is called with the events of workers' lifetimes.
	observeLifetime func(event string, n int)
	// observeRetry is called with the events of failed runs.
	observeRetry func(retrylimit.Event)
	// observeStart is called with the time from the plan of an attempt to its confirmed start.
	observeStart func(time.Duration)
	// backlog holds the jobs that may have tasks to place, most urgent first.
	backlog []*job
	// mostlyIdle caches isMostlyIdle by service for the duration of a placement round.
	mostlyIdle map[string]bool
	// now is the time that was passed to the current call.
	now time.Time
	// mayCompact is set while all hosts read compact records, and mayShareEnds while all know shared jobs whose tasks end.
	mayCompact, mayShareEnds bool
	overdueCheckedAt         time.Time
	paceOrders               []Pace
	// placeableAt is when the first of the tasks that wait may become placeable without an event, as far as the current placement
	// round has found.
	placeableAt time.Time
	// placed collects the tasks that the current placement round assigned, for the log.
	placed map[*job][]string
	// pressure is the learned model of how much the images of best-effort tasks slow down those of serving tasks.
	pressure        *interference.PressureModel
	backlogUnsorted bool
	// renewedAt is when the renewal of the owner's own lease was sent that succeeded last; zero if that is not known.
	renewedAt time.Time
	seq       int64
	// isTokenLow is set once the token of a worker has used up much of its offsets.
	isTokenLow bool
	// shard is the number of the shard.
	shard int
	// shortDemand is the remembered demand of short tasks; it was last updated at shortDemandAt.
	shortDemand   map[shortTasks]shortDemand
	shortDemandAt time.Time
	// stoppedRuns holds what the runs that stop on each worker reserve, as of the current placement round. Workers without any are left out.
	stoppedRuns map[*worker]fleet.Resources
	// sortedByID holds the workers sorted by ID; nil after a change. Every decision iterates over the workers in this
	// order, so that the same events lead to the same decisions.
	sortedByID  []*worker
	orphanStops []Stop
	acquiredAt  time.Time
	timing      Timing
	token       int64
	// tokenOffsets holds the raised tokens of workers that have left, by worker. One that comes back still compares orders with them.
	tokenOffsets map[string]int64
	// unknownEndsHeldUntil is until when ends of tasks that this owner does not know are not acknowledged: an earlier owner, which has
	// recorded them, may have sent starts of these tasks that can still be carried out.
	unknownEndsHeldUntil time.Time
	// unholdable holds the classes of tasks for which the current placement round found no worker to hold.
	unholdable map[taskClass]bool
	// waiting is the work that waits and goes before that of a new job, by service.
	waiting   map[string]forecast.Backlogs
	wallClock func() time.Time
	workers   map[string]*worker
}

// NewOwner returns an owner that acquired the shard at now. The token must be higher than the tokens of all earlier
// owners.
func NewOwner(token int64, now time.Time, opts ...Option) *Owner {
	o := &Owner{
		contained:       newContained(),
		endedTasks:      map[endedTask]time.Time{},
		guestJobs:       map[*job]bool{},
		headrooms:       map[shortTasks]*headroom{},
		heldBack:        map[string]bool{},
		jobs:            map[string]*job{},
		mostlyIdle:      map[string]bool{},
		placed:          map[*job][]string{},
		pressure:        interference.NewPressureModel(),
		lentUntil:       map[string]time.Time{},
		log:             logrus.NewEntry(logrus.StandardLogger()),
		observeLifetime: func(string, int) {},
		observeRetry:    func(retrylimit.Event) {},
		observeStart:    func(time.Duration) {},
		shortDemand:     map[shortTasks]shortDemand{},
		// Jobs that are restored count as arrivals before the first placement round.
		shortDemandAt: now,
		acquiredAt:    now,
		timing:        DefaultTiming(),
		token:         token,
		tokenOffsets:  map[string]int64{},
		unholdable:    map[taskClass]bool{},
		wallClock:     time.Now,
		workers:       map[string]*worker{},
	}
	for _, opt := range opts {
		opt(o)
	}
	o.unknownEndsHeldUntil = now.Add(o.timing.CallDelay)
	return o
}

// SetWorkers replaces the list of the shard's workers with the registry's current one.
func (o *Owner) SetWorkers(now time.Time, list []Worker) {
	o.now, o.isRegistryRead = now, true
	listed := make(map[string]bool, len(list))
	for _, entry := range list {
		listed[entry.ID] = true
		w := o.workerByID(entry.ID)
		if !w.registered {
			w.nextPollAt = time.Time{}
		}
		if entry.Draining && !w.Draining {
			w.drainingSince = minTime(now, o.inheritedDrainStart(entry))
			o.log.WithFields(logrus.Fields{
				"decision": "drain_worker", "worker": entry.ID, "remaining": entry.Remaining.String(),
				"runs": len(w.attempts),
			}).Info("worker is draining")
		}
		if entry.ColdRemaining != w.ColdRemaining || entry.Born != w.Born {
			w.coldUntil = now.Add(entry.ColdRemaining)
		}
		w.Worker, w.registered = entry, true
		o.updateEvacuated(w)
		if w.life.Born() != 0 && entry.Born > w.life.Born() {
			o.handleRestart(now, w, entry.Born)
		}
	}
	for _, w := range o.sortedWorkers() {
		id := w.ID
		if listed[id] {
			continue
		}
		if w.registered {
			w.registered = false
			o.log.WithFields(logrus.Fields{"decision": "worker_left", "worker": id, "runs": len(w.attempts)}).
				Info("worker is no longer registered")
		}
		if len(w.attempts) == 0 && !now.Before(maxTime(o.leaseExpiry(w), o.lateRunsEnd(w.lateStartsUntil))) {
			if w.tokenOffset > 0 {
				o.tokenOffsets[id] = w.tokenOffset
			}
			delete(o.workers, id)
			o.sortedByID = nil
		}
	}
}

func (o *Owner) sortedWorkers() []*worker {
	if o.sortedByID == nil {
		for _, w := range o.workers {
			o.sortedByID = append(o.sortedByID, w)
		}
		slices.SortFunc(o.sortedByID, func(a, b *worker) int { return strings.Compare(a.ID, b.ID) })
	}
	return o.sortedByID
}

func (o *Owner) workerByID(id string) *worker {
	w := o.workers[id]
	if w == nil {
		w = &worker{
			Worker: Worker{ID: id}, life: o.inheritedLifetime(id), tokenOffset: o.tokenOffsets[id], uses: interference.CPUUsage{},
		}
		o.workers[id] = w
		o.sortedByID = nil
	}
	return w
}

// Step makes the decisions that are due and returns the actions to carry out.
func (o *Owner) Step(now time.Time) Actions {
	var a Actions
	o.now = now
	a.Wake = now.Add(time.Second)
	o.openOccurrences(now, &a)
	o.expireLeases(now, &a)
	o.stopOnDrainingWorkers(now, &a)
	o.withdrawEvacuated()
	if !o.isHandingOver {
		o.endExhausted()
		o.replaceOverdue(now)
		o.renewTickets(now, &a)
		o.returnTasks(now, &a)
		o.place(now, &a)
		a.Commit = o.nextCommit(now, &a)
	}
	o.dueOrders(now, &a)
	o.duePolls(now, &a)
	a.Paces, o.paceOrders = o.paceOrders, nil
	a.AdviceRequests, o.adviceRequests = o.adviceRequests, nil
	return a
}

func (a *Actions) wakeAt(t time.Time) {
	if t.Before(a.Wake) {
		a.Wake = t
	}
}

// removeAttempt removes an attempt from its task and worker. The attempt must be proven to have ended, or never have
// been sent.
func (o *Owner) removeAttempt(at *attempt, reason string) {
	at.worker.remove(at)
	o.noteLateStarts(at)
	if at.isSent() {
		at.worker.endKnownAt = o.now
	}
	t := at.task
	for i, other := range t.attempts {
		if other == at {
			t.attempts = append(t.attempts[:i:i], t.attempts[i+1:]...)
			break
		}
	}
	o.hasInterrupted = o.hasInterrupted || t.isInterrupted()
	if !at.isSent() && at.restart != nil {
		t.waitingSince = at.restart.interruptedAt
	}
	if at.isSent() {
		if reason != string(EndDone) {
			o.log.WithFields(logrus.Fields{
				"decision": "run_ended", "job": t.job.ID, "task": t.key.String(), "run": at.run, "worker": at.worker.ID,
				"reason": reason,
			}).Info("run ended without completing its task")
		}
		o.markDirty(t.job)
	}
	if t.job.final == "" {
		o.advanceJob(t.job)
	} else {
		o.forgetIfEnded(t.job)
	}
}

// stopOnDrainingWorkers stops long-running tasks on draining workers at once, and all other runs shortly before the
// worker leaves.
func (o *Owner) stopOnDrainingWorkers(now time.Time, a *Actions) {
	for _, w := range o.sortedWorkers() {
		if !w.registered || !w.Draining || len(w.attempts) == 0 {
			continue
		}
		leave := w.drainingSince.Add(w.Remaining - drainStopMargin)
		for _, at := range w.attempts {
			if at.phase != phaseRunning {
				continue
			}
			if at.task.step.LongRunning || !now.Before(leave) {
				o.stopRun(at, "worker drains")
			} else {
				a.wakeAt(leave)
			}
		}
	}
}

// drainStopMargin is how long before a draining worker may leave its runs are stopped. Their ends are then reported in
// time and the tasks need not wait for the lease to expire: a stop takes up to 400 ms and is followed by a poll.
const drainStopMargin = 900 * time.Millisecond

func (o *Owner) stopRun(at *attempt, reason string) {
	if !at.isSent() {
		o.removeAttempt(at, reason)
		return
	}
	if at.phase == phaseStopping || at.phase == phaseStopped {
		return
	}
	at.phase, at.stopCause, at.retryAt = phaseStopping, reason, time.Time{}
	o.log.WithFields(logrus.Fields{
		"decision": "stop", "job": at.task.job.ID, "task": at.task.key.String(), "run": at.run, "worker": at.worker.ID,
		"reason": reason,
	}).Info("stopping run")
}
