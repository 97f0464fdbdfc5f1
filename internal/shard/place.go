package shard

import (
	"slices"
	"strconv"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/laburnumridge/laburnumridge/internal/fleet"
	"github.com/laburnumridge/laburnumridge/internal/workflow"
)

// minPlaceInterval is the least time between two rounds of placement, each of which looks at all tasks that wait.
const minPlaceInterval = 15 * time.Millisecond

// restartDelay delays the restart of a task that failed, so that a task that fails at once does not take over its
// worker's time.
const restartDelay = 50 * time.Millisecond

// place chooses workers for the tasks that wait.
func (o *Owner) place(now time.Time, a *Actions) {
	if due := o.lastPlace.Add(minPlaceInterval + time.Duration(o.evaluatedPairs)*o.timing.EvaluationGap); now.Before(due) {
		a.wakeAt(due)
		return
	}
	o.lastPlace = now
	o.sortJobs(now)
	// full holds the requests that found no worker in this pass; the same request can't find one either.
	full := map[taskClass]bool{}
	free := o.mostFree(now)
	o.evaluatedPairs, o.heldWorkers = 0, 0
	clear(o.mostlyIdle)
	for _, j := range o.backlog {
		if j.final != "" {
			continue
		}
		for _, occ := range j.openOccurrences() {
			for s, tasks := range occ.tasks {
				if !occ.ready[s] || occ.undone[s] == 0 {
					continue
				}
				if j.Steps[s].Gang {
					o.placeGang(now, tasks)
					continue
				}
				if !j.Steps[s].Fills && !j.Steps[s].LongRunning && j.Steps[s].Resources.CPUMilli > free[j.queue.Service] {
					continue
				}
				for _, t := range tasks {
					// Tasks of a step are alike: where one finds no worker, the others do not either.
					if t.isWaiting() && !now.Before(t.notBefore) && !o.placeTask(now, t, full) {
						break
					}
				}
			}
		}
	}
	o.logPlaced(now)
}

// taskClass is what two tasks must share to be refused by the same workers.
type taskClass struct {
	fills bool
	// idle says that nothing of the task's job runs though there is room.
	idle bool
	// image is that of a task that fills; such tasks wait together for a worker that suits their image.
	image     string
	label     string
	resources fleet.Resources
	service   string
	// step and occurrence are set for steps that bound their tasks on a worker.
	occurrence int
	step       *workflow.Step
}

// mostFree returns the most processor time that a worker of each service has left.
func (o *Owner) mostFree(now time.Time) map[string]int64 {
	free := map[string]int64{}
	for _, w := range o.sortedWorkers() {
		if w.takesTasks(now) {
			free[w.Service] = max(free[w.Service], w.Capacity.CPUMilli-w.reserved.CPUMilli)
		}
	}
	return free
}

// takesTasks reports whether new tasks may be given to the worker at all.
func (w *worker) takesTasks(now time.Time) bool {
	return w.registered && !w.Draining && w.fenced && w.pollFailures == 0 && w.orphans == 0 && w.health.accepts(now)
}

// placeTask gives a task to the best worker; false says that there is none now.
func (o *Owner) placeTask(now time.Time, t *task, full map[taskClass]bool) bool {
	r := taskClass{fills: t.step.Fills, label: t.step.Label, resources: t.step.Resources, service: t.job.queue.Service}
	if t.step.Fills {
		r.image, r.resources.CPUMilli = t.step.Image, 0
		if t.waitingSince.IsZero() {
			t.waitingSince = now
		}
		// Such a task does not wait with the others of its image.
		r.idle = now.Sub(t.waitingSince) > maxIdleWait && !t.job.hasAttempts() && o.isMostlyIdle(r.service)
	}
	if t.step.PerWorker > 0 {
		r.step, r.occurrence = t.step, t.key.Occurrence
	}
	if full[r] {
		return false
	}
	w := o.choose(now, t, "")
	if w != nil && t.step.Fills && !r.idle && o.shouldWait(now, t, w) {
		w = nil
	}
	if w == nil && t.job.queue.Advice != nil {
		o.requestAdvice(now, t)
		return false
	}
	if w == nil {
		o.hold(now, t)
		full[r] = true
		return false
	}
	o.assign(t, w, t.run+1)
	return true
}

const (
	// maxFillWait is how long a task that fills waits for a worker that suits it before it takes another one. There it
	// is slowed down and slows others down, so under load all work is done later.
	maxFillWait = 20 * time.Second
	// maxIdleWait takes its place for a job of which nothing runs while less than idlePart of the service's processors
	// are used.
	maxIdleWait  = 1500 * time.Millisecond
	idleFraction = 0.55
)

