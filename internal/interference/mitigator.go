package interference

import (
	"maps"
	"slices"
	"time"
)

const (
	// raiseThreshold and clearThreshold are slowdown factors. A sample at or above the first counts as slow, one at
	// or below the second as quiet; between them the worker keeps its step. For a service with a latency target, the
	// target replaces raiseThreshold, so that batch work is not slowed down for a service that is fast enough.
	raiseThreshold = 1.5
	clearThreshold = 1.2
	// clearTargetRatio is the ratio of latency to target up to which a sample counts as quiet. Services that never
	// run without batch neighbours have no exact baseline, so their slowdown may stay above clearThreshold.
	clearTargetRatio = 0.8
	// raiseAfterSamples is the number of consecutive slow samples of one service after which the step is raised.
	// With 2, random variation alone kept workers throttled for 30% of the time in the steady scenario.
	raiseAfterSamples = 3
	// initialUndoDelay is how long a worker must be quiet before a step is undone. The delay doubles, up to
	// maxUndoDelay, if the slowdown returns soon after a step was undone.
	initialUndoDelay = 30 * time.Second
	maxUndoDelay     = 10 * time.Minute
	// reissueInterval is the interval at which an unconfirmed step is issued again.
	reissueInterval = 10 * time.Second
	// undoDelayResetAfter is the time since the last undone step after which the delay starts at initialUndoDelay
	// again.
	undoDelayResetAfter = time.Hour
)

// Mitigator decides on the mitigation steps for the workers of a shard.
type Mitigator struct {
	budget *Budget
	// workers holds no more than the workers of the shard, since the owner calls Forget for workers that left.
	workers map[string]*workerState
}

// workerState is the state of mitigation on a worker.
type workerState struct {
	// effectiveAt is when the last step took effect; zero until that is confirmed.
	effectiveAt time.Time
	// issuedAt is when the last step was issued, or issued again because its effect was not confirmed.
	issuedAt time.Time
	// lastDecision is the last decision that raised or undid a step.
	lastDecision Decision
	// sampleReceivedAt is when the last evaluated sample arrived.
	sampleReceivedAt time.Time
	// undoDelay is how long the worker must be quiet before a step is undone.
	undoDelay time.Duration
	// quietSince is the time of the first of the latest run of quiet samples; zero if the last sample was not quiet.
	quietSince time.Time
	services   map[string]*serviceState
	step       Step
	undoneAt   time.Time
	// latestSampleAt is the latest time at which an evaluated sample was taken.
	latestSampleAt time.Time
}

// serviceState is the state of a service on a worker since the last step.
type serviceState struct {
	consecutiveSlow int
	lastTakenAt     time.Time
}

// NewMitigator returns a Mitigator whose evictions are limited by the budget.
func NewMitigator(budget *Budget) *Mitigator {
	return &Mitigator{budget: budget, workers: map[string]*workerState{}}
}

// Decide returns the decision that follows from an observation. The caller applies the step and confirms that it took
// effect; until then Decide returns no further step.
func (m *Mitigator) Decide(now time.Time, o Observation) Decision {
	if o.Slowdown <= 0 {
		return hold(o.Worker, m.Step(o.Worker), ReasonUnknown)
	}
	w := m.getOrCreateWorker(o.Worker)
	if w.effectiveAt.IsZero() && w.lastDecision.Seq > 0 {
		if now.Sub(w.issuedAt) < reissueInterval {
			return hold(o.Worker, w.step, ReasonPending)
		}
		w.issuedAt = now
		repeated := w.lastDecision
		repeated.Reason = ReasonUnconfirmed
		return repeated
	}
	if !o.WindowStart.After(w.effectiveAt) {
		return hold(o.Worker, w.step, ReasonStale)
	}
	s, ok := w.services[o.Service]
	if !ok {
		s = &serviceState{}
		w.services[o.Service] = s
	}
	if !o.Taken.After(s.lastTakenAt) {
		return hold(o.Worker, w.step, ReasonRepeated)
	}
	s.lastTakenAt, w.sampleReceivedAt = o.Taken, now
	if o.Taken.After(w.latestSampleAt) {
		w.latestSampleAt = o.Taken
	}
	return m.evaluate(now, o, w, s)
}

// Forget removes the state of a worker that left the shard.
func (m *Mitigator) Forget(worker string) { delete(m.workers, worker) }

