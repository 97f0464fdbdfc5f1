package ledger_test

import (
	"container/heap"
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/laburnumridge/laburnumridge/internal/ledger"
	"github.com/laburnumridge/laburnumridge/internal/note"
)

var (
	seedFlag = flag.Uint64("seed", 0, "run only this seed of the soak test")
	soakFlag = flag.Duration("soak", 0, "run new seeds of the soak test for this long")
)

const (
	simAutonomy = 60 * time.Second
	simFaults   = 240 * time.Second
	simEnd      = 800 * time.Second
	simTick     = 100 * time.Millisecond
)

type simEvent struct {
	at  time.Time
	do  func()
	seq int
}

type simQueue []simEvent

func (q simQueue) Len() int { return len(q) }
func (q simQueue) Less(i, j int) bool {
	return q[i].at.Before(q[j].at) || q[i].at.Equal(q[j].at) && q[i].seq < q[j].seq
}
func (q simQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *simQueue) Push(e any)   { *q = append(*q, e.(simEvent)) }
func (q *simQueue) Pop() any {
	e := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return e
}

type simJob struct {
	ledger.Job
	at       time.Time
	withdraw bool
}

// sim is one run in virtual time; the seed decides all of it.
type sim struct {
	// calm runs have few faults but long ones, so that owners reach the ends of leases and of autonomy.
	calm  bool
	binds map[string]int // binds counts the bindings of each task.
	count map[string]int
	// ends holds the checkpoints of attempts that ended under a binding and boot.
	ends    map[string]int64
	failure string
	hosts   []*simHost
	jobs    []simJob
	now     time.Time
	queue   simQueue
	r       *rand.Rand
	reached map[string]int64
	seq     int
	store   *simStore
	workers []*simWorker
}

func newSim(seed uint64) *sim {
	s := &sim{
		calm:  seed%2 == 0,
		binds: map[string]int{}, count: map[string]int{}, ends: map[string]int64{}, now: t0, r: rand.New(rand.NewPCG(seed, 2)),
		reached: map[string]int64{},
	}
	s.store = &simStore{live: map[string]time.Time{}, s: s}
	for i := range 3 {
		s.hosts = append(s.hosts, &simHost{id: fmt.Sprint("h", i), rate: 0.99 + 0.02*s.r.Float64(), s: s})
	}
	for i := range 5 {
		w := &simWorker{
			capable: i > 1, cutUntil: map[string]time.Time{}, id: fmt.Sprint("w", i), listed: true, mute: map[string]bool{},
			rate: 0.92 + 0.08*float64(s.r.IntN(3)), s: s, tokens: map[string]token{},
		}
		w.restart()
		s.workers = append(s.workers, w)
	}
	for i := range 48 {
		j := simJob{Job: batch(fmt.Sprint("job", i), 1+s.r.Int64N(3), 1+s.r.IntN(2)), withdraw: i%6 == 5}
		j.RunTime = note.Duration{Duration: 2*time.Second + s.upTo(15*time.Second)}
		j.Priority = s.r.IntN(3)
		j.at = t0.Add(s.upTo(simFaults))
		if i%16 == 0 {
			j.Kind, j.Resources = note.KindService, size(1)
		}
		s.jobs = append(s.jobs, j)
	}
	return s
}

func (s *sim) after(d time.Duration, do func()) { s.at(s.now.Add(d), do) }

func (s *sim) at(t time.Time, do func()) {
	s.seq++
	heap.Push(&s.queue, simEvent{t, do, s.seq})
}

// carry delivers a message that is sent at the given time or now, with loss, delay and duplication.
func (s *sim) carry(sentAt time.Time, do func()) {
	wait := max(sentAt.Sub(s.now), 0)
	if s.faulty() && s.r.IntN(25) == 0 {
		return
	}
	s.after(wait+s.delay(), do)
	if s.faulty() && s.r.IntN(20) == 0 {
		s.count["duplicates"]++
		s.after(wait+s.delay(), do)
	}
}

