package shard

import (
	"cmp"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/laburnumridge/laburnumridge/internal/retrylimit"
	"github.com/laburnumridge/laburnumridge/internal/workflow"
)

const (
	// giveAfter is how long a task waits in its home shard until it is offered to others. It doubles with each hop of the task, up to
	// maxGiveAfter, so that tasks don't swing between shards that are full. A task that no worker of its shard could hold is offered at once
	// for its first hop: it has nothing to wait for, and the lease of its lost worker may have used up most of the time in which it has to
	// run again.
	giveAfter    = 1500 * time.Millisecond
	maxGiveAfter = 4 * giveAfter
	// giveNewAfter replaces giveAfter for a long-running task that never ran and that a worker of its shard could hold: there its job waits
	// for its turn, which comes sooner on most days. The objectives of jobs whose tasks end leave no time for that.
	giveNewAfter = 2 * giveAfter
	// returnAfter is how long a task waits in a guest shard until it is returned.
	returnAfter = 3 * time.Second
	// maxOffered limits the number of tasks of a class that are offered at once.
	maxOffered = 16
	// maxGuests limits the guests of a job, so that its records fit in a transaction.
	maxGuests = 8
)

// Offer is a class of equal tasks that may move to another shard.
type Offer struct {
	Demand
	// IsUnsuited is set if no worker of this shard could hold one of the tasks if it were empty.
	IsUnsuited bool
	tasks      []*task
}

// Offers returns the tasks that wait in their home shard for too long, those that have waited the longest first.
func (o *Owner) Offers(now time.Time) []Offer {
	if o.isHandingOver {
		return nil
	}
	var tasks []*task
	suits := map[Demand]bool{}
	for _, j := range o.backlog {
		if o.jobs[j.ID] != j || !o.mayShare(j) {
			continue
		}
		for _, t := range j.readyTasks() {
			if !t.isWaiting() || t.isInLocalWait(now) || o.hasLateStart(now, t) {
				continue
			}
			isUnsuited := !o.suitsStep(t.step, j.queue.Service, suits)
			isInTurn := t.run > 0 || !t.step.LongRunning || now.Sub(j.acceptedAt) >= giveNewAfter || isUnsuited
			if isInTurn && mayGive(now, t, isUnsuited) {
				tasks = append(tasks, t)
			}
		}
	}
	slices.SortStableFunc(tasks, func(a, b *task) int {
		return cmp.Or(compareNew(!a.isInterrupted(), !b.isInterrupted()), a.waitsSince(a.job.acceptedAt).Compare(b.waitsSince(b.job.acceptedAt)))
	})
	offers := classify(tasks)
	for i := range offers {
		offers[i].IsUnsuited = !o.suitsStep(offers[i].tasks[0].step, offers[i].Service, suits)
	}
	return offers
}

// compareNew orders tasks that ran before those that never ran: their interruption lasts until they run again.
func compareNew(isNew, isOtherNew bool) int {
	switch {
	case isNew == isOtherNew:
		return 0
	case isNew:
		return 1
	}
	return -1
}

// classify returns the classes of tasks with equal demands, in the order of their first tasks.
func classify(tasks []*task) []Offer {
	var out []Offer
	index := map[Demand]int{}
	for _, t := range tasks {
		d := demandOf(t.step, t.job.queue.Service)
		d.Count, d.IsNew, d.IsShort = 0, t.run == 0 && t.step.LongRunning, !t.step.LongRunning
		if d.PerWorker > 0 {
			d.Job, d.Step = t.job.ID, t.key.Step
		}
		i, ok := index[d]
		if !ok {
			i = len(out)
			index[d], out = i, append(out, Offer{Demand: d})
		}
		f := &out[i]
		f.Count = min(f.Count+1, maxOffered)
		f.tasks = append(f.tasks, t) // some of the first ones may not go to a shard that has room
	}
	return out
}

