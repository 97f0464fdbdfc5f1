package shard

import (
	"slices"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/laburnumridge/laburnumridge/internal/interference"
	"github.com/laburnumridge/laburnumridge/internal/workflow"
)

// Owner decides for the jobs of one shard. It is not safe for concurrent use.
type Owner struct {
	// adviceInFlight says that a request for advice is under way; after a failure the next waits for adviceDue.
	adviceInFlight bool
	nextAdviceAt   time.Time
	adviceRequests []Advise
	committing     bool
	config         workflow.Config
	dirty          []*job
	ended          endedJobs
	// evaluatedPairs counts the pairs of task and worker that the last round of placement looked at.
	evaluatedPairs int
	// heldWorkers counts the workers that the last round of placement kept for tasks that last.
	heldWorkers int
	jobs        map[string]*job
	lastCommit  time.Time
	lastPlace   time.Time
	// backlogSortedAt is when the backlog was sorted last.
	backlogSortedAt time.Time
	log             *logrus.Entry
	// backlog holds the jobs that may have tasks to place, most urgent first.
	backlog []*job
	// mostlyIdle holds for a round of placement which services use few of their processors.
	mostlyIdle map[string]bool
	// now is the time of the call in progress.
	now time.Time
	// overdueCheckedAt is when overdue runs were searched for last.
	overdueCheckedAt time.Time
	paceOrders       []Pace
	// placed collects the tasks that a round of placement placed, for the log.
	placed map[*job][]string
	// pressure is what is known of how filling images slow serving ones down.
	pressure        *interference.Pressure
	backlogUnsorted bool
	seq             int64
	// sortedByID holds the workers by id; nil after a change. Decisions go through them in this order, so that the same
	// events lead to the same decisions.
	sortedByID  []*worker
	orphanStops []Stop
	acquiredAt  time.Time
	timing      Timing
	token       int64
	wallClock   func() time.Time
	workers     map[string]*worker
}

// Option sets a property of an Owner.
type Option func(*Owner)

// WithLog sets where decisions are logged.
func WithLog(log *logrus.Entry) Option { return func(o *Owner) { o.log = log } }

// WithTiming replaces the timing.
func WithTiming(t Timing) Option { return func(o *Owner) { o.timing = t } }

// WithWall sets the time of day, by which occurrences are due.
func WithWall(wall func() time.Time) Option { return func(o *Owner) { o.wallClock = wall } }

// NewOwner returns an owner that took the shard over at now with a token above that of all earlier owners.
func NewOwner(token int64, now time.Time, opts ...Option) *Owner {
	o := &Owner{
		jobs:       map[string]*job{},
		mostlyIdle: map[string]bool{},
		placed:     map[*job][]string{},
		pressure:   interference.NewPressure(),
		log:        logrus.NewEntry(logrus.StandardLogger()),
		acquiredAt: now,
		timing:     DefaultTiming(),
		token:      token,
		wallClock:  time.Now,
		workers:    map[string]*worker{},
	}
	for _, opt := range opts {
		opt(o)
	}
	return o
}

// tokenBits is the room below an ownership's token in which an owner raises the token of a single worker.
const tokenBits = 8

// orderToken returns the token that orders to a worker carry.
func (o *Owner) orderToken(w *worker) int64 { return o.token<<tokenBits | w.tokenOffset }

func (o *Owner) newOrder(w *worker) Order {
	return Order{Address: w.Address, Token: o.orderToken(w), Worker: w.ID}
}

// raiseToken raises the worker's token, which voids all earlier calls that may still be carried out late.
func (o *Owner) raiseToken(w *worker) {
	w.fenced, w.nextPollAt = false, time.Time{}
	w.tokenOffset = min(w.tokenOffset+1, 1<<tokenBits-1)
}

// SetToken replaces the token after the shard was lost and won again with no other owner in between.
func (o *Owner) SetToken(token int64) {
	o.token = token
	for _, w := range o.sortedWorkers() {
		w.fenced, w.tokenOffset, w.nextPollAt = false, 0, time.Time{}
	}
}

// SetConfig puts a newer config in force for starts.
func (o *Owner) SetConfig(c workflow.Config) {
	o.config = c
	for _, j := range o.jobs {
		o.applyQueue(j)
	}
	o.backlogUnsorted = true
}

