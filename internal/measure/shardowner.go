package measure

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/laburnumridge/laburnumridge/internal/attribution"
	"github.com/laburnumridge/laburnumridge/internal/interference"
	"github.com/laburnumridge/laburnumridge/internal/job"
	"github.com/laburnumridge/laburnumridge/internal/ledger"
	"github.com/laburnumridge/laburnumridge/internal/note"
	"github.com/laburnumridge/laburnumridge/internal/placement"
)

const (
	placementInterval = 250 * time.Millisecond
	placementsPerPass = 256
	// startDelay is the time from placement to start: the group commit of the binding and the start on the worker.
	startDelay = 300 * time.Millisecond
	// stopDelay is how long a worker takes to checkpoint and stop a task.
	stopDelay = time.Second
	// throttledSpeed is the speed of a throttled batch task, as a fraction of full speed.
	throttledSpeed = 0.5
	// tasksPerJob is the number of tasks of a job that is not urgent. Urgent jobs have one task.
	tasksPerJob          = 4
	cancellationsPerTick = 200
)

// task is a batch task with its true remaining run time and the state of its current attempt.
type task struct {
	job.Task
	// startRecorded is set once the first start counts in UrgentStart.
	startRecorded    bool
	failsEverywhere  bool
	failedOn         []string
	remainingSeconds float64 // run time left at full speed
	placedAt         time.Time
	isProbe          bool
	startAt          time.Time
	started          bool
	stopping         bool
	work             note.Work
	worker           string
}

// shardOwner is the stand-in of a shard owner. Its job queue, placement, attribution and mitigation are the real ones.
type shardOwner struct {
	attribution   *attribution.Attributor
	budget        *interference.Budget
	cancelled     map[string]bool // by job id
	modifyTask    func(*task)     // applied to every submitted task
	lastJobNumber int
	mitigation    *mitigationDriver
	parked        map[string]bool // by job id
	placer        *placement.Placer
	queue         *job.Queue
	replicas      map[string][]placement.PlacedTask // by worker id
	tasks         map[string]*task                  // by id; unfinished tasks
	sim           *simulation
}

func newShardOwner(sim *simulation) *shardOwner {
	o := &shardOwner{
		attribution: attribution.New(attribution.WithPolicy(sim.variant.attribution)),
		budget:      interference.NewBudget(interference.DefaultEvictions), cancelled: map[string]bool{},
		parked: map[string]bool{}, queue: job.NewQueue(job.WithKeptRate(sim.variant.keptRate)),
		replicas: map[string][]placement.PlacedTask{}, tasks: map[string]*task{}, sim: sim,
	}
	o.mitigation = newMitigationDriver(o)
	o.placer = placement.New(
		placement.WithPolicy(sim.variant.placement),
		placement.WithEvictionsLeft(func(t *placement.Task) int {
			if t.BeyondRate {
				return o.budget.LeftBeyondRate(sim.now)
			}
			return o.budget.Left(sim.now)
		}),
		placement.WithSlowdown(o.mitigation.predictedSlowdown),
		placement.WithViolationHandler(func(name, detail string) { panic(name + ": " + detail) }),
	)
	return o
}

func (o *shardOwner) start() {
	o.sim.every(placementInterval, o.tick)
	o.mitigation.start()
}

// submitJob submits a job of a batch work. modify, if set, changes each of its tasks.
func (o *shardOwner) submitJob(work string, modify func(*task)) {
	sim := o.sim
	k := sim.workByName[work]
	o.lastJobNumber++
	id := numberedID(work, o.lastJobNumber)
	for i := range taskCount(k) {
		t := &task{
			Task: job.Task{
				ID: fmt.Sprintf("%s-%d", id, i), Job: id, Priority: k.Priority, Resources: k.Resources, Submitted: sim.now,
				Team: k.Team, Work: work,
			},
			remainingSeconds: k.RunTime.Seconds() * oneIfZero(sim.trueRunTimeFactor[work]), work: k,
		}
		if k.Deadline.Duration > 0 {
			t.Deadline = sim.now.Add(k.Deadline.Duration)
		}
		for _, f := range []func(*task){o.modifyTask, modify} {
			if f != nil {
				f(t)
			}
		}
		o.tasks[t.ID] = t
		if err := o.queue.Add(t.Task); err != nil {
			delete(o.tasks, t.ID)
		}
	}
}

// submitPeriodically submits jobs of a batch work at a constant rate with jitter. cpuShare is the fraction of all
// processors that the rate demands, by the declared run times.
func (sim *simulation) submitPeriodically(work string, cpuShare float64, from, until time.Time, modify func(*task)) {
	k := sim.workByName[work]
	perTask := k.RunTime.Seconds() * float64(k.Resources.CPUMilli)
	perSecond := cpuShare * float64(sim.user.workerCapacity.CPUMilli) * float64(sim.user.workerCount) / perTask / float64(taskCount(k))
	rng := rand.New(rand.NewPCG(sim.truthRNG.Uint64(), 4))
	var next func()
	next = func() {
		if sim.now.After(until) {
			return
		}
		sim.submitJob(work, modify)
		sim.after(jitteredInterval(rng, perSecond), next)
	}
	sim.after(from.Sub(sim.now)+jitteredInterval(rng, perSecond), next)
}