// mayShare reports whether tasks of the job may be held by other shards: either all of them last, and none depends on another one, or all
// end, in one occurrence and in a record of normal size. Gangs, whose members end together, and copies of one task stay in one shard.
func (o *Owner) mayShare(j *job) bool {
	if j.final != "" || j.queue.Service == "" || j.queue.Advice != nil || j.shared != nil && j.shared.isGuest {
		return false
	}
	lasts := j.Lasts()
	if lasts && j.Occurrences != 0 || !lasts && (!o.mayShareEnds || j.Occurrences > 1 || j.isCompactRecorded || j.TaskCount() > compactFrom) {
		return false
	}
	return !slices.ContainsFunc(j.Steps, func(s workflow.Step) bool {
		return s.LongRunning != lasts || s.Gang || s.BestEffort || s.Speculative || s.SameRack && !lasts || lasts && len(s.After) > 0
	})
}

// AllowSharedEnds says whether all hosts that may own a shard next know shared jobs whose tasks end.
func (o *Owner) AllowSharedEnds(isAllowed bool) { o.mayShareEnds = isAllowed }

// mayGive reports whether a waiting task of a job that may be shared has waited for long enough to move. isUnsuited is set if no worker of
// the shard could hold it.
func mayGive(now time.Time, t *task, isUnsuited bool) bool {
	wait, since := giveAfter, t.waitsSince(t.job.acceptedAt)
	if isUnsuited {
		wait = 0
	}
	if s := t.job.shared; s != nil && s.transfers[t.key] != nil {
		tr := s.transfers[t.key]
		wait = min(giveAfter<<min(tr.hop, 4), maxGiveAfter)
		if !since.IsZero() {
			since = maxTime(since, tr.arrivedAt)
		}
	}
	return !since.IsZero() && now.Sub(since) >= wait
}

// waitsSince returns since when a waiting task waits in this shard: since its interruption, as far as the owner has considered it for
// placement yet, or since another time if it never ran. For a task that ends it is when ReportWaits first saw it waiting.
func (t *task) waitsSince(first time.Time) time.Time {
	if !t.step.LongRunning {
		return t.wait.since
	}
	if t.run > 0 {
		return t.waitingSince
	}
	return first
}

// Give gives at most limit tasks of an offer that still wait to another shard, which holds them once the next commit of their jobs is
// recorded. It returns their number.
func (o *Owner) Give(now time.Time, f Offer, limit, to int) int {
	o.now = now
	given := 0
	for _, t := range f.tasks {
		j := t.job
		if given == limit {
			break
		}
		if o.isHandingOver || o.jobs[j.ID] != j || !o.mayShare(j) || !t.isWaiting() || o.hasLateStart(now, t) {
			continue
		}
		if j.shared == nil {
			j.shared = o.newSharing(o.shard, workflow.Progress{})
		}
		s := j.shared
		if _, ok := s.guests[to]; !ok && len(s.guests) == maxGuests {
			continue
		}
		hop := 1
		if tr := s.transfers[t.key]; tr != nil {
			hop = tr.hop + 1
		}
		s.transfers[t.key], s.guests[to] = &transfer{hop: hop, shard: to}, true
		t.releaseHold(now)
		t.isAway = true
		o.log.WithFields(logrus.Fields{
			"decision": "give_task", "job": j.ID, "task": t.key.String(), "run": t.run, "hop": hop, "to": to,
			"waited": now.Sub(t.waitsSince(j.acceptedAt)).String(),
		}).Info("giving a waiting task to another shard, whose workers have room for it")
		t.waitingSince = time.Time{}
		o.markDirty(j)
		given++
	}
	return given
}

// takeHeld takes the tasks that a guest is to hold. Tasks that it returned and need not hold any more are forgotten.
func (o *Owner) takeHeld(now time.Time, j *job, tasks []workflow.HeldTask) {
	s, listed := j.shared, map[workflow.TaskKey]bool{}
	for _, h := range tasks {
		k := h.Record.Key
		o.openFor(j, k)
		t := o.task(j.ID, k)
		if t == nil {
			continue
		}
		listed[k] = true
		o.mergeFailures(t, h.Record)
		if tr := s.transfers[k]; tr != nil && tr.hop >= h.Hop {
			continue
		}
		o.holdAt(now, t, h)
	}
	for k, tr := range s.transfers {
		if !listed[k] && tr.shard != workflow.NoShard {
			delete(s.transfers, k)
		}
	}
}

