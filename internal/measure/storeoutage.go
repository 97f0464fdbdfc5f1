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
	outageFrom = 3 * time.Minute
	outageTo   = 5 * time.Minute
	ownerTick  = 100 * time.Millisecond
	// commitDelay is a round trip to the store, and commitTimeout the deadline of a write.
	commitDelay   = 5 * time.Millisecond
	commitTimeout = time.Second
	boundAhead    = 256
	evictHold     = 5 * time.Second
	// lastUrgent is how long before the outage the last urgent job is accepted.
	lastUrgent = 1500 * time.Millisecond
	// trialHold leaves tasks on the workers that they are bound to once a commit has failed. The entry host
	// proposes other workers, and a task does not start while such a proposal waits for the store.
	trialHold = "hold_bindings"
)

// storeOutage commits nothing for a while; bound tasks go on starting on their workers.
func storeOutage() scenario {
	return scenario{
		about:    "the store commits nothing from 3 to 5 min; batch tasks through the real ledger; no services",
		aims:     outageAims,
		deciding: "tasks finished in the outage / before", better: true, figure: keptInOutage, length: outageTo,
		name: "store-outage", run: runOutage, rows: []string{Ours, "first_fit", "least_loaded", trialHold},
	}
}

// keptInOutage is the part of the rate of finished tasks that goes on in the outage.
func keptInOutage(f Figures) float64 {
	var before, during float64
	for _, k := range f.Kinds {
		before, during = before+k.Before, during+k.During
	}
	return during / max(before, 1e-9)
}

func outageAims(r *Report) []Aim { return []Aim{r.urgentAim()} }

// shard is the stand-in of a shard owner around the real ledger, with the rules of the entry host.
type shard struct {
	*world
	admitted map[string]string
	attempts map[string]*attempt // by task, the last one
	failing  bool                // the last commit failed
	ledger   *ledger.Owner
	queue    *job.Queue
	queued   map[string]bool
	seen     map[string]time.Time // submission of urgent tasks that have not started
	taken    map[string]job.Task
	tokens   int
}

type attempt struct {
	ends   time.Time
	n      int
	phase  ledger.Phase
	worker string
}

func runOutage(u user, v variant, seed uint64) Figures {
	s := &shard{
		admitted: map[string]string{}, attempts: map[string]*attempt{}, queue: job.NewQueue(job.WithKeptRate(v.keptRate)),
		queued: map[string]bool{}, seen: map[string]time.Time{}, taken: map[string]job.Task{},
		world: newWorld(u, v, seed, outageTo),
	}
	s.figures.floodFrom = epoch.Add(outageFrom)
	s.ledger = ledger.NewOwner(ledger.State{}, "entry", 1, s.now, ledger.WithViolated(func(name, detail string) {
		panic(name + ": " + detail)
	}))
	s.submit = s.accept
	// A backlog keeps the fleet full, so that tasks are bound ahead when the outage begins.
	for range 4 * len(s.backends) {
		s.accept(archive, nil)
		s.accept(forecast, nil)
	}
	usualBatch(s.world)
	s.after(outageFrom-lastUrgent, func() { s.accept(recall, nil) })
	s.every(ownerTick, s.tick)
	s.every(placeEvery, s.place)
	s.runUntil(s.end)
	for _, at := range s.seen {
		s.urgent(at)
	}
	return s.figures.result()
}

func (s *shard) isDown() bool { return !s.now.Before(epoch.Add(outageFrom)) }

// accept takes a job in, which needs the store.
func (s *shard) accept(work string, _ func(*task)) {
	if s.isDown() {
		return
	}
	k := s.kinds[work]
	s.owner.jobs++
	id := jobID(work, s.owner.jobs)
	s.ledger.Accept(ledger.Job{
		ID: id, Kind: note.KindBatch, Priority: k.Priority, Resources: k.Resources, RunTime: k.RunTime,
		SubmittedAt: s.now.UnixMilli(), Tasks: jobSize(k), Team: k.Team, Work: work,
	})
}

