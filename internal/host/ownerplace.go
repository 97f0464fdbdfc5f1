package host

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/laburnumridge/laburnumridge/internal/attribution"
	"github.com/laburnumridge/laburnumridge/internal/explain"
	"github.com/laburnumridge/laburnumridge/internal/fleet"
	"github.com/laburnumridge/laburnumridge/internal/ledger"
	"github.com/laburnumridge/laburnumridge/internal/placement"
)

const (
	// maxBoundAhead is how many tasks without room are bound in advance, so that they can start on their worker
	// during an outage of the platform store.
	maxBoundAhead = 256
	// evictRestartDelay is how long an evicted task can't restart on its worker, so that the task that displaced it
	// gets the room.
	evictRestartDelay = 5 * time.Second
)

// place binds the waiting tasks to workers, in queue order.
func (o *shardOwner) place(now time.Time, workers []fleet.Host) {
	candidates := o.ledger.Bindable(now)
	o.pruneReservations(candidates)
	view := o.placementView(now, workers, candidates)
	boundAhead := 0
	reserved := o.ledger.Reservations()
	o.evictFromLeaving(now, workers)
	o.startProbes(now, workers, candidates)
	for _, c := range o.queue.next(now, candidates, o.hasReservation) {
		d, err := o.placer.Place(view, o.placementTask(now, c))
		switch {
		case err == nil:
			view = o.bind(now, view, c, d)
			if o.reservedOn[c.Task] != "" {
				o.queue.placed(now, c.Task)
			}
		case errors.Is(err, placement.ErrNeverFits):
			o.handleNeverFits(now, c, d)
		case errors.Is(err, placement.ErrNoRoom) && boundAhead < maxBoundAhead:
			boundAhead++
			o.bindAhead(c, workers, reserved, d)
		default:
			o.recordWait(c, d)
		}
	}
}

// evictFromLeaving evicts the batch tasks of leaving workers, so that they resume elsewhere from their checkpoints.
// The eviction budget is not charged, since the tasks would be lost otherwise.
func (o *shardOwner) evictFromLeaving(now time.Time, workers []fleet.Host) {
	leaving := map[string]bool{}
	for _, w := range workers {
		leaving[w.ID] = w.IsLeaving()
	}
	for _, r := range o.ledger.Running() {
		if leaving[r.Worker] && r.Reported && !r.Stopping && !r.Job.IsLatencyCritical() {
			o.evict(now, r.Task, "worker is leaving")
		}
	}
}

// hasReservation reports whether capacity is reserved for a task on the worker that it is bound to.
func (o *shardOwner) hasReservation(c ledger.Candidate) bool {
	return c.Worker != "" && o.reservedOn[c.Task] == c.Worker && o.mayStayBound(c)
}

// mayStayBound reports whether a task may keep waiting on the worker that it is bound to.
func (o *shardOwner) mayStayBound(c ledger.Candidate) bool {
	h, ok := o.host.hosts.snapshot().Host(c.Worker)
	return ok && !h.IsLeaving() &&
		(!o.attribution.IsQuarantined(c.Worker) || o.probes[c.Task] == c.Worker) &&
		!slices.Contains(o.failedOn[c.Task], c.Worker)
}

func (o *shardOwner) isProposed(task string) bool {
	_, ok := o.ledger.ProposedJob(task)
	return ok
}

// pruneReservations deletes the reservations and wait reasons of tasks that no longer wait.
func (o *shardOwner) pruneReservations(candidates []ledger.Candidate) {
	waiting := make(map[string]bool, len(candidates))
	for _, c := range candidates {
		waiting[c.Task] = true
	}
	for task := range o.reservedOn {
		if !waiting[task] && !o.isProposed(task) {
			delete(o.reservedOn, task)
		}
	}
	for task := range o.waitReasons {
		if !waiting[task] {
			delete(o.waitReasons, task)
		}
	}
}

