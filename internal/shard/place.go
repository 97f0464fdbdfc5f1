package shard

import (
	"slices"
	"strconv"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/laburnumridge/laburnumridge/internal/fleet"
	"github.com/laburnumridge/laburnumridge/internal/workflow"
)

// minPlaceInterval is the minimum time between two placement rounds, each of which considers all waiting tasks.
const minPlaceInterval = 15 * time.Millisecond

// restartDelay delays the restart of a failed task, so that a task that fails immediately does not keep its worker busy
// with restarts.
const restartDelay = 50 * time.Millisecond

// place assigns the waiting tasks to workers.
func (o *Owner) place(now time.Time, a *Actions) {
	if due := o.lastPlace.Add(o.placePause(o.evaluatedPairs)); now.Before(due) {
		a.wakeAt(due)
		o.placeRestartsBetweenRounds(now, a)
		return
	}
	o.lastPlace = now
	o.sortJobs(now)
	// unplaceable holds the classes of tasks for which no worker was found in this round.
	unplaceable := map[taskClass]bool{}
	o.placeableAt = a.Wake
	free := o.maxFreeCPU(now)
	o.evaluatedPairs, o.heldWorkers = 0, 0
	clear(o.mostlyIdle)
	clear(o.unholdable)
	clear(o.headrooms)
	clear(o.heldBack)
	o.observeShortDemand(now)
	demand := o.beginLocalRound()
	o.placeLateStarted(now)
	o.placeRestarts(now, unplaceable)
	for _, j := range o.backlog {
		if j.final != "" {
			continue
		}
		for _, occ := range j.openOccurrences() {
			for s, tasks := range occ.tasks {
				if !occ.ready[s] || occ.undone[s] == 0 {
					continue
				}
				switch {
				case j.Steps[s].Gang:
					o.placeGang(now, tasks)
				case !j.Steps[s].BestEffort && !j.Steps[s].LongRunning && j.Steps[s].Resources.CPUMilli > free[j.queue.Service]:
					// No worker has enough CPU. Long-running tasks are still tried, since a worker may be held for them.
				default:
					o.placeTasks(now, tasks, unplaceable)
				}
				addRackDemand(demand, tasks)
			}
		}
	}
	o.local.demand = demand
	a.wakeAt(o.placeableAt)
	o.logPlaced(now)
}

// waitUntil makes the owner wake for a task that can't be placed before a time.
func (o *Owner) waitUntil(t time.Time) { o.placeableAt = minTime(o.placeableAt, t) }

// placePause returns the pause after a round that evaluated the given number of (task, worker) pairs.
func (o *Owner) placePause(pairs int) time.Duration {
	return minPlaceInterval + time.Duration(pairs)*o.timing.EvaluationGap
}

// placeTasks assigns those of a step's tasks to workers that wait and may start. All tasks of a step have the same requirements:
// once one can't be placed, only those with a worker held for them are still tried.
func (o *Owner) placeTasks(now time.Time, tasks []*task, unplaceable map[taskClass]bool) {
	isFull := false
	for _, t := range tasks {
		switch {
		case !t.isWaiting(), !t.mayBegin():
		case now.Before(t.notBefore):
			o.waitUntil(t.notBefore)
		case o.hasLateStart(now, t):
			o.placeBesideLateStart(now, t)
		case !isFull, t.hasHold(now), t.mayEvict(now) && o.mayHoldMore():
			isFull = !o.placeTask(now, t, unplaceable) || isFull
		}
	}
}

// taskClass identifies tasks with equal requirements: a worker that can't take one of them can't take the others
// either, unless it is held for one.
type taskClass struct {
	bestEffort bool
	// headroom is set for long-running tasks that never ran.
	headroom *headroom
	// skipsWait is set if the task has waited longer than maxIdleWait while its job has no runs and its service is
	// mostly idle. The task is then placed on any worker.
	skipsWait bool
	// image is set for best-effort tasks. Tasks of one image wait together for a worker whose serving tasks they would
	// not disturb.
	image     string
	label     string
	resources fleet.Resources
	service   string
	// step and occurrence are set for steps that limit the number of their tasks on a worker and have attempts. A step without
	// attempts can use the same workers as one without a limit. They are also set for long-running steps with a limit, so that a
	// worker is held for each such step.
	occurrence int
	step       *workflow.Step
}

// maxFreeCPU returns by service the largest amount of unreserved CPU on a worker that takes tasks.
func (o *Owner) maxFreeCPU(now time.Time) map[string]int64 {
	free := map[string]int64{}
	for _, w := range o.sortedWorkers() {
		if w.takesTasks(now) {
			free[w.Service] = max(free[w.Service], w.Capacity.CPUMilli-w.reserved.CPUMilli)
		} else if !w.health.accepts(now) {
			o.waitUntil(w.health.acceptsAt())
		}
	}
	return free
}

