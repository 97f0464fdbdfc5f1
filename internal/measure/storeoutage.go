package measure

import (
	"errors"
	"time"

	"github.com/laburnumridge/laburnumridge/internal/fleet"
	"github.com/laburnumridge/laburnumridge/internal/job"
	"github.com/laburnumridge/laburnumridge/internal/ledger"
	"github.com/laburnumridge/laburnumridge/internal/note"
	"github.com/laburnumridge/laburnumridge/internal/placement"
)

const (
	outageStart       = 3 * time.Minute
	outageEnd         = 5 * time.Minute
	ownerTickInterval = 100 * time.Millisecond
	// commitDelay is the time of a round trip to the store, and commitTimeout the deadline of a write.
	commitDelay   = 5 * time.Millisecond
	commitTimeout = time.Second
	// maxBoundAhead is how many tasks without room are bound in a pass, as on the entry host.
	maxBoundAhead = 256
	// evictRestartDelay is how long an evicted task can't restart on its worker, as on the entry host.
	evictRestartDelay = 5 * time.Second
	// lastUrgentLead is how long before the outage the last urgent job is accepted.
	lastUrgentLead = 1500 * time.Millisecond
	// trialKeepBindings places tasks only on the workers that they are bound to once a commit has failed. The entry host
	// may propose another worker instead, and the task does not start while that proposal waits for the store.
	trialKeepBindings = "hold_bindings"
)

// storeOutageScenario lets every commit fail from outageStart to the end of the run. Tasks that are bound by then can
// still start on their workers.
func storeOutageScenario() scenario {
	return scenario{
		about:        "the store commits nothing from 3 to 5 min; batch tasks through the real ledger; no services",
		aims:         outageAims,
		decidingName: "tasks finished in the outage / before", higherIsBetter: true, decidingFigure: outageThroughputRatio, length: outageEnd,
		name: "store-outage", customRun: runOutage, policies: []string{Ours, "first_fit", "least_loaded", trialKeepBindings},
	}
}

// outageThroughputRatio returns the rate of finished tasks during the outage divided by the rate before.
func outageThroughputRatio(f Figures) float64 {
	var before, during float64
	for _, k := range f.Works {
		before, during = before+k.RateBefore, during+k.RateDuring
	}
	return during / max(before, 1e-9)
}

func outageAims(r *Report) []Aim { return []Aim{r.urgentAim()} }

// ledgerOwner is the stand-in of a shard owner around the real ledger and job queue. It binds tasks by the same rules as
// the entry host.
type ledgerOwner struct {
	*simulation
	startAllowedOn   map[string]string   // the worker on which a task has room and may start, by task
	latestAttempts   map[string]*attempt // by task
	lastCommitFailed bool
	ledger           *ledger.Owner
	queue            *job.Queue
	queued           map[string]bool      // by task; added to the queue and not yet placed
	unstartedUrgent  map[string]time.Time // submission times of recall tasks that have not started, by task
	takenTasks       map[string]job.Task  // taken from the queue in the last pass and not placed
	lastToken        int
}

// attempt is an attempt of a task on a simulated worker.
type attempt struct {
	endsAt time.Time
	number int
	phase  ledger.Phase
	worker string
}

func runOutage(u user, v variant, seed uint64) Figures {
	s := &ledgerOwner{
		startAllowedOn: map[string]string{}, latestAttempts: map[string]*attempt{}, queue: job.NewQueue(job.WithKeptRate(v.keptRate)),
		queued: map[string]bool{}, unstartedUrgent: map[string]time.Time{}, takenTasks: map[string]job.Task{},
		simulation: newSimulation(u, v, seed, outageEnd),
	}
	s.recorder.disturbanceStart = runStart.Add(outageStart)
	s.ledger = ledger.NewOwner(ledger.State{}, "entry", 1, s.now, ledger.WithViolationHandler(func(name, detail string) {
		panic(name + ": " + detail)
	}))
	s.submitJob = s.acceptJob
	// A backlog keeps the fleet full, so that some tasks without room are already bound when the outage begins.
	for range 4 * len(s.workers) {
		s.acceptJob(archive, nil)
		s.acceptJob(forecast, nil)
	}
	submitUsualBatchWork(s.simulation)
	s.after(outageStart-lastUrgentLead, func() { s.acceptJob(recall, nil) })
	s.every(ownerTickInterval, s.tick)
	s.every(placementInterval, s.place)
	s.runUntil(s.end)
	for _, submitted := range s.unstartedUrgent {
		s.recordUrgentStart(submitted)
	}
	return s.recorder.result()
}

func (s *ledgerOwner) storeIsDown() bool { return !s.now.Before(runStart.Add(outageStart)) }