func (s *shard) urgent(at time.Time) {
	k := s.figures.kinds[recall]
	k.Urgent = max(k.Urgent, s.now.Sub(at).Seconds())
}

// tick carries out the actions of the ledger against workers that answer at once.
func (s *shard) tick() {
	if !s.isDown() {
		s.ledger.LeaseRenewed(s.now)
	}
	hosts := make([]fleet.Host, 0, len(s.backends))
	for _, b := range s.backends {
		hosts = append(hosts, b.Host)
	}
	s.ledger.HostList(s.now, hosts)
	a := s.ledger.Tick(s.now)
	for _, c := range a.Contacts {
		s.ledger.Reported(s.now, c, s.report(s.byID[c.Worker], c))
	}
	for _, st := range a.Starts {
		s.start(st)
	}
	for _, st := range a.Stops {
		s.after(stopDelay, func() { s.stop(st) })
	}
	if a.Commit == nil {
		return
	}
	if s.isDown() {
		s.failing = true
		s.after(commitTimeout, s.ledger.NotCommitted)
		return
	}
	s.after(commitDelay, func() { s.ledger.Committed(s.now) })
}

func (s *shard) start(st ledger.Start) {
	s.attempts[st.Task] = &attempt{
		ends: s.now.Add(st.Job.RunTime.Duration), n: st.Attempt, phase: ledger.PhaseRunning, worker: st.Worker,
	}
	s.ledger.Started(s.now, st)
	if submitted := time.UnixMilli(st.Job.SubmittedAt); st.Job.Work == recall {
		if _, waits := s.seen[st.Task]; waits {
			s.urgent(submitted)
			delete(s.seen, st.Task)
		}
	}
	delete(s.admitted, st.Task)
}

func (s *shard) stop(st ledger.Stop) {
	at := s.attempts[st.Task]
	if at == nil || at.n > st.Attempt {
		return
	}
	at.phase = ledger.PhaseStopped
	s.figures.evicted()
	s.ledger.Stopped(s.now, st, ledger.TaskReport{Attempt: at.n, Phase: at.phase, Task: st.Task})
}

// report answers a heartbeat with what runs on a worker and the ends that are not acknowledged.
func (s *shard) report(b *backend, c ledger.Contact) ledger.WorkerReport {
	for _, e := range c.Acks {
		if at := s.attempts[e.Task]; at != nil && at.n == e.Attempt && at.worker == b.ID {
			delete(s.attempts, e.Task)
		}
	}
	s.tokens++
	out := ledger.WorkerReport{
		BootID: "boot-" + b.ID, Capacity: b.Capacity, Epoch: c.Epoch, EpochCapable: true, Token: jobID("token", s.tokens), Worker: b.ID,
	}
	for id, at := range s.attempts {
		if at.worker != b.ID {
			continue
		}
		if at.phase == ledger.PhaseRunning && !s.now.Before(at.ends) {
			at.phase = ledger.PhaseDone
			if t, ok := s.ledger.State().Task(id); ok {
				rec, _ := s.ledger.State().Job(t.Job)
				s.figures.count(rec.Job.Work)
			}
		}
		out.Tasks = append(out.Tasks, ledger.TaskReport{Attempt: at.n, Phase: at.phase, Task: id})
	}
	return out
}