// takesTasks reports whether the worker is in a state in which it may be given any tasks.
func (w *worker) takesTasks(now time.Time) bool {
	return w.isUsable() && w.fenced && w.pollFailures == 0 && w.orphans == 0 && w.health.accepts(now)
}

// placeTask assigns a task to the best worker. It returns false if no worker can take the task now.
func (o *Owner) placeTask(now time.Time, t *task, unplaceable map[taskClass]bool) bool {
	class := taskClass{
		bestEffort: t.step.BestEffort, headroom: o.headroomFor(now, t), label: t.step.Label, resources: t.step.Resources,
		service: t.job.queue.Service,
	}
	if t.waitingSince.IsZero() && t.step.BestEffort {
		t.waitingSince = t.waitBegan(now)
	}
	if t.step.BestEffort {
		class.image, class.resources.CPUMilli = t.step.Image, 0
		// A task with skipsWait set may be placed while other tasks of its image still wait.
		class.skipsWait = now.Sub(t.waitingSince) > maxIdleWait && !t.job.hasAttempts() && o.isMostlyIdle(class.service)
	}
	if t.step.PerWorker > 0 && (t.step.LongRunning || t.job.occurrences[t.key.Occurrence].stepHasAttempts(t.key.Step)) {
		class.step, class.occurrence = t.step, t.key.Occurrence
	}
	if unplaceable[class] && !t.hasHold(now) {
		if t.mayEvict(now) && !o.unholdable[class] {
			o.unholdable[class] = !o.hold(now, t)
		}
		return false
	}
	if o.takesLocalWait(now, t) {
		return true
	}
	t.local.rack = o.localRack(t)
	w := o.choose(now, t, "")
	if w == nil && t.isInterrupted() {
		w = o.chooseAhead(now, t)
	}
	if w != nil && t.step.BestEffort && !class.skipsWait && o.shouldWait(now, t, w) {
		w = nil
	}
	if w == nil && t.job.queue.Advice != nil {
		o.requestAdvice(now, t)
		o.hold(now, t)
		return false
	}
	if w == nil {
		if class.headroom != nil {
			o.heldBack[class.service] = true
		}
		if t.isInterrupted() && !t.mayEvict(now) {
			o.waitUntil(t.waitingSince.Add(evictAfter))
		}
		o.unholdable[class] = !o.hold(now, t)
		unplaceable[class] = true
		return false
	}
	if o.waitsForRack(now, t, w) {
		return true
	}
	o.endLocalWait(now, t, w.Rack == t.local.rack)
	o.assign(t, w, t.run+1)
	return true
}

// waitBegan returns since when a task waits that is considered for placement and has not been considered before by this owner. A task
// that could start when its job was accepted has waited since then, also under earlier owners, if that time is on record.
func (t *task) waitBegan(now time.Time) time.Time {
	if t.run > 0 || len(t.step.After) > 0 || t.job.Occurrences > 0 || t.job.AcceptedAt == 0 {
		return now
	}
	return minTime(now, t.job.acceptedAt)
}

const (
	// maxBestEffortWait is how long a best-effort task waits for a suitable worker before it takes any other. On an
	// unsuitable worker it runs slowly and slows down others, so under load all work would finish later.
	maxBestEffortWait = 20 * time.Second
	// maxIdleWait replaces maxBestEffortWait for a job without runs while less than idleFraction of the service's CPU
	// is used.
	maxIdleWait  = 1500 * time.Millisecond
	idleFraction = 0.55
)

// shouldWait reports whether a best-effort task should wait because even the best worker is unsuitable.
func (o *Owner) shouldWait(now time.Time, t *task, w *worker) bool {
	if _, ok := o.bestEffortCost(w, t, w.bestEffortShare(o, t.step.Resources.CPUMilli)); ok {
		return false
	}
	return now.Sub(t.waitingSince) < maxBestEffortWait
}

// isMostlyIdle reports whether less than idleFraction of a service's CPU is used. It is computed once per placement
// round.
func (o *Owner) isMostlyIdle(service string) bool {
	idle, ok := o.mostlyIdle[service]
	if !ok {
		idle = o.usedFraction(service) < idleFraction
		o.mostlyIdle[service] = idle
	}
	return idle
}