// acceptJob records a job in the ledger. Jobs submitted during the outage are refused, since acceptance needs the store.
func (s *ledgerOwner) acceptJob(work string, _ func(*task)) {
	if s.storeIsDown() {
		return
	}
	k := s.workByName[work]
	s.owner.lastJobNumber++
	id := numberedID(work, s.owner.lastJobNumber)
	s.ledger.Accept(ledger.Job{
		ID: id, Kind: note.KindBatch, Priority: k.Priority, Resources: k.Resources, RunTime: k.RunTime,
		SubmittedAt: s.now.UnixMilli(), Tasks: taskCount(k), Team: k.Team, Work: work,
	})
}

// recordUrgentStart records that a recall task, submitted at the given time, starts now or still waits at the end.
func (s *ledgerOwner) recordUrgentStart(submitted time.Time) {
	k := s.recorder.works[recall]
	k.UrgentStart = max(k.UrgentStart, s.now.Sub(submitted).Seconds())
}

// tick carries out the ledger's actions. Workers answer heartbeats and start requests without delay.
func (s *ledgerOwner) tick() {
	if !s.storeIsDown() {
		s.ledger.LeaseRenewed(s.now)
	}
	hosts := make([]fleet.Host, 0, len(s.workers))
	for _, w := range s.workers {
		hosts = append(hosts, w.Host)
	}
	s.ledger.UpdateHosts(s.now, hosts)
	actions := s.ledger.Tick(s.now)
	for _, c := range actions.Contacts {
		s.ledger.Reported(s.now, c, s.report(s.workerByID[c.Worker], c))
	}
	for _, st := range actions.Starts {
		s.startTask(st)
	}
	for _, st := range actions.Stops {
		s.after(stopDelay, func() { s.stopTask(st) })
	}
	if actions.Commit == nil {
		return
	}
	if s.storeIsDown() {
		s.lastCommitFailed = true
		s.after(commitTimeout, s.ledger.NotCommitted)
		return
	}
	s.after(commitDelay, func() { s.ledger.Committed(s.now) })
}

func (s *ledgerOwner) startTask(st ledger.Start) {
	s.latestAttempts[st.Task] = &attempt{
		endsAt: s.now.Add(st.Job.RunTime.Duration), number: st.Attempt, phase: ledger.PhaseRunning, worker: st.Worker,
	}
	s.ledger.Started(s.now, st)
	if submitted := time.UnixMilli(st.Job.SubmittedAt); st.Job.Work == recall {
		if _, waits := s.unstartedUrgent[st.Task]; waits {
			s.recordUrgentStart(submitted)
			delete(s.unstartedUrgent, st.Task)
		}
	}
	delete(s.startAllowedOn, st.Task)
}

func (s *ledgerOwner) stopTask(st ledger.Stop) {
	last := s.latestAttempts[st.Task]
	if last == nil || last.number > st.Attempt {
		return
	}
	last.phase = ledger.PhaseStopped
	s.recorder.taskEvicted()
	s.ledger.Stopped(s.now, st, ledger.TaskReport{Attempt: last.number, Phase: last.phase, Task: st.Task})
}

// report answers a heartbeat with the running attempts of a worker and the ended ones that are not acknowledged yet. It
// also ends the attempts whose run time is over.
func (s *ledgerOwner) report(w *simWorker, c ledger.Contact) ledger.WorkerReport {
	for _, e := range c.Acks {
		if last := s.latestAttempts[e.Task]; last != nil && last.number == e.Attempt && last.worker == w.ID {
			delete(s.latestAttempts, e.Task)
		}
	}
	s.lastToken++
	out := ledger.WorkerReport{
		BootID: "boot-" + w.ID, Capacity: w.Capacity, Epoch: c.Epoch, EpochCapable: true, Token: numberedID("token", s.lastToken), Worker: w.ID,
	}
	for id, last := range s.latestAttempts {
		if last.worker != w.ID {
			continue
		}
		if last.phase == ledger.PhaseRunning && !s.now.Before(last.endsAt) {
			last.phase = ledger.PhaseDone
			if t, ok := s.ledger.State().Task(id); ok {
				record, _ := s.ledger.State().Job(t.Job)
				s.recorder.countDone(record.Job.Work)
			}
		}
		out.Tasks = append(out.Tasks, ledger.TaskReport{Attempt: last.number, Phase: last.phase, Task: id})
	}
	return out
}

