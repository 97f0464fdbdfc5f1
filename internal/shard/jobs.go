package shard

import (
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/laburnumridge/laburnumridge/internal/interference"
	"github.com/laburnumridge/laburnumridge/internal/retrylimit"
	"github.com/laburnumridge/laburnumridge/internal/workercall"
	"github.com/laburnumridge/laburnumridge/internal/workflow"
)

// Restore adds a job with its recorded progress. Recorded attempts count as running until their workers have been
// polled, but those that the last owner did not send are ready to be sent.
func (o *Owner) Restore(now time.Time, j workflow.Job, p workflow.Progress, cancelled bool) {
	o.restore(now, j, p, cancelled, nil)
}

// restore adds a job, with its record if that says that the job is shared.
func (o *Owner) restore(now time.Time, j workflow.Job, p workflow.Progress, cancelled bool, shared *workflow.SharedJob) {
	o.now = now
	if o.jobs[j.ID] != nil {
		return
	}
	handedOver := false
	if o.inherited != nil {
		var newer workflow.Progress
		if newer, handedOver = o.inherited.Progress[j.ID]; handedOver {
			p = newer
		}
	}
	n := o.newJob(now, j, p.Settings)
	n.doneThrough, n.isCompactRecorded = p.DoneThrough, len(p.Done) > 0
	o.jobs[j.ID] = n
	o.backlog, o.backlogUnsorted = append(o.backlog, n), true
	o.restoreDoneTasks(n, p.Done)
	answered := make(map[workflow.AnsweredStart]bool, len(p.Answered))
	for _, s := range p.Answered {
		answered[s] = true
	}
	for _, rec := range p.Tasks {
		o.restoreTask(now, n, rec, answered)
	}
	o.restoreFailed(n, p.Failed)
	o.restoreLateStarts(n, p.LateStarts)
	if shared != nil || len(p.Guests) > 0 {
		o.restoreSharing(now, n, p, shared)
	}
	for _, occ := range n.occurrences {
		o.updateReadySteps(n, occ)
	}
	o.areLimitsUnchecked = true
	if handedOver {
		if n.shared != nil {
			n.shared.markAllChanged() // the last owner may not have recorded what it gave or returned
		}
		o.replan(n)
	}
	if cancelled {
		o.Cancel(now, j.ID)
	}
	o.advanceJob(n)
}

// replan makes a job be recorded whose progress was handed over. Its attempts that were not sent are to be recorded before they are.
func (o *Owner) replan(j *job) {
	for _, t := range j.readyTasks() {
		for _, at := range t.attempts {
			if at.phase == phaseReady {
				at.phase, j.startPlanned = phasePlanned, true
				j.restartPlanned = j.restartPlanned || t.step.LongRunning && at.run > 1
			}
		}
	}
	o.markDirty(j)
}

func (o *Owner) restoreTask(now time.Time, n *job, rec workflow.TaskRecord, answered map[workflow.AnsweredStart]bool) {
	k := rec.Key
	if k.Step < 0 || k.Step >= len(n.Steps) || k.Index < 0 || k.Index >= n.Steps[k.Step].Count ||
		k.Occurrence < n.doneThrough || k.Occurrence >= n.OccurrenceCount() {
		o.log.WithFields(logrus.Fields{"job": n.ID, "task": k.String()}).
			Warn("skipping the record of a task that the job does not have")
		return
	}
	occ := o.occurrence(n, k.Occurrence)
	t := occ.tasks[k.Step][k.Index]
	t.checkpoint, t.failures, t.run = rec.Checkpoint, retrylimit.NewFailures(rec.Failures), rec.Run
	if rec.Run > 0 && !rec.Done {
		n.begunTasks++
	}
	if rec.Done && !t.done {
		t.done = true
		occ.openTasks--
		occ.undone[k.Step]--
	}
	for _, ra := range rec.Attempts {
		w := o.workerByID(ra.Worker)
		if ra.Born > w.life.Born() {
			w.life = workercall.NewLifetime(ra.Born, w.life.Inherited()).WithRenewals(w.life.Renewals())
		}
		isAnswered := answered[workflow.AnsweredStart{Key: k, Run: ra.Run, Worker: ra.Worker}]
		at := &attempt{
			born: ra.Born, isAnswerRecorded: isAnswered, isStartUnknown: o.isAfterCrash() && !isAnswered, phase: phaseInherited, run: ra.Run, sentAt: now, task: t,
			worker: w, pace: -1,
		}
		if o.inherited != nil {
			at.runningSince = o.since(o.inherited.Running, n.ID, k, ra.Run)
		}
		if o.inherited != nil && o.inherited.isUnsent(n.ID, k, ra.Run) {
			at.markReady(now)
		} else {
			t.started, n.started = true, true
		}
		t.attempts = append(t.attempts, at)
		w.add(at)
	}
	if o.inherited != nil && t.isInterrupted() {
		t.waitingSince = o.since(o.inherited.Waiting, n.ID, k, t.run)
	}
}