func (s *sim) delay() time.Duration {
	if s.faulty() && s.calm && s.r.IntN(2) == 0 {
		return s.upTo(1500 * time.Millisecond)
	}
	if s.faulty() && s.r.IntN(20) == 0 {
		return s.upTo(6 * time.Second << (3 * s.r.IntN(2)))
	}
	return time.Millisecond + s.upTo(30*time.Millisecond)
}

func (s *sim) fail(name, detail string) {
	if s.failure == "" {
		s.failure = fmt.Sprintf("invariant %s at %s: %s", name, s.now.Sub(t0), detail)
	}
}

func (s *sim) faulty() bool { return s.now.Before(t0.Add(simFaults)) }

func (s *sim) pause(h *simHost) {
	d := s.upTo(25 * time.Second)
	if s.r.IntN(4) == 0 {
		d = s.upTo(2 * simAutonomy)
	}
	s.count["pauses"]++
	h.pausedUntil = s.now.Add(d)
}

// until returns the later of a time and the end of a fault that begins now.
func (s *sim) until(t time.Time, d time.Duration) time.Time {
	if end := s.now.Add(d); end.After(t) {
		return end
	}
	return t
}

func (s *sim) upTo(d time.Duration) time.Duration { return time.Duration(s.r.Int64N(int64(d))) }

func (s *sim) worker(id string) *simWorker { return s.workers[id[1]-'0'] }

func (s *sim) binding(w *simWorker, task string) string {
	return fmt.Sprintf("%s@%s#%d", task, w.bootID(), s.binds[task])
}

func (s *sim) checkEnd(task string) {
	for _, w := range s.workers {
		w.expire()
		if w.running[task] != nil {
			s.fail("end", fmt.Sprintf("%s ended in the log and runs on %s", task, w.id))
		}
	}
}

func (s *sim) checkStart(w *simWorker, m ledger.Start) {
	s.count["starts"]++
	what := fmt.Sprintf("%s attempt %d epoch %d on %s", m.Task, m.Attempt, m.Epoch, w.bootID())
	for _, o := range s.workers {
		o.expire()
		if a := o.running[m.Task]; a != nil {
			s.fail("one place", fmt.Sprintf("%s while attempt %d runs on %s", what, a.number, o.bootID()))
		}
	}
	t, _ := s.store.state.Task(m.Task)
	if t.Phase.IsEnd() {
		s.fail("done once", what+" after its end was recorded")
	} else if t.Worker != w.id {
		s.fail("bind before start", what+" bound to "+t.Worker)
	}
	if m.Checkpoint < max(t.Checkpoint, s.ends[s.binding(w, m.Task)]) || m.Checkpoint > s.reached[m.Task] {
		s.fail("checkpoint", fmt.Sprintf("%s resumes from %d; recorded %d, on the worker %d, reached %d",
			what, m.Checkpoint, t.Checkpoint, s.ends[s.binding(w, m.Task)], s.reached[m.Task]))
	}
	if sum := w.load().Add(m.Job.Resources); !sum.FitsIn(size(4)) {
		s.fail("capacity", fmt.Sprintf("%s: %s", what, sum))
	}
}

// disturb causes one random fault.
func (s *sim) disturb() {
	h, w := s.hosts[s.r.IntN(len(s.hosts))], s.workers[s.r.IntN(len(s.workers))]
	// Faults of the owner matter most.
	for _, o := range s.hosts {
		if o.id == s.store.owner && (s.calm || s.r.IntN(2) == 0) {
			h = o
		}
	}
	kind, wait := s.r.IntN(12), s.upTo(16*time.Second)
	if s.calm {
		kind, wait = []int{4, 8, 8, 8, 10, 10, 11}[s.r.IntN(7)], s.upTo(50*time.Second)
	}
	switch kind {
	case 0:
		s.pause(h)
	case 1:
		h.cutUntil = s.until(h.cutUntil, s.upTo(100*time.Second))
	case 2:
		w.cutUntil[h.id] = s.until(w.cutUntil[h.id], s.upTo(40*time.Second))
	case 3:
		s.store.outage = true
		s.after(s.upTo(20*time.Second), func() { s.store.outage = false })
	case 4:
		s.count["restarts"]++
		w.restart()
	case 5:
		w.down = true
		w.restart()
		s.after(2*time.Second, func() { w.listed = !w.down })
		s.after(s.upTo(40*time.Second), func() { w.down, w.listed = false, true })
	case 6:
		s.count["crashes"]++
		h.crash()
	case 7:
		for _, o := range s.hosts {
			w.cutUntil[o.id] = s.until(w.cutUntil[o.id], s.upTo(40*time.Second))
		}
	case 8, 9:
		s.split(h)
	case 10:
		w.mute[h.id] = true
		s.after(10*time.Second+s.upTo(10*time.Second), func() { w.mute[h.id] = false })
	case 11:
		// A live worker may be missing from the host list for less than two leases.
		w.listed = false
		s.after(s.upTo(9*time.Second), func() { w.listed = !w.down })
	}
	if s.faulty() {
		s.after(wait, s.disturb)
	}
}