// usedFraction returns the fraction of a service's CPU that is in use according to the latest measurements.
func (o *Owner) usedFraction(service string) float64 {
	used, capacity := 0.0, 0.0
	for _, w := range o.sortedWorkers() {
		if !w.registered || w.isEvacuated || w.Service != service {
			continue
		}
		capacity += float64(w.Capacity.CPUMilli)
		for _, at := range w.attempts {
			switch cpu := float64(at.task.step.Resources.CPUMilli); {
			case at.task.step.BestEffort:
				used += cpuFraction(w, at) * float64(w.Capacity.CPUMilli)
			case at.task.step.LongRunning:
				used += servingLoad * cpu
			default:
				used += cpu
			}
		}
	}
	return used / max(capacity, 1)
}

// assign plans an attempt of a task on a worker, unless the task may not run again. The start is sent once the attempt is recorded. run is
// the attempt's number.
func (o *Owner) assign(t *task, w *worker, run int) {
	if t.isExhausted() {
		o.refuseRun(t, w, run)
		return
	}
	at := &attempt{phase: phasePlanned, plannedAt: o.now, run: run, task: t, worker: w, pace: fullPace}
	o.refreshTicket(o.now, at)
	if t.isInterrupted() {
		t.job.restartPlanned = true
		at.noteRestart(w)
	}
	t.job.startPlanned, t.job.recordNotBefore = true, time.Time{}
	t.releaseHold(o.now)
	if t.run == 0 {
		t.job.begunTasks++
	}
	t.run, t.waitingSince = run, time.Time{}
	t.attempts = append(t.attempts, at)
	if t.step.LongRunning {
		o.recordLongRunning(w, t)
	}
	w.add(at)
	o.countTrial(at)
	w.health.assigned(o.now)
	o.markDirty(t.job)
	o.placed[t.job] = append(o.placed[t.job], t.key.String()+"#"+strconv.Itoa(run)+"@"+w.ID)
}

// logPlaced logs one line for each job whose tasks were placed in this round.
func (o *Owner) logPlaced(now time.Time) {
	for _, j := range o.backlog {
		if tasks := o.placed[j]; len(tasks) > 0 {
			o.log.WithFields(logrus.Fields{
				"decision": "place", "job": j.ID, "tasks": tasks, "objective_in": j.objective.Sub(now).String(),
				"config": o.config.Version,
			}).Info("tasks were assigned to workers")
		}
	}
	clear(o.placed)
}

func (o *Owner) racks() []string {
	var racks []string
	for _, w := range o.sortedWorkers() {
		if w.registered && !w.isEvacuated && !slices.Contains(racks, w.Rack) {
			racks = append(racks, w.Rack)
		}
	}
	slices.Sort(racks)
	return racks
}

// choose returns the best worker for a task, or nil if no worker can take it.
func (o *Owner) choose(now time.Time, t *task, rack string) *worker {
	var best *worker
	bestScore := 0.0
	for _, w := range o.sortedWorkers() {
		if rack != "" && w.Rack != rack || !o.canTake(now, w, t) {
			continue
		}
		score := o.score(w, t)
		if best == nil || score > bestScore || score == bestScore && w.ID < best.ID {
			best, bestScore = w, score
		}
	}
	return best
}

// canTake reports whether a worker may be given a task now.
func (o *Owner) canTake(now time.Time, w *worker, t *task) bool {
	return o.hasRoom(now, w, t) && (t.job.queue.Advice == nil || o.ticket(now, w, t) != "")
}

// hasRoom reports whether a worker could take a task, regardless of placement advice.
func (o *Owner) hasRoom(now time.Time, w *worker, t *task) bool {
	s := t.step
	o.evaluatedPairs++
	return (s.BestEffort || s.Resources.CPUMilli <= w.Capacity.CPUMilli-w.reserved.CPUMilli) && !w.isHeldFrom(now, t) &&
		w.suitsStep(now, t) && w.reserved.Add(reservation(s)).FitsIn(w.Capacity) && o.headroomFor(now, t).allows(w, t.step.Resources.CPUMilli)
}

// suitsStep reports whether a worker could take a task, regardless of its free resources and of placement advice.
func (w *worker) suitsStep(now time.Time, t *task) bool {
	s := t.step
	if w.Service != t.job.queue.Service || !w.takesTasks(now) || !w.HasLabel(s.Label) {
		return false
	}
	return !w.isAtSpreadLimit(t)
}

// isAtSpreadLimit reports whether the worker has as many tasks of the step as the step allows.
func (w *worker) isAtSpreadLimit(t *task) bool {
	return t.step.PerWorker > 0 && w.countOf(t.job.ID, t.key) >= t.step.PerWorker
}

// countOf returns the number of attempts on the worker that are of the same step and occurrence of a job as a task.
func (w *worker) countOf(job string, k workflow.TaskKey) int {
	n := 0
	for _, at := range w.attempts {
		if at.task.job.ID == job && at.task.key.Step == k.Step && at.task.key.Occurrence == k.Occurrence {
			n++
		}
	}
	return n
}