// tick advances the running tasks, continues cancellations, starts probes and places tasks.
func (o *shardOwner) tick() {
	sim := o.sim
	for _, w := range sim.workers {
		for _, t := range slices.Clone(w.running) {
			o.advance(w, t)
		}
	}
	if o.queue.IsCancelling() {
		removed, running := o.queue.CancelStep(cancellationsPerTick)
		for _, t := range removed {
			delete(o.tasks, t.ID)
		}
		for _, id := range running {
			if t := o.tasks[id]; t != nil && t.worker != "" {
				o.removeFromWorker(t)
				delete(o.tasks, id)
			}
		}
	}
	o.startProbes()
	o.place()
}

// advance runs a task for one placementInterval at its current speed. It starts or ends the task when that is due.
func (o *shardOwner) advance(w *simWorker, t *task) {
	sim := o.sim
	sim.recorder.addHeldProcessorTime(t)
	switch {
	case t.stopping || w.down || sim.now.Before(t.startAt):
		return
	case !t.started:
		t.started = true
		sim.recorder.taskStarted(t, w)
		if t.failsEverywhere || w.failsAll {
			o.taskFailed(w, t)
			return
		}
	}
	speed := 1 / sim.cpuOverload(w)
	if w.throttledWork == t.Work {
		speed *= throttledSpeed
	}
	t.remainingSeconds -= speed * placementInterval.Seconds()
	if t.remainingSeconds > 0 {
		if sim.now.Sub(runStart)%reportInterval == 0 {
			o.reportOutcome(t, w, attribution.ResultRunning)
		}
		return
	}
	o.removeFromWorker(t)
	delete(o.tasks, t.ID)
	sim.recorder.taskFinished(t)
	o.reportOutcome(t, w, attribution.ResultSucceeded)
}

// taskFailed handles a failed attempt. The task is requeued for RetryDelay; placement then avoids the workers that it
// failed on.
func (o *shardOwner) taskFailed(w *simWorker, t *task) {
	sim := o.sim
	o.removeFromWorker(t)
	t.failedOn = append(t.failedOn, w.ID)
	o.requeue(t, ledger.DefaultTiming().RetryDelay)
	o.reportOutcome(t, w, attribution.ResultFailed)
	sim.recorder.startFailed(w)
}

// reportOutcome passes the result of an attempt to attribution and carries out the decisions that follow.
func (o *shardOwner) reportOutcome(t *task, w *simWorker, result attribution.Result) {
	sim := o.sim
	for _, d := range o.attribution.Observe(attribution.Outcome{
		At: sim.now, Job: t.Job, RanFor: sim.now.Sub(t.startAt), Result: result, Task: t.ID, Work: t.Work, Worker: w.ID,
	}) {
		switch d.Kind {
		case attribution.KindQuarantine:
			sim.recorder.workerQuarantined(sim.workerByID[d.Worker])
		case attribution.KindPark:
			o.parked[d.Job] = true
			o.cancelJob(d.Job)
		}
	}
}

func (o *shardOwner) cancelJob(id string) {
	o.cancelled[id] = true
	o.queue.CancelJob(id)
	for _, w := range o.sim.workers {
		for _, t := range slices.Clone(w.running) {
			if t.Job == id {
				o.removeFromWorker(t)
				delete(o.tasks, t.ID)
			}
		}
	}
}

// requeue returns a task to the queue, from which it is not taken before hold has passed. Tasks of cancelled jobs are
// dropped.
func (o *shardOwner) requeue(t *task, hold time.Duration) {
	t.started, t.stopping, t.worker, t.isProbe = false, false, "", false
	if o.cancelled[t.Job] {
		delete(o.tasks, t.ID)
		return
	}
	t.NotBefore = o.sim.now.Add(hold)
	if err := o.queue.Add(t.Task); err != nil {
		delete(o.tasks, t.ID)
	}
}

func (o *shardOwner) removeFromWorker(t *task) {
	w := o.sim.workerByID[t.worker]
	w.running = slices.DeleteFunc(w.running, func(r *task) bool { return r == t })
	o.mitigation.recordRunningSet(w)
}

// evict checkpoints and stops a task, requeues it with its remaining run time, and calls onStopped.
func (o *shardOwner) evict(t *task, onStopped func()) {
	sim := o.sim
	if t.stopping {
		return
	}
	t.stopping = true
	sim.recorder.taskEvicted()
	sim.after(stopDelay, func() {
		if t.stopping && o.tasks[t.ID] == t {
			o.removeFromWorker(t)
			o.requeue(t, 0)
		}
		if onStopped != nil {
			onStopped()
		}
	})
}