// Add adds a newly accepted job. Repeated calls for the same job have no effect.
func (o *Owner) Add(now time.Time, j workflow.Job) {
	if o.jobs[j.ID] != nil || o.ended.state(now, j.ID) != "" {
		return
	}
	n := o.newJob(now, j, nil)
	o.contain(now, "forecast", func() { o.forecastEnd(n) })
	o.jobs[j.ID] = n
	o.backlog, o.backlogUnsorted = append(o.backlog, n), true
	tasks := 0
	for _, s := range j.Steps {
		tasks += s.Count
	}
	o.log.WithFields(logrus.Fields{
		"decision": "accept", "job": j.ID, "queue": j.Queue, "steps": len(j.Steps), "tasks": tasks,
		"config": o.config.Version,
	}).Info("job was added to the shard")
}

// newJob returns a job with the settings of its queue that its progress holds, if any.
func (o *Owner) newJob(now time.Time, j workflow.Job, recorded *workflow.QueueSettings) *job {
	if recorded == nil {
		recorded = j.Settings
	}
	age := max(o.wallClock().UnixMilli()-j.AcceptedAt, 0)
	n := &job{
		Job: j, acceptedAt: now.Add(-time.Duration(age) * time.Millisecond), occurrences: map[int]*occurrence{},
		recordedQueue: recorded,
	}
	if recorded != nil {
		n.queue = *recorded
	}
	if !o.applyQueue(n) && recorded == nil && o.config.Version > 0 {
		o.log.WithFields(logrus.Fields{"decision": "queue_unknown", "job": j.ID, "queue": j.Queue}).
			Warn("the queue of a job has been removed and no record has its settings; the job waits until it is there again")
	}
	if j.Occurrences == 0 {
		o.occurrence(n, 0)
	}
	return n
}

// Cancel stops a job whose cancellation has been recorded.
func (o *Owner) Cancel(now time.Time, id string) {
	o.now = now
	j := o.jobs[id]
	if j == nil || j.cancelled || j.final != "" {
		return
	}
	j.cancelled = true
	o.log.WithFields(logrus.Fields{"decision": "cancel", "job": id}).Info("job was cancelled")
	o.endJob(j, workflow.StateCancelled, "job is cancelled")
}

// End ends a job whose final state was recorded before, so that its records are deleted.
func (o *Owner) End(now time.Time, id string, state workflow.State) {
	o.now = now
	if j := o.jobs[id]; j != nil && j.final == "" {
		o.log.WithFields(logrus.Fields{"decision": "end_again", "job": id, "state": string(state)}).
			Warn("the job has ended, but has a record; deleting the record")
		o.endJob(j, state, "job has ended")
	}
}

// endJob sets the final state of a job and stops its runs.
func (o *Owner) endJob(j *job, s workflow.State, reason string) {
	j.final = s
	if j.shared != nil {
		j.shared.markGuestsChanged()
	}
	o.markDirty(j)
	for _, occ := range j.openOccurrences() {
		for _, tasks := range occ.tasks {
			for _, t := range tasks {
				for _, at := range slices.Clone(t.attempts) {
					o.stopRun(at, reason)
				}
			}
		}
	}
}

// IsOpen reports whether the shard has a job whose final state is not on record.
func (o *Owner) IsOpen(id string) bool { return o.jobs[id] != nil && !o.jobs[id].finalRecorded }

// State returns the job state that is reported to callers; ok is false if the shard does not know the job.
func (o *Owner) State(id string) (s workflow.State, ok bool) {
	j := o.jobs[id]
	switch {
	case j == nil:
		s = o.ended.state(o.now, id)
		return s, s != ""
	case j.cancelled:
		return workflow.StateCancelled, true
	case j.final != "" && j.finalRecorded:
		return j.final, true
	case j.started:
		return workflow.StateRunning, true
	}
	return workflow.StateQueued, true
}

// Pending returns the number of jobs of a queue that have not started any task.
func (o *Owner) Pending(queue string) int {
	n := 0
	for _, j := range o.jobs {
		if j.Queue == queue && !j.started && j.final == "" {
			n++
		}
	}
	return n
}

func (o *Owner) occurrence(j *job, index int) *occurrence {
	if occ := j.occurrences[index]; occ != nil {
		return occ
	}
	occ := &occurrence{
		index: index, ready: make([]bool, len(j.Steps)), tasks: make([][]*task, len(j.Steps)),
		loads: make([]*interference.LoadEstimate, len(j.Steps)), times: make([]stepTimes, len(j.Steps)), undone: make([]int, len(j.Steps)),
		advice: make([]map[string]cachedAdvice, len(j.Steps)),
	}
	for s := range j.Steps {
		step := &j.Steps[s]
		occ.tasks[s] = make([]*task, step.Count)
		occ.undone[s] = step.Count
		occ.openTasks += step.Count
		for i := range occ.tasks[s] {
			occ.tasks[s][i] = &task{
				job: j, key: workflow.TaskKey{Occurrence: index, Step: s, Index: i}, occurrence: occ, step: step,
			}
			occ.tasks[s][i].isAway = j.shared != nil && j.shared.isAway(occ.tasks[s][i].key)
		}
	}
	j.occurrences[index] = occ
	o.updateReadySteps(j, occ)
	return occ
}

