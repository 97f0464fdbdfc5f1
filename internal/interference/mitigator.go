package interference

import (
	"maps"
	"slices"
	"time"
)

const (
	// raiseAbove and clearBelow are the slowdowns between which a worker keeps its step. For a service with
	// a latency target the target takes the place of raiseAbove: batch work is not slowed down for a
	// service that is fast enough.
	raiseAbove = 1.5
	clearBelow = 1.2
	// clearTarget is the part of its latency target up to which a service counts as quiet. Services that
	// never run alone have no exact baseline, so their slowdown may stay above clearBelow.
	clearTarget = 0.8
	// raiseAfter is the number of slow samples in a row of one service that lead to a step. With 2, chance
	// alone kept workers throttled for 30% of the time in the steady scenario.
	raiseAfter = 3
	// firstQuiet is the time without slow samples after which a step is undone. It doubles, up to
	// maxQuiet, when the slowdown returns soon after.
	firstQuiet = 30 * time.Second
	maxQuiet   = 10 * time.Minute
	// reissueAfter is when a step that has not been confirmed is decided again.
	reissueAfter = 10 * time.Second
	relapse      = time.Hour
)

// Mitigator decides the mitigation steps of the workers of a shard.
type Mitigator struct {
	budget *Budget
	// workers is bounded by the workers of the shard, since the owner forgets those that left.
	workers map[string]*standing
}

// standing is the mitigation in force on a worker.
type standing struct {
	// effective is when the last step took effect; zero while that is not known.
	effective  time.Time
	issued     time.Time
	last       Decision
	lastSample time.Time
	quiet      time.Duration
	quietSince time.Time
	services   map[string]*recent
	step       Step
	undone     time.Time
	// used is when the latest sample was taken that was judged.
	used time.Time
}

// recent is what the last samples of a service said.
type recent struct {
	slow  int
	taken time.Time
}

// NewMitigator returns a Mitigator that evicts within the budget.
func NewMitigator(budget *Budget) *Mitigator {
	return &Mitigator{budget: budget, workers: map[string]*standing{}}
}

// Decide returns the step that follows from an observation. The caller carries it out and calls
// TookEffect; until then no further step follows.
func (m *Mitigator) Decide(now time.Time, o Observation) Decision {
	if o.Slowdown <= 0 {
		return hold(o.Worker, m.Step(o.Worker), ReasonUnknown)
	}
	w := m.worker(o.Worker)
	if w.effective.IsZero() && w.last.Seq > 0 {
		if now.Sub(w.issued) < reissueAfter {
			return hold(o.Worker, w.step, ReasonPending)
		}
		w.issued = now
		again := w.last
		again.Reason = ReasonUnconfirmed
		return again
	}
	if !o.Began.After(w.effective) {
		return hold(o.Worker, w.step, ReasonStale)
	}
	s, ok := w.services[o.Service]
	if !ok {
		s = &recent{}
		w.services[o.Service] = s
	}
	if !o.Taken.After(s.taken) {
		return hold(o.Worker, w.step, ReasonRepeated)
	}
	s.taken, w.lastSample = o.Taken, now
	if o.Taken.After(w.used) {
		w.used = o.Taken
	}
	return m.judge(now, o, w, s)
}

// Forget drops a worker that left.
func (m *Mitigator) Forget(worker string) { delete(m.workers, worker) }

// Relax undoes one step on each worker that has sent no samples for a long time, such as one that its
// services have left.
func (m *Mitigator) Relax(now time.Time) []Decision {
	var out []Decision
	for _, id := range slices.Sorted(maps.Keys(m.workers)) {
		w := m.workers[id]
		idle := 4 * w.quiet
		if w.step > StepNone && !w.effective.IsZero() && now.Sub(w.lastSample) >= idle && now.Sub(w.issued) >= w.quiet {
			out = append(out, w.undo(now, id, ReasonNoSamples))
		}
	}
	return out
}

// Step returns the step that is in force or under way on a worker.
func (m *Mitigator) Step(worker string) Step {
	if w, ok := m.workers[worker]; ok {
		return w.step
	}
	return StepNone
}

// TookEffect records when the step with the number seq took effect on a worker; confirmations of earlier
// steps are ignored.
func (m *Mitigator) TookEffect(worker string, seq int64, at time.Time) {
	w, ok := m.workers[worker]
	if !ok || seq == 0 || w.last.Seq != seq || !w.effective.IsZero() {
		return
	}
	w.effective = at
	// A worker's clock that is behind must not make a used sample count again.
	if w.used.After(at) {
		w.effective = w.used
	}
}

func (m *Mitigator) judge(now time.Time, o Observation, w *standing, s *recent) Decision {
	slow, quiet := o.Slowdown >= raiseAbove, o.Slowdown <= clearBelow
	if o.OfTarget > 0 {
		slow = o.OfTarget > 1 && !quiet
		quiet = quiet || o.OfTarget <= clearTarget
	}
	switch {
	case slow:
		w.quietSince = time.Time{}
		s.slow++
		if s.slow < raiseAfter {
			return hold(o.Worker, w.step, ReasonOneSample)
		}
		return m.raise(now, o, w)
	case !quiet:
		s.slow = 0
		w.quietSince = time.Time{}
		return hold(o.Worker, w.step, ReasonBetween)
	}
	s.slow = 0
	if w.quietSince.IsZero() {
		w.quietSince = o.Taken
	}
	if w.step == StepNone || o.Taken.Sub(w.quietSince) < w.quiet {
		return hold(o.Worker, w.step, ReasonQuiet)
	}
	return w.undo(now, o.Worker, ReasonQuiet)
}

func (m *Mitigator) raise(now time.Time, o Observation, w *standing) Decision {
	if len(o.Batch) == 0 {
		return hold(o.Worker, w.step, ReasonNoBatch)
	}
	d := Decision{Kind: KindRaise, Reason: ReasonSlow, Service: o.Service, Slowdown: o.Slowdown, Work: o.Worst, Worker: o.Worker}
	d.Step = min(w.step+1, StepEvict)
	if d.Step == StepEvict {
		d.Tasks = min(o.WorstTasks, m.budget.LeftToMitigate(now))
		if d.Tasks == 0 {
			return hold(o.Worker, w.step, ReasonNoBudget)
		}
		m.budget.Take(now, d.Tasks)
	}
	switch {
	case w.undone.IsZero() || now.Sub(w.undone) > relapse:
		w.quiet = firstQuiet
	case now.Sub(w.undone) < 2*w.quiet:
		w.quiet = min(2*w.quiet, maxQuiet)
	}
	return w.issue(now, d)
}

func (m *Mitigator) worker(id string) *standing {
	w, ok := m.workers[id]
	if !ok {
		w = &standing{quiet: firstQuiet, services: map[string]*recent{}}
		m.workers[id] = w
	}
	return w
}

// issue puts a step in force. All samples so far are used up, so that the next step needs new ones.
func (w *standing) issue(now time.Time, d Decision) Decision {
	d.Seq = w.last.Seq + 1
	w.effective, w.issued, w.last, w.step = time.Time{}, now, d, d.Step
	w.quietSince = time.Time{}
	clear(w.services)
	return d
}

func (w *standing) undo(now time.Time, worker string, why Reason) Decision {
	d := Decision{Kind: KindUndo, Reason: why, Step: w.step - 1, Worker: worker}
	w.undone = now
	return w.issue(now, d)
}