// shouldWait reports whether a task that fills should wait, since the best worker does not suit it.
func (o *Owner) shouldWait(now time.Time, t *task, w *worker) bool {
	if _, ok := o.fillCost(w, t, w.fillShare(o, t.step.Resources.CPUMilli)); ok {
		return false
	}
	return now.Sub(t.waitingSince) < maxFillWait
}

// isMostlyIdle reports whether less than idlePart of a service's processors are used; it is reckoned once a round.
func (o *Owner) isMostlyIdle(service string) bool {
	idle, ok := o.mostlyIdle[service]
	if !ok {
		idle = o.usedFraction(service) < idleFraction
		o.mostlyIdle[service] = idle
	}
	return idle
}

// usedFraction returns which part of a service's processors is used, as far as the last figures tell.
func (o *Owner) usedFraction(service string) float64 {
	used, capacity := 0.0, 0.0
	for _, w := range o.sortedWorkers() {
		if !w.registered || w.Service != service {
			continue
		}
		capacity += float64(w.Capacity.CPUMilli)
		for _, at := range w.attempts {
			switch cpu := float64(at.task.step.Resources.CPUMilli); {
			case at.task.step.Fills:
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

// assign gives a task to a worker; the start is sent once that is recorded.
func (o *Owner) assign(t *task, w *worker, run int) {
	at := &attempt{phase: phasePlanned, run: run, task: t, worker: w, pace: fullPace}
	if t.job.queue.Advice != nil {
		at.ticket = o.ticket(o.now, w, t)
	}
	t.run, t.waitingSince = run, time.Time{}
	t.attempts = append(t.attempts, at)
	w.add(at)
	w.health.assigned(o.now)
	o.markDirty(t.job)
	o.placed[t.job] = append(o.placed[t.job], t.key.String()+"#"+strconv.Itoa(run)+"@"+w.ID)
}

// logPlaced writes a line for each job of which tasks were placed in a round.
func (o *Owner) logPlaced(now time.Time) {
	for _, j := range o.backlog {
		if tasks := o.placed[j]; len(tasks) > 0 {
			o.log.WithFields(logrus.Fields{
				"decision": "place", "job": j.ID, "tasks": tasks, "objective_in": j.objective.Sub(now).String(),
				"config": o.config.Version,
			}).Info("tasks are placed")
		}
	}
	clear(o.placed)
}

// placeGang places all tasks of a step together, in one rack if they are slower apart.
func (o *Owner) placeGang(now time.Time, tasks []*task) {
	run := 0
	for _, t := range tasks {
		if !t.isWaiting() || now.Before(t.notBefore) {
			return
		}
		run = max(run, t.run)
	}
	racks := []string{""}
	if tasks[0].step.SameRack {
		racks = append(o.racks(), "")
	}
	for _, rack := range racks {
		if o.tryGang(now, tasks, rack, run+1) {
			return
		}
	}
}

func (o *Owner) tryGang(now time.Time, tasks []*task, rack string, run int) bool {
	checkpoint := ""
	for i, t := range tasks {
		if t.checkpoint != "" {
			checkpoint = t.checkpoint
		}
		w := o.choose(now, t, rack)
		if w == nil {
			if t.job.queue.Advice != nil {
				o.requestAdvice(now, t)
			}
			for _, placed := range tasks[:i] {
				for _, at := range slices.Clone(placed.attempts) {
					o.removeAttempt(at, "gang does not fit")
				}
			}
			return false
		}
		o.assign(t, w, run)
	}
	for _, t := range tasks {
		t.checkpoint = checkpoint
	}
	return true
}

func (o *Owner) racks() []string {
	var racks []string
	for _, w := range o.sortedWorkers() {
		if w.registered && !slices.Contains(racks, w.Rack) {
			racks = append(racks, w.Rack)
		}
	}
	slices.Sort(racks)
	return racks
}

// choose returns the best worker for a task, nil if none can take it.
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

// hasRoom reports whether a worker could take a task but for the advice on it.
func (o *Owner) hasRoom(now time.Time, w *worker, t *task) bool {
	s := t.step
	o.evaluatedPairs++
	return (s.Fills || s.Resources.CPUMilli <= w.Capacity.CPUMilli-w.reserved.CPUMilli) && !w.isHeldFrom(now, t) &&
		w.suitsStep(now, t) && w.reserved.Add(reservation(s)).FitsIn(w.Capacity)
}

// suitsStep reports whether a worker could take a task but for its room and the advice on it.
func (w *worker) suitsStep(now time.Time, t *task) bool {
	s := t.step
	if w.Service != t.job.queue.Service || !w.takesTasks(now) || !w.HasLabel(s.Label) {
		return false
	}
	if s.PerWorker > 0 {
		same := 0
		for _, at := range w.attempts {
			if at.task.job == t.job && at.task.key.Step == t.key.Step && at.task.key.Occurrence == t.key.Occurrence {
				same++
			}
		}
		return same < s.PerWorker
	}
	return true
}