// split cuts a host off from the platform, and all other hosts from some workers, so that it may go on there.
func (s *sim) split(h *simHost) {
	d := s.upTo(150 * time.Second)
	if s.calm {
		d += simAutonomy
	}
	h.cutUntil = s.until(h.cutUntil, d)
	for _, w := range s.workers {
		for _, o := range s.hosts {
			if o != h && s.r.IntN(2) == 0 {
				w.cutUntil[o.id] = s.until(w.cutUntil[o.id], d)
			}
		}
	}
}

func (s *sim) every(d time.Duration, do func()) {
	do()
	s.after(d, func() { s.every(d, do) })
}

func (s *sim) isOver() bool {
	if s.faulty() {
		return false
	}
	for _, j := range s.jobs {
		record, ok := s.store.state.Job(j.ID)
		if !ok || record.Open > 0 && !j.IsLatencyCritical() {
			return false
		}
	}
	return true
}

// run returns the number of steps.
func (s *sim) run() int {
	for _, h := range s.hosts {
		s.every(simTick, h.tick)
	}
	s.every(simTick, func() {
		believers := 0
		for _, h := range s.hosts {
			if h.owner != nil && !h.owner.IsDeposed() {
				believers++
			}
		}
		if believers > 1 {
			s.count["ticks with two owners"]++
		}
		for _, w := range s.workers {
			w.expire()
			w.work(simTick)
		}
	})
	s.after(5*time.Second, s.disturb)
	s.at(t0.Add(simFaults), func() {
		for _, h := range s.hosts {
			h.cutUntil, h.pausedUntil = s.now, s.now
		}
		for _, w := range s.workers {
			clear(w.cutUntil)
		}
	})
	steps := 0
	for s.failure == "" && !s.isOver() {
		e := heap.Pop(&s.queue).(simEvent)
		s.now = e.at
		e.do()
		steps++
		if s.now.After(t0.Add(simEnd)) {
			s.fail("every task ends", s.open())
		}
	}
	return steps
}

func (s *sim) open() string {
	text := ""
	for _, t := range s.store.state.Tasks() {
		if j, _ := s.store.state.Job(t.Job); !t.Phase.IsEnd() && !j.Job.IsLatencyCritical() {
			text += fmt.Sprintf("%s %s on %s; ", t.ID, t.Phase, t.Worker)
		}
	}
	return "open: " + text
}

func TestFaultsBreakAnInvariant(t *testing.T) {
	deadline := time.Now().Add(*soakFlag)
	seeds, steps, count := 0, 0, map[string]int{}
	next := uint64(1)
	if *seedFlag != 0 {
		next = *seedFlag
	} else if *soakFlag > 0 {
		next = uint64(time.Now().UnixNano())
	}
	for seed := next; ; seed++ {
		s := newSim(seed)
		steps += s.run()
		seeds++
		for name, n := range s.count {
			count[name] += n
		}
		if s.failure != "" {
			t.Fatalf("%s; repeat with -seed %d", s.failure, seed)
		}
		if *seedFlag != 0 || *soakFlag == 0 && seeds == 20 || *soakFlag > 0 && time.Now().After(deadline) {
			break
		}
	}
	t.Logf("%d seeds from %d, %d steps, %v", seeds, next, steps, count)
}
