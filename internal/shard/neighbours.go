package shard

import (
	"time"

	"github.com/laburnumridge/laburnumridge/internal/interference"
)

// interferenceState is what an owner keeps about best-effort tasks next to serving tasks, apart from what it has learned.
type interferenceState struct {
	observer interference.Observer
	trials   interference.Trials
}

// WithInterferenceObserver sets a function that receives the time of each serving task above its latency target beside best-effort
// tasks, with the state that explains it.
func WithInterferenceObserver(observe func(interference.State, time.Duration)) Option {
	return func(o *Owner) { o.observer.Observe = observe }
}

// mixedPollWait returns how long a worker that runs best-effort tasks next to serving tasks may delay the answer to a poll. A worker
// that does not answer is not polled more closely because of what it reported last.
func (o *Owner) mixedPollWait(now time.Time, w *worker) time.Duration {
	longest := o.timing.MixedPollWait
	if w.hasTaskOverTarget() {
		longest = o.timing.OverTargetPollWait
	}
	if w.pollFailures > 0 {
		return longest
	}
	serving, _ := o.servingStates(now, w, nil)
	return interference.PollWait(serving, o.timing.MinMixedPollWait, longest)
}

// servingStates describes the serving tasks on a worker and the pressure that its best-effort tasks, without one of them, put on them
// at their present paces. That includes tasks that do not show in the measured uses yet. It also returns the attempts of the tasks.
func (o *Owner) servingStates(now time.Time, w *worker, without *attempt) ([]interference.Serving, []*attempt) {
	v := o.viewOf(w)
	uses := w.usesOf(v, func(at *attempt) float64 {
		if at == without {
			return 0
		}
		return at.paceFraction()
	})
	factor := o.excessFactor(w, v)
	var states []interference.Serving
	var attempts []*attempt
	for _, at := range w.attempts {
		if !at.isServing() {
			continue
		}
		s := o.pressure.NewServing(now, at.task.step.Image, at.load(), uses, factor)
		s.Allowed, s.Tail = pressureAllowed(s.Load), tailRatio(at)
		states, attempts = append(states, s), append(attempts, at)
	}
	return states, attempts
}

// paceStart gives a best-effort task that has just started the pace that the serving tasks beside it tolerate. A task that no worker
// suits takes any worker in the end, and would run at full pace there until the next report.
func (o *Owner) paceStart(at *attempt) {
	if w := at.worker; at.task.step.BestEffort && o.viewOf(w).servingTasks > 0 {
		v := o.viewOf(w)
		use := v.share() * float64(at.task.step.Resources.CPUMilli) / float64(max(w.Capacity.CPUMilli, 1))
		serving, _ := o.servingStates(o.now, w, at)
		fraction := o.pressure.ToleratedFraction(at.task.step.Image, o.excessFactor(w, v)*use, serving)
		if percent := max(int(fraction*fullPace), minPaceChange); percent <= fullPace-minPaceChange {
			o.setPace(at, percent)
		}
	}
}

// currentTrials returns the number of runs by pair of images. It is counted once per round, and only if a pair is unknown.
func (o *Owner) currentTrials() *interference.Trials {
	if o.trials.Begin(o.now) {
		for _, w := range o.sortedWorkers() {
			for _, at := range w.attempts {
				o.countTrial(at)
			}
		}
	}
	return &o.trials
}

// countTrial adds a run to the trials of this round.
func (o *Owner) countTrial(at *attempt) {
	if at.task.step.BestEffort && o.trials.IsCurrent(o.now) {
		for image := range o.viewOf(at.worker).serving {
			o.trials.Add(at.task.step.Image, image)
		}
	}
}

// observeOverTarget adds the time since the last report to that of the states of the serving tasks above their targets, and logs the
// worst of them.
func (o *Owner) observeOverTarget(now time.Time, w *worker, sinceReport time.Duration) {
	paces := interference.Paces{}
	for _, at := range w.attempts {
		if at.task.step.BestEffort {
			paces.Add(at.task.step.Image, at.paceFraction())
		}
	}
	states, attempts := o.servingStates(now, w, nil)
	var situations []interference.Situation
	for i, s := range states {
		if over := attempts[i].over; over.IsOver() {
			situations = append(situations, interference.Situation{
				Serving: s, BestEffort: o.pressure.Neighbours(now, s.Image, paces, w.uses), OwnerAge: now.Sub(o.acquiredAt),
				PaceAge: now.Sub(w.pacedAt), For: over.LastedSince(now, min(sinceReport, o.timing.PollWait)),
			})
		}
	}
	if o.observer.Report(now, o.log.WithField("worker", w.ID), w.interferenceLoggedAt, situations) {
		w.interferenceLoggedAt = now
	}
}
