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
	// advising says that a request for advice is under way; after a failure the next waits for adviceDue.
	advising   bool
	adviceDue  time.Time
	advises    []Advise
	committing bool
	config     workflow.Config
	dirty      []*job
	ended      endedJobs
	// evaluated counts the pairs of task and worker that the last round of placement looked at.
	evaluated int
	// holds counts the workers that the last round of placement kept for tasks that last.
	holds      int
	jobs       map[string]*job
	lastCommit time.Time
	lastPlace  time.Time
	// sortedAt is when the backlog was sorted last.
	sortedAt time.Time
	log      *logrus.Entry
	// backlog holds the jobs that may have tasks to place, most urgent first.
	backlog []*job
	// mostlyIdle holds for a round of placement which services use few of their processors.
	mostlyIdle map[string]bool
	// now is the time of the call in progress.
	now time.Time
	// overdueAt is when overdue runs were searched for last.
	overdueAt time.Time
	paces     []Pace
	// placed collects the tasks that a round of placement placed, for the log.
	placed map[*job][]string
	// pressure is what is known of how filling images slow serving ones down.
	pressure *interference.Pressure
	resort   bool
	seq      int64
	// sorted holds the workers by id; nil after a change. Decisions go through them in this order, so that the same
	// events lead to the same decisions.
	sorted  []*worker
	strays  []Stop
	takenAt time.Time
	timing  Timing
	token   int64
	wall    func() time.Time
	workers map[string]*worker
}

// Option sets a property of an Owner.
type Option func(*Owner)

// WithLog sets where decisions are logged.
func WithLog(log *logrus.Entry) Option { return func(o *Owner) { o.log = log } }

// WithTiming replaces the timing.
func WithTiming(t Timing) Option { return func(o *Owner) { o.timing = t } }

// WithWall sets the time of day, by which occurrences are due.
func WithWall(wall func() time.Time) Option { return func(o *Owner) { o.wall = wall } }

// NewOwner returns an owner that took the shard over at now with a token above that of all earlier owners.
func NewOwner(token int64, now time.Time, opts ...Option) *Owner {
	o := &Owner{
		jobs:       map[string]*job{},
		mostlyIdle: map[string]bool{},
		placed:     map[*job][]string{},
		pressure:   interference.NewPressure(),
		log:        logrus.NewEntry(logrus.StandardLogger()),
		takenAt:    now,
		timing:     DefaultTiming(),
		token:      token,
		wall:       time.Now,
		workers:    map[string]*worker{},
	}
	for _, opt := range opts {
		opt(o)
	}
	return o
}

// tokenBits is the room below an ownership's token in which an owner raises the token of a single worker.
const tokenBits = 8

// tokenFor returns the token that orders to a worker carry.
func (o *Owner) tokenFor(w *worker) int64 { return o.token<<tokenBits | w.bump }

func (o *Owner) order(w *worker) Order {
	return Order{Address: w.Address, Token: o.tokenFor(w), Worker: w.ID}
}

// refence raises the worker's token, which voids all earlier calls that may still be carried out late.
func (o *Owner) refence(w *worker) {
	w.fenced, w.lookDue = false, time.Time{}
	w.bump = min(w.bump+1, 1<<tokenBits-1)
}

// SetToken replaces the token after the shard was lost and won again with no other owner in between.
func (o *Owner) SetToken(token int64) {
	o.token = token
	for _, w := range o.sortedWorkers() {
		w.fenced, w.bump, w.lookDue = false, 0, time.Time{}
	}
}

// SetConfig puts a newer config in force for starts.
func (o *Owner) SetConfig(c workflow.Config) {
	o.config = c
	for _, j := range o.jobs {
		o.applyQueue(j)
	}
	o.resort = true
}