// updateReadySteps marks the steps whose preceding steps are all done as ready. A guest is given only tasks of steps that are.
func (o *Owner) updateReadySteps(j *job, occ *occurrence) {
	for s := range j.Steps {
		ready := true
		if j.shared != nil && j.shared.isGuest {
			occ.ready[s] = true
			continue
		}
		for _, before := range j.Steps[s].After {
			ready = ready && occ.undone[before] == 0
		}
		occ.ready[s] = ready
	}
}

// openOccurrences creates the occurrences that are due. The loop ends at the first occurrence that is not due, so the
// number of later ones does not affect its cost.
func (o *Owner) openOccurrences(now time.Time, a *Actions) {
	wallClock := o.wallClock().UnixMilli()
	for _, j := range o.jobs {
		if j.Occurrences == 0 || j.final != "" {
			continue
		}
		for k := j.doneThrough; k < j.OccurrenceCount(); k++ {
			if due := j.DueAt(k); due > wallClock {
				a.wakeAt(now.Add(time.Duration(due-wallClock) * time.Millisecond))
				break
			}
			if j.occurrences[k] != nil {
				continue
			}
			if !o.mayOpen(j) {
				break
			}
			o.occurrence(j, k)
		}
	}
}

// recordTaskDone marks a task as done and makes the steps that depended on it ready.
func (o *Owner) recordTaskDone(t *task) {
	if t.done {
		return
	}
	t.done = true
	j := t.job
	if t.run > 0 {
		j.begunTasks--
	}
	occ := j.occurrences[t.key.Occurrence]
	occ.openTasks--
	occ.undone[t.key.Step]--
	if occ.undone[t.key.Step] == 0 {
		o.log.WithFields(logrus.Fields{
			"decision": "step_done", "job": j.ID, "occurrence": t.key.Occurrence, "step": t.key.Step, "open_tasks": occ.openTasks,
			"objective_in": j.objective.Sub(o.now).String(),
		}).Info("all tasks of a step are done")
		o.updateReadySteps(j, occ)
	}
	if j.shared != nil && j.shared.isGuest {
		j.shared.giveBack(t)
	}
	o.markDirty(j)
	o.advanceJob(j)
}

// advanceJob removes completed occurrences in order, and completes the job after the last one.
func (o *Owner) advanceJob(j *job) {
	if j.shared != nil && j.shared.isGuest {
		return // the home completes the job
	}
	for {
		occ := j.occurrences[j.doneThrough]
		if occ == nil || occ.openTasks > 0 || occ.hasAttempts() {
			break
		}
		o.keepLateStarts(j, occ)
		delete(j.occurrences, j.doneThrough)
		j.doneThrough++
	}
	if j.doneThrough >= j.OccurrenceCount() && j.final == "" {
		j.final = workflow.StateCompleted
		if j.forecastEnd > 0 {
			o.learned.ObserveEnd(j.forecastEnd, o.now.Sub(j.acceptedAt))
		}
		if j.shared != nil {
			j.shared.markGuestsChanged()
		}
		o.markDirty(j)
	}
}

// hasAttempts reports whether any task of the occurrence has an attempt.
func (occ *occurrence) hasAttempts() bool {
	for s := range occ.tasks {
		if occ.stepHasAttempts(s) {
			return true
		}
	}
	return false
}

// stepHasAttempts reports whether any task of a step of the occurrence has an attempt.
func (occ *occurrence) stepHasAttempts(step int) bool {
	return slices.ContainsFunc(occ.tasks[step], func(t *task) bool { return len(t.attempts) > 0 })
}

// hasAttempts reports whether any task of the job has an attempt.
func (j *job) hasAttempts() bool {
	for _, occ := range j.occurrences {
		if occ.hasAttempts() {
			return true
		}
	}
	return false
}

// markDirty schedules the job's record to be written.
func (o *Owner) markDirty(j *job) {
	j.version++
	if !j.dirty && !j.finalRecorded {
		j.dirty, j.dirtySince = true, o.now
		o.dirty = append(o.dirty, j)
	}
}

// forgetIfEnded removes a job whose final state is recorded and which has no attempts left.
func (o *Owner) forgetIfEnded(j *job) {
	if !j.finalRecorded || j.hasAttempts() {
		return
	}
	o.noteEndedJob(j)
	delete(o.jobs, j.ID)
	o.backlogUnsorted = true
}