// placementView returns the workers with their running attempts and with the tasks that have capacity reserved there.
func (o *shardOwner) placementView(now time.Time, workers []fleet.Host, candidates []ledger.Candidate) placement.View {
	byID := make(map[string]*placement.Worker, len(workers))
	for _, h := range workers {
		byID[h.ID] = &placement.Worker{
			ClosedToBatch: o.isClosedToBatch(h.ID),
			Host:          h,
			Quarantined:   o.attribution.IsQuarantined(h.ID),
			Suspect:       o.attribution.IsSuspect(h.ID),
		}
	}
	reserve := func(worker, task string, j ledger.Job, lost time.Duration) {
		w := byID[worker]
		if w == nil {
			return
		}
		w.Reserved = w.Reserved.Add(j.Resources)
		w.Tasks = append(w.Tasks, placement.PlacedTask{UnsavedRunTime: lost, Task: o.task(task, j)})
	}
	for _, r := range o.ledger.Running() {
		reserve(r.Worker, r.Task, r.Job, o.lostIfEvicted(now, r))
	}
	for _, c := range candidates {
		if w := o.reservedOn[c.Task]; w != "" {
			reserve(w, c.Task, c.Job, 0)
		}
	}
	for task, w := range o.reservedOn {
		if j, ok := o.ledger.ProposedJob(task); ok {
			reserve(w, task, j, 0)
		}
	}
	view := make([]placement.Worker, 0, len(byID))
	for _, h := range workers {
		view = append(view, *byID[h.ID])
	}
	return placement.NewView(view...)
}

func (o *shardOwner) lostIfEvicted(now time.Time, r ledger.RunningTask) time.Duration {
	ran := now.Sub(o.startedAt[r.Task])
	item, ok := o.item(r.Job.Work)
	if every := item.Work.CheckpointInterval.Duration; ok && every > 0 {
		return ran % every
	}
	return ran
}

func (o *shardOwner) placementTask(now time.Time, c ledger.Candidate) placement.Task {
	t := o.task(c.Task, c.Job)
	if c.Worker != "" && !o.ledger.MayRebind(now) {
		t.OnlyWorker = c.Worker // without the store it can start, and evict others, only where it is bound
	}
	t.BeyondRate = o.queue.inPass[c.Task].BeyondRate
	t.FailedOn = o.failedOn[c.Task]
	return t
}

func (o *shardOwner) evictionsLeft(t *placement.Task) int {
	if t.BeyondRate {
		return o.evictionBudget.LeftBeyondRate(time.Now())
	}
	return o.evictionBudget.Left(time.Now())
}

func (o *shardOwner) task(id string, j ledger.Job) placement.Task {
	return placement.Task{
		ID: id, Kind: j.Kind, Priority: j.Priority, Resources: j.Resources, Team: j.Team, Work: j.Work,
		Zone: o.id.Zone,
	}
}

func (o *shardOwner) bind(
	now time.Time, view placement.View, c ledger.Candidate, d placement.Decision,
) placement.View {
	for _, victim := range d.Victims {
		o.evict(now, victim, fmt.Sprintf("makes room for %s of priority %d", c.Task, c.Job.Priority))
		o.evictionBudget.Take(now, 1)
		if w, ok := view.Worker(d.Worker); ok {
			view = view.WithoutTask(w.ID, victim)
		}
	}
	next, ok := o.placer.Reserve(view, o.placementTask(now, c), d)
	if !ok {
		return view
	}
	if c.Worker != d.Worker {
		if err := o.ledger.Bind(c.Task, d.Worker); err != nil {
			o.log.WithError(err).Warn("failed to bind a task to a worker; the next placement pass decides again")
			return view
		}
	}
	o.reservedOn[c.Task] = d.Worker
	delete(o.waitReasons, c.Task)
	o.attribution.RecordFits(c.Job.ID)
	o.recordDecision(explain.Decision{
		Decision: "place", Job: c.Job.ID, Options: describePlacementOptions(d), Reason: string(d.Reason), Task: c.Task,
		Work: c.Job.Work, Worker: d.Worker,
	})
	return next
}