// UndoWithoutSamples undoes one step on each worker that has sent no samples for a long time, for example because it
// runs no services any more.
func (m *Mitigator) UndoWithoutSamples(now time.Time) []Decision {
	var out []Decision
	for _, id := range slices.Sorted(maps.Keys(m.workers)) {
		w := m.workers[id]
		timeout := 4 * w.undoDelay
		if w.step > StepNone && !w.effectiveAt.IsZero() && now.Sub(w.sampleReceivedAt) >= timeout && now.Sub(w.issuedAt) >= w.undoDelay {
			out = append(out, w.undo(now, id, ReasonNoSamples))
		}
	}
	return out
}

// Step returns the step on a worker that is in force or has been issued.
func (m *Mitigator) Step(worker string) Step {
	if w, ok := m.workers[worker]; ok {
		return w.step
	}
	return StepNone
}

// ConfirmStep records when the step with sequence number seq took effect on a worker. Confirmations of earlier
// steps are ignored.
func (m *Mitigator) ConfirmStep(worker string, seq int64, at time.Time) {
	w, ok := m.workers[worker]
	if !ok || seq == 0 || w.lastDecision.Seq != seq || !w.effectiveAt.IsZero() {
		return
	}
	w.effectiveAt = at
	// If the worker's clock is behind, samples that were already evaluated must not count again.
	if w.latestSampleAt.After(at) {
		w.effectiveAt = w.latestSampleAt
	}
}

func (m *Mitigator) evaluate(now time.Time, o Observation, w *workerState, s *serviceState) Decision {
	slow, quiet := o.Slowdown >= raiseThreshold, o.Slowdown <= clearThreshold
	if o.TargetRatio > 0 {
		slow = o.TargetRatio > 1 && !quiet
		quiet = quiet || o.TargetRatio <= clearTargetRatio
	}
	switch {
	case slow:
		w.quietSince = time.Time{}
		s.consecutiveSlow++
		if s.consecutiveSlow < raiseAfterSamples {
			return hold(o.Worker, w.step, ReasonTooFewSlowSamples)
		}
		return m.raise(now, o, w)
	case !quiet:
		s.consecutiveSlow = 0
		w.quietSince = time.Time{}
		return hold(o.Worker, w.step, ReasonBetweenThresholds)
	}
	s.consecutiveSlow = 0
	if w.quietSince.IsZero() {
		w.quietSince = o.Taken
	}
	if w.step == StepNone || o.Taken.Sub(w.quietSince) < w.undoDelay {
		return hold(o.Worker, w.step, ReasonQuiet)
	}
	return w.undo(now, o.Worker, ReasonQuiet)
}

func (m *Mitigator) raise(now time.Time, o Observation, w *workerState) Decision {
	if len(o.Batch) == 0 {
		return hold(o.Worker, w.step, ReasonNoBatch)
	}
	d := Decision{Kind: KindRaise, Reason: ReasonSlow, Service: o.Service, Slowdown: o.Slowdown, Work: o.WorstWork, Worker: o.Worker}
	d.Step = min(w.step+1, StepEvict)
	if d.Step == StepEvict {
		d.Tasks = min(o.WorstTasks, m.budget.LeftForMitigation(now))
		if d.Tasks == 0 {
			return hold(o.Worker, w.step, ReasonNoBudget)
		}
		m.budget.Take(now, d.Tasks)
	}
	switch {
	case w.undoneAt.IsZero() || now.Sub(w.undoneAt) > undoDelayResetAfter:
		w.undoDelay = initialUndoDelay
	case now.Sub(w.undoneAt) < 2*w.undoDelay:
		w.undoDelay = min(2*w.undoDelay, maxUndoDelay)
	}
	return w.issue(now, d)
}

func (m *Mitigator) getOrCreateWorker(id string) *workerState {
	w, ok := m.workers[id]
	if !ok {
		w = &workerState{undoDelay: initialUndoDelay, services: map[string]*serviceState{}}
		m.workers[id] = w
	}
	return w
}

// issue records a new step. It discards the samples so far, so that the next step requires new ones.
func (w *workerState) issue(now time.Time, d Decision) Decision {
	d.Seq = w.lastDecision.Seq + 1
	w.effectiveAt, w.issuedAt, w.lastDecision, w.step = time.Time{}, now, d, d.Step
	w.quietSince = time.Time{}
	clear(w.services)
	return d
}

func (w *workerState) undo(now time.Time, worker string, reason Reason) Decision {
	d := Decision{Kind: KindUndo, Reason: reason, Step: w.step - 1, Worker: worker}
	w.undoneAt = now
	return w.issue(now, d)
}
