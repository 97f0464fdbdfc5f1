package shard

import (
	"math"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/laburnumridge/laburnumridge/internal/locality"
)

// maxReportAge is the age up to which a worker's last answer to a poll is trusted in forecasts: two polls that wait for an end.
const maxReportAge = 3 * time.Second

// localPlacement is what an owner keeps of tasks that are slower away from the rack of their data or of their group.
type localPlacement struct {
	demand  *locality.RackDemand
	factor  float64
	observe func(event string, waited time.Duration)
	round   *locality.Round[*task]
}

// localWait is the wait of a task for a local placement.
type localWait struct {
	// rack is the rack in which the task was fastest when it was last considered for placement.
	rack string
	// reason is the reason of the last decision on the step whose first task it is.
	reason locality.Reason
	since  time.Time
	// until is the limit of the wait by the last decision on the step whose first task it is.
	until time.Time
}

// WithRemoteFactor sets how many times as long a task takes away from the rack of its data or of its group; 1 means that it is not slower.
// observe is called for each wait that begins ("begun") or ends ("local", "elsewhere").
func WithRemoteFactor(factor float64, observe func(event string, waited time.Duration)) Option {
	return func(o *Owner) { o.local.factor, o.local.observe = factor, observe }
}

// beginLocalRound forgets the forecasts of the last round of placement. It returns an empty demand for racks, or nil.
func (o *Owner) beginLocalRound() *locality.RackDemand {
	o.local.round = locality.NewRound[*task]()
	if o.local.factor <= 1 {
		return nil
	}
	room := map[string]int64{}
	for _, w := range o.sortedWorkers() {
		w.rackDemand = o.local.demand.Share(w.Rack)
		if w.isUsable() {
			room[w.Rack] += w.Capacity.CPUMilli - w.longRunningCPU
		}
	}
	return locality.NewRackDemand(room)
}

// addRackDemand adds the tasks of a step that name a rack and don't run there.
func addRackDemand(d *locality.RackDemand, tasks []*task) {
	s := tasks[0].step
	if d == nil || s.Rack == "" || s.LongRunning || s.BestEffort {
		return
	}
	for _, t := range tasks {
		if !t.done && !t.isAway && (len(t.attempts) == 0 || t.attempts[0].worker.Rack != s.Rack) {
			d.Add(s.Rack, s.Resources.CPUMilli)
		}
	}
}

// localRack returns the rack in which a task is fastest: the one that its step names, or that of its group if all of it that runs is in one.
func (o *Owner) localRack(t *task) string {
	rack := t.step.Rack
	if rack != "" || !t.step.SameRack || !o.mayWaitForRack(t) {
		return rack
	}
	for _, other := range t.siblings() {
		for _, at := range other.attempts {
			if rack != "" && at.worker.Rack != rack {
				return ""
			}
			rack = at.worker.Rack
		}
	}
	return rack
}

// slowdown returns how many times as long as a local run an attempt is expected to take.
func (o *Owner) slowdown(at *attempt) float64 {
	step := at.task.step
	isRemote := step.Rack != "" && at.worker.Rack != step.Rack
	if step.SameRack {
		for _, t := range at.task.siblings() {
			isRemote = isRemote || len(t.attempts) > 0 && t.attempts[0].worker.Rack != at.worker.Rack
		}
	}
	if isRemote {
		return max(o.local.factor, 1)
	}
	return 1
}

// siblings returns the tasks of the step, the first of which stands for the step.
func (t *task) siblings() []*task { return t.job.occurrences[t.key.Occurrence].tasks[t.key.Step] }

// expectedDuration returns how long a local run of the task takes: as long as its siblings took, or else the estimate; 0 if neither is known.
func (t *task) expectedDuration() time.Duration {
	if times := t.job.occurrences[t.key.Occurrence].times[t.key.Step]; times.count > 0 {
		return times.mean()
	}
	return t.step.Estimate
}

// waitsForRack reports whether a task that could be placed on a worker waits for one in its local rack.
func (o *Owner) waitsForRack(now time.Time, t *task, w *worker) bool {
	if t.local.rack == "" || w.Rack == t.local.rack || !o.mayWaitForRack(t) {
		return false
	}
	if !o.local.round.IsDecided(t.siblings()[0]) {
		o.decideLocal(now, t, 0, []string{t.local.rack})
	}
	return o.takesLocalWait(now, t)
}

// mayWaitForRack reports whether tasks like this one wait for local placements: those that last lose more by their interruption, best-effort
// ones wait by rules of their own, and tickets of placement advice expire.
func (o *Owner) mayWaitForRack(t *task) bool {
	return o.local.factor > 1 && !t.step.LongRunning && !t.step.BestEffort && t.job.queue.Advice == nil && t.job.Occurrences == 0
}