// holdAt makes this shard hold a task at a hop.
func (o *Owner) holdAt(now time.Time, t *task, h workflow.HeldTask) {
	t.job.shared.transfers[h.Record.Key] = &transfer{arrivedAt: now, hop: h.Hop, shard: workflow.NoShard}
	t.isAway, t.waitingSince = false, time.Time{}
	if t.run == 0 && h.Record.Run > 0 {
		t.job.begunTasks++
	}
	t.run, t.checkpoint = max(t.run, h.Record.Run), h.Record.Checkpoint
	o.hasInterrupted = o.hasInterrupted || t.isInterrupted()
	if h.Record.Done {
		return // step_done is logged once all tasks of the step are done
	}
	o.log.WithFields(logrus.Fields{
		"decision": "hold_task", "job": t.job.ID, "task": t.key.String(), "run": t.run, "hop": h.Hop, "home": t.job.shared.home,
	}).Info("the shard holds a task that waited in another one")
}

// TakeBack takes the tasks that a guest returned. Those that have moved on since are left out.
func (o *Owner) TakeBack(now time.Time, id string, guest int, tasks []workflow.HeldTask) {
	j := o.jobs[id]
	if j == nil || j.shared == nil || j.shared.isGuest || j.final != "" {
		for _, h := range tasks {
			o.reportReturnIgnored(id, guest, h, "the job has ended or is not shared")
		}
		return
	}
	o.now = now
	for _, h := range tasks {
		t, tr := o.task(id, h.Record.Key), j.shared.transfers[h.Record.Key]
		if t != nil && o.mergeFailures(t, h.Record) {
			o.tellOfFailures(t)
		}
		if h.Hop == workflow.NoHop || tr != nil && tr.hop >= h.Hop && tr.shard != guest {
			continue // the guest still holds the task, or it was taken back before
		}
		if t == nil || tr == nil || tr.shard != guest || tr.hop != h.Hop {
			o.reportReturnIgnored(id, guest, h, "the task is not at the guest at this hop")
			continue
		}
		o.observeRetry(retrylimit.ReturnTaken)
		o.holdAt(now, t, h)
		j.shared.guests[guest], j.started = true, j.started || t.run > 0
		o.markDirty(j)
		if h.Record.Done {
			o.recordTaskDone(t)
		}
	}
}

// giveBack notes that a guest gives a task back to the home, which it has completed or can't run. The next record of the guest says so.
func (s *sharing) giveBack(t *task) {
	if tr := s.transfers[t.key]; tr != nil {
		tr.shard, s.isReturning, t.isAway = s.home, true, true
	}
}

// returnTasks returns the tasks that have found no worker in this guest shard for returnAfter.
func (o *Owner) returnTasks(now time.Time, a *Actions) {
	for j := range o.guestJobs {
		if o.jobs[j.ID] != j {
			delete(o.guestJobs, j)
			continue
		}
		if j.final != "" {
			continue
		}
		for k, tr := range j.shared.transfers {
			t := o.task(j.ID, k)
			if t == nil || tr.shard != workflow.NoShard || !t.isIdle() {
				continue
			}
			if tr.arrivedAt.IsZero() {
				tr.arrivedAt = now // an earlier owner took the task
			}
			if o.hasLateStart(now, t) {
				continue
			}
			if !t.isExhausted() {
				since := t.waitsSince(tr.arrivedAt)
				if since.IsZero() {
					continue // the next placement round or report notes since when it waits
				}
				if due := maxTime(since, tr.arrivedAt).Add(returnAfter); now.Before(due) {
					a.wakeAt(due)
					continue
				}
			}
			j.shared.giveBack(t)
			t.releaseHold(now)
			o.observeRetry(retrylimit.ReturnSent)
			o.log.WithFields(t.failureFields()).WithFields(logrus.Fields{
				"decision": "return_task", "run": t.run, "home": j.shared.home,
			}).Info("returning a task that finds no worker here, or may not run again, to its home shard")
			o.markDirty(j)
		}
	}
}