// SetWorkers replaces the registry's list of the shard's workers.
func (o *Owner) SetWorkers(now time.Time, list []Worker) {
	listed := make(map[string]bool, len(list))
	for _, entry := range list {
		listed[entry.ID] = true
		w := o.workerByID(entry.ID)
		if !w.registered {
			w.nextPollAt = time.Time{}
		}
		if entry.Draining && !w.Draining {
			w.drainingSince = now
			o.log.WithFields(logrus.Fields{
				"decision": "drain_worker", "worker": entry.ID, "remaining": entry.Remaining.String(),
				"runs": len(w.attempts),
			}).Info("worker drains")
		}
		w.Worker, w.registered = entry, true
		if entry.Born != 0 && w.incarnation != 0 && entry.Born > w.incarnation {
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
		if len(w.attempts) == 0 && !now.Before(w.leaseExpiry(o.timing)) {
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
		// A lease that an earlier owner renewed just before its end lasts no longer than this.
		inherited := o.acquiredAt.Add(o.timing.onSlowestClock(o.timing.MaxWorkerLease) + o.timing.LeaseMargin)
		w = &worker{Worker: Worker{ID: id}, inheritedLeaseEnd: inherited, uses: interference.Uses{}}
		o.workers[id] = w
		o.sortedByID = nil
	}
	return w
}

// Step makes the decisions that are due and returns what is to be done.
func (o *Owner) Step(now time.Time) Actions {
	var a Actions
	o.now = now
	a.Wake = now.Add(time.Second)
	o.openOccurrences(now, &a)
	o.expireLeases(now, &a)
	o.stopOnDrainingWorkers(now, &a)
	o.replaceOverdue(now)
	o.place(now, &a)
	a.Commit = o.nextCommit(now, &a)
	o.dueOrders(now, &a)
	o.duePolls(now, &a)
	a.Paces, o.paceOrders = o.paceOrders, nil
	a.Advises, o.adviceRequests = o.adviceRequests, nil
	return a
}

func (a *Actions) wakeAt(t time.Time) {
	if t.Before(a.Wake) {
		a.Wake = t
	}
}

// expireLeases ends the attempts on workers whose leases are over without an answer.
func (o *Owner) expireLeases(now time.Time, a *Actions) {
	for _, w := range o.sortedWorkers() {
		if len(w.attempts) == 0 {
			continue
		}
		over := w.leaseExpiry(o.timing)
		if now.Before(over) {
			a.wakeAt(over)
			continue
		}
		o.log.WithFields(logrus.Fields{
			"decision": "lease_over", "worker": w.ID, "runs": len(w.attempts), "clock_age": now.Sub(w.clockAt).String(),
			"registered": w.registered,
		}).Warn("worker's lease is over without an answer; its runs have ended")
		for _, at := range w.attempts {
			if at.isSent() {
				o.removeAttempt(at, "lease over")
			}
		}
		o.raiseToken(w)
	}
}

// removeAttempt takes an attempt that is proven to have ended, or was never sent, from its task.
func (o *Owner) removeAttempt(at *attempt, reason string) {
	at.worker.remove(at)
	t := at.task
	for i, other := range t.attempts {
		if other == at {
			t.attempts = append(t.attempts[:i:i], t.attempts[i+1:]...)
			break
		}
	}
	if at.isSent() {
		if reason != string(EndDone) {
			o.log.WithFields(logrus.Fields{
				"decision": "run_ended", "job": t.job.ID, "task": t.key.String(), "run": at.run, "worker": at.worker.ID,
				"reason": reason,
			}).Info("run has ended without being done")
		}
		o.markDirty(t.job)
	}
	if t.job.final == "" {
		o.advanceJob(t.job)
	} else {
		o.forgetIfEnded(t.job)
	}
}

// stopOnDrainingWorkers stops what a draining worker would otherwise take with it.
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

// drainStopMargin is how long before a draining worker may leave its runs are stopped, so that their ends are listed
// and the tasks need not wait for the lease: a stop takes up to 400 ms, and a look follows it.
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
	}).Info("run is stopped")
}

// Settled reports whether nothing waits to be recorded.
func (o *Owner) Settled() bool { return !o.committing && len(o.dirty) == 0 }

// IsCurrent reports whether an order carries the token that its worker is given now.
func (o *Owner) IsCurrent(order Order) bool {
	w := o.workers[order.Worker]
	return w != nil && order.Token == o.orderToken(w)
}