// takesLocalWait reports whether a task is one of those of its step that wait for a local placement.
func (o *Owner) takesLocalWait(now time.Time, t *task) bool {
	if o.local.round == nil || o.contained.isPaused(now, localDecision) || !o.local.round.TakeWait(t.siblings()[0]) {
		return false
	}
	if t.local.since.IsZero() {
		t.local.since = now
		o.local.observe("begun", 0)
	}
	return true
}

// isInLocalWait reports whether the task waits by choice for a local placement. Other shards have none to offer.
func (t *task) isInLocalWait(now time.Time) bool {
	return !t.local.since.IsZero() && now.Before(t.siblings()[0].local.until)
}

// endLocalWait notes that a task is placed.
func (o *Owner) endLocalWait(now time.Time, t *task, isLocal bool) {
	if !t.local.since.IsZero() {
		o.local.observe(map[bool]string{true: "local", false: "elsewhere"}[isLocal], now.Sub(t.local.since))
		t.local.since = time.Time{}
	}
}

// localDecision is the decision on waits for a local placement. Without it, tasks are placed elsewhere at once.
const localDecision = "local_wait"

// decideLocal decides which of a step's tasks wait for room in one of the racks. group is the size of a gang, or 0 for tasks that are placed
// one by one.
func (o *Owner) decideLocal(now time.Time, t *task, group int, racks []string) {
	o.contain(now, localDecision, func() { o.weighLocal(now, t, group, racks) })
}

func (o *Owner) weighLocal(now time.Time, t *task, group int, racks []string) {
	first := t.siblings()[0]
	q := locality.Question{Duration: t.expectedDuration(), Factor: o.local.factor, ToObjective: t.job.objective.Sub(now) - t.job.ChainAfter(t.key.Step)}
	for _, other := range t.siblings() {
		if other.isWaiting() && !now.Before(other.notBefore) {
			q.Count++
			if !other.local.since.IsZero() {
				q.Waited = max(q.Waited, now.Sub(other.local.since))
			}
		}
	}
	var candidates []locality.Candidate
	for _, rack := range racks {
		workers := o.forecastWorkers(now, rack, t.job.queue.Service)
		f := o.local.round.Forecast(t.job.queue.Service+"/"+rack, func() []locality.Worker { return o.describeRuns(now, workers) })
		task := locality.Task{Demand: t.step.Resources, Duration: q.Duration, Limits: make(map[string]int, len(workers))}
		for _, w := range workers {
			if !w.isHeldFrom(now, t) && w.suitsStep(now, t) && w.ID != t.avoidWorker {
				task.Limits[w.ID] = math.MaxInt
				if t.step.PerWorker > 0 {
					task.Limits[w.ID] = t.step.PerWorker - w.countOf(t.job.ID, t.key)
				}
			}
		}
		candidates = append(candidates, locality.Candidate{Forecast: f, Rack: t.job.queue.Service + "/" + rack, Task: task})
	}
	d := o.local.round.Decide(first, q, group, candidates)
	if d.Waits() > 0 {
		first.local.until = now.Add(d.Limit)
		o.waitUntil(first.local.until)
	}
	if d.Reason != first.local.reason {
		first.local.reason = d.Reason
		o.log.WithFields(d.Fields(q)).WithFields(logrus.Fields{"decision": localDecision, "job": t.job.ID, "step": t.key.Step, "racks": racks}).
			Info("weighed a placement elsewhere against the wait for a local one")
	}
}

// forecastWorkers returns the workers of a rack whose runs this owner knows, from a report that is not too old, and which are not slow.
func (o *Owner) forecastWorkers(now time.Time, rack, service string) []*worker {
	var out []*worker
	for _, w := range o.sortedWorkers() {
		if w.Rack == rack && w.Service == service && w.takesTasks(now) && now.Sub(w.answeredAt) <= maxReportAge && !now.Before(w.coldUntil) {
			out = append(out, w)
		}
	}
	return out
}

// describeRuns returns what forecasts need to know of workers.
func (o *Owner) describeRuns(now time.Time, workers []*worker) []locality.Worker {
	out := make([]locality.Worker, len(workers))
	for i, w := range workers {
		out[i].Free, out[i].ID = w.Capacity.Sub(w.reserved), w.ID
		for _, at := range w.attempts {
			r, age := locality.Run{Demand: reservation(at.task.step), Remaining: locality.Never}, time.Duration(0)
			if !at.confirmedAt.IsZero() {
				age = now.Sub(at.confirmedAt)
			}
			if at.phase == phaseStopping || at.phase == phaseStopped {
				r.Remaining = locality.Remaining(time.Millisecond, 0)
			} else if !at.task.step.LongRunning && !at.task.step.BestEffort {
				r.Remaining = locality.Remaining(time.Duration(o.slowdown(at)*float64(at.task.expectedDuration())), age)
			}
			out[i].Runs = append(out[i].Runs, r)
		}
		o.evaluatedPairs += len(w.attempts)
	}
	return out
}
