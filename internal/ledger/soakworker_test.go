package ledger_test

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/laburnumridge/laburnumridge/internal/fleet"
	"github.com/laburnumridge/laburnumridge/internal/ledger"
)

const workerLease = 5 * time.Second

type token struct {
	boot string
	at   time.Duration
}

// attempt is a task on a worker; its progress is in seconds of work.
type attempt struct {
	checkpoint int64
	job        ledger.Job
	leaseEnd   time.Duration
	number     int
	progress   float64
}

// simWorker follows section 5 of the design by its own drifting clock.
type simWorker struct {
	boot     int
	capable  bool
	cutUntil map[string]time.Time // cutUntil holds by host when a link fault ends.
	down     bool
	ends     map[string]ledger.TaskReport
	epoch    int64
	id       string
	last     map[string]int
	listed   bool
	mute     map[string]bool // mute lists the hosts that its responses don't reach.
	rate     float64
	running  map[string]*attempt
	s        *sim
	tokens   map[string]token
	unlistAt time.Time
}

func (w *simWorker) bootID() string { return fmt.Sprintf("%s-%d", w.id, w.boot) }

func (w *simWorker) isCut(host string) bool { return w.s.now.Before(w.cutUntil[host]) }

func (w *simWorker) clock() time.Duration { return time.Duration(w.rate * float64(w.s.now.Sub(t0))) }

func (w *simWorker) restart() {
	w.boot++
	w.epoch = 0
	if w.id == "w1" && w.s.r.IntN(2) == 0 {
		w.capable = !w.capable
	}
	w.ends, w.last, w.running = map[string]ledger.TaskReport{}, map[string]int{}, map[string]*attempt{}
}

// accepts checks the epoch of a message and, if it needs one, its token.
func (w *simWorker) accepts(epoch int64, text string, needsToken bool) bool {
	if w.capable && epoch < w.epoch {
		w.s.count["refused epoch"]++
		return false
	}
	t := w.tokens[text]
	if needsToken && (t.boot != w.bootID() || w.clock()-t.at >= workerLease) {
		w.s.count["refused token"]++
		return false
	}
	if w.capable {
		w.epoch = epoch
	}
	return true
}

func (w *simWorker) contact(c ledger.Contact) (ledger.WorkerReport, bool) {
	if !w.accepts(c.Epoch, c.Token, !c.Fence) {
		return ledger.WorkerReport{}, false
	}
	if !c.Fence {
		for _, a := range w.running {
			a.leaseEnd = w.clock() + workerLease
		}
		for _, end := range c.Acks {
			if w.ends[end.Task].Attempt == end.Attempt {
				delete(w.ends, end.Task)
			}
		}
	}
	text := fmt.Sprint(w.bootID(), "@", w.clock())
	w.tokens[text] = token{w.bootID(), w.clock()}
	r := ledger.WorkerReport{
		BootID: w.bootID(), Capacity: size(4), Epoch: w.epoch, EpochCapable: w.capable, Token: text, Worker: w.id,
	}
	for _, id := range slices.Sorted(maps.Keys(w.running)) {
		a := w.running[id]
		r.Tasks = append(r.Tasks, report(id, a.number, ledger.PhaseRunning, a.checkpoint))
	}
	for _, id := range slices.Sorted(maps.Keys(w.ends)) {
		r.Tasks = append(r.Tasks, w.ends[id])
	}
	return r, true
}

// start returns whether the attempt runs and the last attempt that the worker knows of.
func (w *simWorker) start(m ledger.Start) (ok bool, last int, answered bool) {
	if !w.accepts(m.Epoch, m.Token, true) {
		return false, 0, false
	}
	if a := w.running[m.Task]; a != nil && a.number == m.Attempt {
		return true, m.Attempt, true
	}
	if w.last[m.Task] >= m.Attempt {
		w.s.count["refused attempt"]++
		return false, w.last[m.Task], true
	}
	if w.s.faulty() && w.s.r.IntN(20) == 0 {
		return false, w.last[m.Task], true
	}
	w.s.checkStart(w, m)
	delete(w.ends, m.Task)
	w.last[m.Task] = m.Attempt
	w.running[m.Task] = &attempt{
		checkpoint: m.Checkpoint, job: m.Job, leaseEnd: w.clock() + workerLease, number: m.Attempt,
		progress: float64(m.Checkpoint),
	}
	return true, m.Attempt, true
}

func (w *simWorker) stop(m ledger.Stop) (ledger.TaskReport, bool) {
	if !w.accepts(m.Epoch, "", false) {
		return ledger.TaskReport{}, false
	}
	if a := w.running[m.Task]; a != nil && a.number <= m.Attempt {
		a.checkpoint = int64(a.progress)
		w.end(m.Task, ledger.PhaseStopped)
	}
	w.last[m.Task] = max(w.last[m.Task], m.Attempt)
	if end, ok := w.ends[m.Task]; ok {
		return end, true
	}
	return report(m.Task, m.Attempt, ledger.PhaseStopped, 0), w.running[m.Task] == nil
}

func (w *simWorker) end(task string, phase ledger.Phase) {
	a := w.running[task]
	delete(w.running, task)
	w.ends[task] = report(task, a.number, phase, a.checkpoint)
	w.s.ends[w.s.binding(w, task)] = a.checkpoint
}

// expire stops tasks whose lease ended by the worker's clock.
func (w *simWorker) expire() {
	for _, id := range slices.Sorted(maps.Keys(w.running)) {
		if w.clock() >= w.running[id].leaseEnd {
			w.s.count["expired"]++
			w.end(id, ledger.PhaseExpired)
		}
	}
}

func (w *simWorker) work(d time.Duration) {
	for _, id := range slices.Sorted(maps.Keys(w.running)) {
		a := w.running[id]
		a.progress += d.Seconds()
		a.checkpoint = max(a.checkpoint, int64(a.progress))
		w.s.reached[id] = max(w.s.reached[id], a.checkpoint)
		switch {
		case a.job.IsLatencyCritical():
		case a.progress >= a.job.RunTime.Seconds():
			w.end(id, ledger.PhaseDone)
		case w.s.faulty() && w.s.r.IntN(600) == 0:
			w.end(id, ledger.PhaseFailed)
		}
	}
}

func (w *simWorker) load() fleet.Resources {
	var sum fleet.Resources
	for _, a := range w.running {
		sum = sum.Add(a.job.Resources)
	}
	return sum
}