// place binds waiting tasks to workers in queue order, as the entry host does.
func (s *ledgerOwner) place() {
	candidates := s.ledger.Bindable(s.now)
	waiting := map[string]ledger.Candidate{}
	for _, t := range s.takenTasks {
		s.queue.PutBack(s.now, t)
	}
	clear(s.takenTasks)
	for _, c := range candidates {
		if c.Worker != "" && s.startAllowedOn[c.Task] == c.Worker {
			continue
		}
		waiting[c.Task] = c
		if c.Job.Work == recall && s.latestAttempts[c.Task] == nil {
			s.unstartedUrgent[c.Task] = time.UnixMilli(c.Job.SubmittedAt)
		}
		if !s.queued[c.Task] && s.queue.Add(job.Task{
			ID: c.Task, Job: c.Job.ID, Priority: c.Job.Priority, Resources: c.Job.Resources,
			Submitted: time.UnixMilli(c.Job.SubmittedAt), Team: c.Job.Team, Work: c.Job.Work,
		}) == nil {
			s.queued[c.Task] = true
		}
	}
	v := s.placementView(candidates)
	boundAhead := 0
	for _, q := range s.queue.Take(s.now, placementsPerPass) {
		c, ok := waiting[q.ID]
		if !ok {
			s.removeFromQueue(q.ID)
			continue
		}
		s.takenTasks[q.ID] = q
		v, boundAhead = s.placeOne(v, c, q, boundAhead)
	}
}

// removeFromQueue removes a task that was placed or that no longer waits.
func (s *ledgerOwner) removeFromQueue(id string) {
	s.queue.Started(s.now, id)
	delete(s.takenTasks, id)
	delete(s.queued, id)
}

// placeOne places one task. If no worker has room it binds the task ahead, up to maxBoundAhead tasks in a pass. It
// returns the updated view and the updated number of tasks bound ahead.
func (s *ledgerOwner) placeOne(v placement.View, c ledger.Candidate, q job.Task, boundAhead int) (placement.View, int) {
	t := placement.Task{
		BeyondRate: q.BeyondRate, ID: c.Task, Kind: note.KindBatch, Priority: c.Job.Priority, Resources: c.Job.Resources,
		Team: c.Job.Team, Work: c.Job.Work, Zone: zone,
	}
	from := v
	if s.lastCommitFailed && s.variant.trial == trialKeepBindings {
		if c.Worker == "" {
			return v, boundAhead
		}
		b, ok := v.Worker(c.Worker)
		if !ok {
			return v, boundAhead
		}
		from = placement.NewView(*b)
	}
	d, err := s.owner.placer.Place(from, t)
	if err == nil {
		for _, victim := range d.Victims {
			if s.ledger.Evict(s.now, victim, evictRestartDelay) == nil {
				s.owner.budget.Take(s.now, 1)
				v = v.WithoutTask(d.Worker, victim)
			}
		}
		next, ok := s.owner.placer.Reserve(v, t, d)
		if !ok || c.Worker != d.Worker && s.ledger.Bind(c.Task, d.Worker) != nil {
			return v, boundAhead
		}
		s.startAllowedOn[c.Task] = d.Worker
		s.removeFromQueue(c.Task)
		return next, boundAhead
	}
	delete(s.startAllowedOn, c.Task)
	if errors.Is(err, placement.ErrNoRoom) && boundAhead < maxBoundAhead {
		boundAhead++
		s.bindToLeastLoaded(c)
	}
	return v, boundAhead
}

// bindToLeastLoaded binds an unbound task without room to the worker with the lowest reserved fraction, so that the
// task can start there without the store once room is free.
func (s *ledgerOwner) bindToLeastLoaded(c ledger.Candidate) {
	if c.Worker != "" {
		return
	}
	leastLoaded, leastLoad := "", 0.0
	reserved := s.ledger.Reservations()
	for _, w := range s.workers {
		if load := reserved[w.ID].Total().DominantShare(w.Capacity); leastLoaded == "" || load < leastLoad {
			leastLoaded, leastLoad = w.ID, load
		}
	}
	_ = s.ledger.Bind(c.Task, leastLoaded) // on an error the task stays unbound until the next pass
}

// placementView returns the workers with their running tasks and with the tasks that are allowed to start.
func (s *ledgerOwner) placementView(candidates []ledger.Candidate) placement.View {
	byID := map[string]*placement.Worker{}
	out := make([]placement.Worker, 0, len(s.workers))
	for _, w := range s.workers {
		byID[w.ID] = &placement.Worker{Host: w.Host}
	}
	hold := func(worker, id string, j ledger.Job) {
		w := byID[worker].WithTask(placement.PlacedTask{Task: placement.Task{
			ID: id, Kind: j.Kind, Priority: j.Priority, Resources: j.Resources, Team: j.Team, Work: j.Work, Zone: zone,
		}})
		byID[worker] = w
	}
	for _, r := range s.ledger.Running() {
		hold(r.Worker, r.Task, r.Job)
	}
	for _, c := range candidates {
		if w := s.startAllowedOn[c.Task]; w != "" {
			hold(w, c.Task, c.Job)
		}
	}
	for id, w := range s.startAllowedOn {
		if j, ok := s.ledger.ProposedJob(id); ok {
			hold(w, id, j)
		}
	}
	for _, w := range s.workers {
		out = append(out, *byID[w.ID])
	}
	return placement.NewView(out...)
}