func (o *shardOwner) view() placement.View {
	var out []placement.Worker
	for _, w := range o.sim.workers {
		pw := placement.Worker{
			ClosedToBatch: o.mitigation.isClosedToBatch(w.ID), Host: w.Host,
			Quarantined: o.attribution.IsQuarantined(w.ID), Suspect: o.attribution.IsSuspect(w.ID),
		}
		for _, h := range o.replicas[w.ID] {
			pw.Reserved = pw.Reserved.Add(h.Resources)
			pw.Tasks = append(pw.Tasks, h)
		}
		for _, t := range w.running {
			pw.Reserved = pw.Reserved.Add(t.Resources)
			pw.Tasks = append(pw.Tasks, placement.PlacedTask{Task: placementTask(t), UnsavedRunTime: o.lostProgress(t)})
		}
		out = append(out, pw)
	}
	return placement.NewView(out...)
}

// lostProgress returns the run time since the last checkpoint, which the task would lose without a new one.
func (o *shardOwner) lostProgress(t *task) time.Duration {
	ran := o.sim.now.Sub(t.startAt)
	if every := t.work.CheckpointInterval.Duration / runTimeDivisor; every > 0 {
		return ran % every
	}
	return max(0, ran)
}

func placementTask(t *task) placement.Task {
	return placement.Task{
		BeyondRate: t.BeyondRate, FailedOn: t.failedOn, ID: t.ID, Kind: note.KindBatch, Priority: t.Priority, Resources: t.Resources, Team: t.Team,
		Work: t.Work, Zone: zone,
	}
}

// place starts the queued tasks that fit on a worker, in queue order, as the shard owner does. Victims of urgent tasks
// are evicted first.
func (o *shardOwner) place() {
	sim := o.sim
	batch := o.queue.Take(sim.now, placementsPerPass)
	if len(batch) == 0 {
		return
	}
	v := o.view()
	for _, q := range batch {
		t := o.tasks[q.ID]
		t.BeyondRate = q.BeyondRate
		d, err := o.placer.Place(v, placementTask(t))
		if errors.Is(err, placement.ErrNeverFits) {
			if p, parked := o.attribution.RecordNeverFits(t.Job, "", sim.now); parked {
				o.parked[p.Job] = true
				o.queue.CancelJob(p.Job)
			}
		}
		if err != nil {
			o.queue.PutBack(sim.now, q)
			continue
		}
		next, ok := o.placer.Reserve(v, placementTask(t), d)
		if !ok {
			o.queue.PutBack(sim.now, q)
			continue
		}
		v = next
		delay := startDelay
		for _, id := range d.Victims {
			o.evict(o.tasks[id], nil)
			o.budget.Take(sim.now, 1)
			delay = startDelay + stopDelay
		}
		o.queue.Started(sim.now, q.ID)
		o.startOn(t, sim.workerByID[d.Worker], delay)
	}
}

func (o *shardOwner) startOn(t *task, w *simWorker, delay time.Duration) {
	t.worker, t.placedAt, t.startAt = w.ID, o.sim.now, o.sim.now.Add(delay)
	w.running = append(w.running, t)
	o.mitigation.recordRunningSet(w)
}

// startProbes starts one suitable queued task that is not urgent on each quarantined worker that is due for a probe.
func (o *shardOwner) startProbes() {
	sim := o.sim
	for _, w := range sim.workers {
		if !o.attribution.IsQuarantined(w.ID) || w.down || !o.attribution.MayProbe(w.ID, sim.now) {
			continue
		}
		batch := o.queue.Take(sim.now, placementsPerPass)
		found := false
		for _, q := range batch {
			t := o.tasks[q.ID]
			vw, _ := o.view().Worker(w.ID)
			if found || t.Priority >= placement.UrgentPriority || !t.Resources.FitsIn(vw.Free()) || !o.attribution.IsGoodProbe(t.Job, t.Work) {
				o.queue.PutBack(sim.now, q)
				continue
			}
			found, t.isProbe = true, true
			o.queue.Started(sim.now, q.ID)
			o.attribution.ProbeStarted(w.ID, sim.now)
			o.startOn(t, w, startDelay)
		}
	}
}

// jitteredInterval returns a random interval between 0.9 and 1.1 times the mean interval of a rate.
func jitteredInterval(rng *rand.Rand, perSecond float64) time.Duration {
	return time.Duration((0.9 + 0.2*rng.Float64()) / perSecond * float64(time.Second))
}

func numberedID(work string, n int) string { return fmt.Sprintf("%s-%d", work, n) }

// taskCount returns the number of tasks in a job of a batch work.
func taskCount(k note.Work) int {
	if k.Priority >= placement.UrgentPriority {
		return 1
	}
	return tasksPerJob
}