// SetWorkers replaces the registry's list of the shard's workers.
func (o *Owner) SetWorkers(now time.Time, list []Worker) {
	listed := make(map[string]bool, len(list))
	for _, entry := range list {
		listed[entry.ID] = true
		w := o.workerOf(entry.ID)
		if !w.present {
			w.lookDue = time.Time{}
		}
		if entry.Draining && !w.Draining {
			w.drainedAt = now
			o.log.WithFields(logrus.Fields{
				"decision": "drain_worker", "worker": entry.ID, "remaining": entry.Remaining.String(),
				"runs": len(w.attempts),
			}).Info("worker drains")
		}
		w.Worker, w.present = entry, true
		if entry.Born != 0 && w.born != 0 && entry.Born > w.born {
			o.reborn(now, w, entry.Born)
		}
	}
	for _, w := range o.sortedWorkers() {
		id := w.ID
		if listed[id] {
			continue
		}
		if w.present {
			w.present = false
			o.log.WithFields(logrus.Fields{"decision": "worker_left", "worker": id, "runs": len(w.attempts)}).
				Info("worker is no longer registered")
		}
		if len(w.attempts) == 0 && !now.Before(w.leaseOver(o.timing)) {
			delete(o.workers, id)
			o.sorted = nil
		}
	}
}

func (o *Owner) sortedWorkers() []*worker {
	if o.sorted == nil {
		for _, w := range o.workers {
			o.sorted = append(o.sorted, w)
		}
		slices.SortFunc(o.sorted, func(a, b *worker) int { return strings.Compare(a.ID, b.ID) })
	}
	return o.sorted
}

func (o *Owner) workerOf(id string) *worker {
	w := o.workers[id]
	if w == nil {
		// A lease that an earlier owner renewed just before its end lasts no longer than this.
		inherited := o.takenAt.Add(o.timing.slowest(o.timing.MaxWorkerLease) + o.timing.LeaseMargin)
		w = &worker{Worker: Worker{ID: id}, inheritedUntil: inherited, uses: interference.Uses{}}
		o.workers[id] = w
		o.sorted = nil
	}
	return w
}

// Step makes the decisions that are due and returns what is to be done.
func (o *Owner) Step(now time.Time) Actions {
	var a Actions
	o.now = now
	a.Wake = now.Add(time.Second)
	o.openOccurrences(now, &a)
	o.expire(now, &a)
	o.leaveDraining(now, &a)
	o.replaceOverdue(now)
	o.place(now, &a)
	a.Commit = o.nextCommit(now, &a)
	o.orders(now, &a)
	o.looks(now, &a)
	a.Paces, o.paces = o.paces, nil
	a.Advises, o.advises = o.advises, nil
	return a
}

func (a *Actions) wakeAt(t time.Time) {
	if t.Before(a.Wake) {
		a.Wake = t
	}
}

// expire ends the attempts on workers whose leases are over without an answer.
func (o *Owner) expire(now time.Time, a *Actions) {
	for _, w := range o.sortedWorkers() {
		if len(w.attempts) == 0 {
			continue
		}
		over := w.leaseOver(o.timing)
		if now.Before(over) {
			a.wakeAt(over)
			continue
		}
		o.log.WithFields(logrus.Fields{
			"decision": "lease_over", "worker": w.ID, "runs": len(w.attempts), "clock_age": now.Sub(w.clockAt).String(),
			"registered": w.present,
		}).Warn("worker's lease is over without an answer; its runs have ended")
		for _, at := range w.attempts {
			if at.isSent() {
				o.drop(at, "lease over")
			}
		}
		o.refence(w)
	}
}

// drop takes an attempt that is proven to have ended, or was never sent, from its task.
func (o *Owner) drop(at *attempt, reason string) {
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
		o.mark(t.job)
	}
	if t.job.final == "" {
		o.finish(t.job)
	} else {
		o.forget(t.job)
	}
}

// leaveDraining stops what a draining worker would otherwise take with it.
func (o *Owner) leaveDraining(now time.Time, a *Actions) {
	for _, w := range o.sortedWorkers() {
		if !w.present || !w.Draining || len(w.attempts) == 0 {
			continue
		}
		leave := w.drainedAt.Add(w.Remaining - leaveBefore)
		for _, at := range w.attempts {
			if at.phase != phaseRunning {
				continue
			}
			if at.task.step.LongRunning || !now.Before(leave) {
				o.stop(at, "worker drains")
			} else {
				a.wakeAt(leave)
			}
		}
	}
}

// leaveBefore is how long before a draining worker may leave its runs are stopped, so that their ends are listed
// and the tasks need not wait for the lease: a stop takes up to 400 ms, and a look follows it.
const leaveBefore = 900 * time.Millisecond

func (o *Owner) stop(at *attempt, reason string) {
	if !at.isSent() {
		o.drop(at, reason)
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
	return w != nil && order.Token == o.tokenFor(w)
}