// bindAhead binds a task without room to the worker with the smallest reserved part of its capacity, where it waits.
func (o *shardOwner) bindAhead(
	c ledger.Candidate, workers []fleet.Host, reserved map[string]ledger.Reservation, d placement.Decision,
) {
	delete(o.reservedOn, c.Task)
	if c.Worker != "" && (o.mayStayBound(c) || !o.ledger.MayRebind(time.Now())) {
		return
	}
	best, least := "", 0.0
	for _, h := range workers {
		c.Worker = h.ID
		if !c.Job.Resources.FitsIn(h.Capacity) || !o.mayStayBound(c) {
			continue
		}
		load := reserved[h.ID].Total().DominantShare(h.Capacity)
		if best == "" || load < least {
			best, least = h.ID, load
		}
	}
	if best == "" {
		return
	}
	r := reserved[best]
	r.Waiting = r.Waiting.Add(c.Job.Resources)
	reserved[best] = r
	if err := o.ledger.Bind(c.Task, best); err != nil {
		return // the task stays unbound until the next pass
	}
	o.recordDecision(explain.Decision{
		Decision: "bind_ahead", Job: c.Job.ID, Options: describePlacementOptions(d), Task: c.Task, Work: c.Job.Work,
		Worker: best, Reason: fmt.Sprintf("%s; least reserved worker, %.2f of its capacity", d.Reason, least),
	})
}

// recordWait records why a task waits, once per reason.
func (o *shardOwner) recordWait(c ledger.Candidate, d placement.Decision) {
	delete(o.reservedOn, c.Task)
	if o.waitReasons[c.Task] == string(d.Reason) {
		return
	}
	o.waitReasons[c.Task] = string(d.Reason)
	o.recordDecision(explain.Decision{
		Decision: "wait", Job: c.Job.ID, Options: describePlacementOptions(d), Reason: string(d.Reason), Task: c.Task,
		Work: c.Job.Work,
	})
}

func (o *shardOwner) handleNeverFits(now time.Time, c ledger.Candidate, d placement.Decision) {
	o.recordWait(c, d)
	detail := fmt.Sprintf("needs %s, larger than every worker of shard %s", c.Job.Resources, o.id)
	if decision, parked := o.attribution.RecordNeverFits(c.Job.ID, detail, now); parked {
		o.applyAttribution(decision)
	}
}

func (o *shardOwner) evict(now time.Time, task, reason string) {
	if err := o.ledger.Evict(now, task, evictRestartDelay); err != nil {
		o.log.WithError(err).Warn("skipped an eviction: the shard's owner does not track the task")
		return
	}
	t, _ := o.ledger.State().Task(task)
	o.recordDecision(explain.Decision{
		Decision: "evict", Job: t.Job, Reason: reason, Task: task, Work: o.workOf(t.Job), Worker: t.Worker,
	})
}

func (o *shardOwner) workOf(job string) string {
	r, _ := o.ledger.State().Job(job)
	return r.Job.Work
}

// applyAttribution carries out a decision of failure attribution on a worker or a job.
func (o *shardOwner) applyAttribution(d attribution.Decision) {
	o.recordDecision(explain.Decision{
		Decision: string(d.Kind), Job: d.Job, Options: d.Jobs, Reason: d.Reason, Work: o.workOf(d.Job),
		Worker: d.Worker,
	})
	switch d.Kind {
	case attribution.KindQuarantine, attribution.KindExtend:
		o.quarantineReasons[d.Worker] = d.Reason
	case attribution.KindRelease:
		delete(o.quarantineReasons, d.Worker)
	case attribution.KindPark:
		if err := o.ledger.Park(d.Job, d.Reason); err != nil {
			o.log.WithError(err).Warn("skipped parking a job that the shard's ledger does not contain")
		}
	}
}

func describePlacementOptions(d placement.Decision) []string {
	var out []string
	for _, opt := range d.Candidates {
		if opt.Rejection != "" {
			out = append(out, fmt.Sprintf("%s and %d more: %s", opt.Worker, opt.RejectedCount-1, opt.Rejection))
			continue
		}
		out = append(out, fmt.Sprintf("%s: score %.3f, slowdown %.2f, spread %.2f, fit %.2f",
			opt.Worker, opt.Score.Total, opt.Score.Slowdown, opt.Score.Spread, opt.Score.FreeFraction))
	}
	return out
}