// place binds the tasks that wait as the entry host does.
func (s *shard) place() {
	candidates := s.ledger.Unbound(s.now)
	waiting := map[string]ledger.Candidate{}
	for _, t := range s.taken {
		s.queue.PutBack(s.now, t)
	}
	clear(s.taken)
	for _, c := range candidates {
		if c.Worker != "" && s.admitted[c.Task] == c.Worker {
			continue
		}
		waiting[c.Task] = c
		if c.Job.Work == recall && s.attempts[c.Task] == nil {
			s.seen[c.Task] = time.UnixMilli(c.Job.SubmittedAt)
		}
		if !s.queued[c.Task] && s.queue.Add(job.Task{
			ID: c.Task, Job: c.Job.ID, Priority: c.Job.Priority, Resources: c.Job.Resources,
			Submitted: time.UnixMilli(c.Job.SubmittedAt), Team: c.Job.Team, Work: c.Job.Work,
		}) == nil {
			s.queued[c.Task] = true
		}
	}
	v := s.ledgerView(candidates)
	ahead := 0
	for _, q := range s.queue.Batch(s.now, placePerPass) {
		c, ok := waiting[q.ID]
		if !ok {
			s.drop(q.ID)
			continue
		}
		s.taken[q.ID] = q
		v, ahead = s.placeOne(v, c, q, ahead)
	}
}

func (s *shard) drop(id string) {
	s.queue.Started(s.now, id)
	delete(s.taken, id)
	delete(s.queued, id)
}

func (s *shard) placeOne(v placement.View, c ledger.Candidate, q job.Task, ahead int) (placement.View, int) {
	t := placement.Task{
		BeyondRate: q.BeyondRate, ID: c.Task, Kind: note.KindBatch, Priority: c.Job.Priority, Resources: c.Job.Resources,
		Team: c.Job.Team, Work: c.Job.Work, Zone: zone,
	}
	from := v
	if s.failing && s.variant.trial == trialHold {
		if c.Worker == "" {
			return v, ahead
		}
		b, ok := v.Worker(c.Worker)
		if !ok {
			return v, ahead
		}
		from = placement.NewView(*b)
	}
	d, err := s.owner.placer.Place(from, t)
	if err == nil {
		for _, victim := range d.Victims {
			if s.ledger.Evict(s.now, victim, evictHold) == nil {
				s.owner.budget.Take(s.now, 1)
				v = v.WithEnded(d.Worker, victim)
			}
		}
		next, ok := s.owner.placer.Reserve(v, t, d)
		if !ok || c.Worker != d.Worker && s.ledger.Bind(c.Task, d.Worker) != nil {
			return v, ahead
		}
		s.admitted[c.Task] = d.Worker
		s.drop(c.Task)
		return next, ahead
	}
	delete(s.admitted, c.Task)
	if errors.Is(err, placement.ErrNoRoom) && ahead < boundAhead {
		ahead++
		s.bindAhead(c)
	}
	return v, ahead
}

func (s *shard) bindAhead(c ledger.Candidate) {
	if c.Worker != "" {
		return
	}
	best, least := "", 0.0
	reserved := s.ledger.Reservations()
	for _, b := range s.backends {
		if load := reserved[b.ID].Total().Fraction(b.Capacity); best == "" || load < least {
			best, least = b.ID, load
		}
	}
	_ = s.ledger.Bind(c.Task, best) // a task that is not bound waits for the next pass
}

func (s *shard) ledgerView(candidates []ledger.Candidate) placement.View {
	byID := map[string]*placement.Worker{}
	out := make([]placement.Worker, 0, len(s.backends))
	for _, b := range s.backends {
		byID[b.ID] = &placement.Worker{Host: b.Host}
	}
	hold := func(worker, id string, j ledger.Job) {
		w := byID[worker].WithTask(placement.Held{Task: placement.Task{
			ID: id, Kind: j.Kind, Priority: j.Priority, Resources: j.Resources, Team: j.Team, Work: j.Work, Zone: zone,
		}})
		byID[worker] = w
	}
	for _, r := range s.ledger.Running() {
		hold(r.Worker, r.Task, r.Job)
	}
	for _, c := range candidates {
		if w := s.admitted[c.Task]; w != "" {
			hold(w, c.Task, c.Job)
		}
	}
	for id, w := range s.admitted {
		if j, ok := s.ledger.ProposedJob(id); ok {
			hold(w, id, j)
		}
	}
	for _, b := range s.backends {
		out = append(out, *byID[b.ID])
	}
	return placement.NewView(out...)
}
