package shard

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/laburnumridge/laburnumridge/internal/interference"
)

// Parameters for pacing best-effort tasks. Paces are in percent of full speed, tails are fractions of the latency target.
const (
	fullPace = 100
	// speedUpTail is the tail above which no task is sped up. A tail above targetTail violates the target.
	speedUpTail = 0.85
	targetTail  = 1.0
	// allowedTail is the tail up to which best-effort tasks may slow down a serving task.
	allowedTail = 0.95
	// peakLoad is the own load that a serving task is assumed to reach while a best-effort task runs next to it: loads
	// swing by half within some ten seconds.
	peakLoad = 0.6
	// pressureHeadroom is the factor by which the expected pressure has to stay below what the serving tasks tolerate
	// when a best-effort task is placed: the pressure swings by a factor of two within seconds.
	pressureHeadroom = 1.25
	// minAllowedPressure lets tasks that do little harm continue next to a serving task whose own load is already high.
	minAllowedPressure = interference.MinAllowedPressure
	// minShare is the minimum fraction of its CPU demand that a best-effort task has to get from a worker. With less it
	// would take more than twice its time and also slow down others.
	minShare = 0.55
	// excessGain is the smoothing factor for the excess of the measured pressure. maxExcessFactor limits the factor by
	// which the pressure on a worker may deviate from the model.
	excessGain      = 0.6
	maxExcessFactor = 3
	// minPaceChange is the smallest change of a pace that is worth an order.
	minPaceChange = 12
	// useTimeConstant is the time constant for smoothing the CPU use that measured tails reflect: tails cover half a
	// second, and the queue behind a long tail empties slowly.
	useTimeConstant = 500 * time.Millisecond
	minUse          = 1e-3
	// warmUpTime is how long a serving task has to run before its measurements count.
	warmUpTime = 600 * time.Millisecond
	// paceInterval is the minimum time between two pace changes on a worker, after which the measurements show the earlier one.
	paceInterval = interference.PaceShown
	// loadAhead is how far ahead the own load is predicted that a pace set now has to suit. Further ahead, the slope of the load is
	// too uncertain, and best-effort work is slowed down for peaks that don't come.
	loadAhead = 500 * time.Millisecond
	// haltCooldown is how long a worker gets no new best-effort tasks of the halted weights after it had to halt some.
	haltCooldown = 1500 * time.Millisecond
	// slowPace is the pace at or below which a best-effort task is better moved to another worker.
	slowPace = 60
	// moveAfter is how long a slowed task is given to return to a higher pace before it is moved.
	moveAfter = 900 * time.Millisecond
)

// cpuFraction returns the fraction of a worker's CPU that a best-effort task uses. Until there is a measurement for the
// last half second, it is derived from the task's demand and pace.
func cpuFraction(w *worker, at *attempt) float64 {
	cpu := at.measurement
	if cpu <= 0 {
		cpu = float64(at.task.step.Resources.CPUMilli) * at.paceFraction()
	}
	return cpu / float64(max(w.Capacity.CPUMilli, 1))
}

// paceFraction returns the pace as a fraction of full speed, which it counts as while it is unknown.
func (at *attempt) paceFraction() float64 {
	if at.pace < 0 {
		return 1
	}
	return float64(at.pace) / fullPace
}

// tailRatio returns the measured tail latency of a serving task divided by its target.
func tailRatio(at *attempt) float64 {
	return at.measurement / float64(max(at.task.step.TailTarget.Milliseconds(), 1))
}

// load returns the estimate of a serving task's own load, or nil if nothing has been measured yet.
func (at *attempt) load() *interference.LoadEstimate {
	return at.task.job.occurrences[at.task.key.Occurrence].loads[at.task.key.Step]
}

// expectedLoad returns the own load that a serving task is expected to have when a pace set now takes effect.
func (at *attempt) expectedLoad(now time.Time) float64 {
	if l := at.load(); l != nil {
		return l.At(now.Add(loadAhead))
	}
	return interference.InitialLoad
}

// pressureAllowed returns the pressure from other tasks that a serving task with the given own load tolerates.
func pressureAllowed(load float64) float64 {
	return max(interference.UtilizationFromTail(allowedTail)-load, minAllowedPressure)
}

func (at *attempt) isServing() bool { return at.task.step.TailTarget > 0 && at.phase == phaseRunning }

// hasTail reports whether the last listing has a tail latency of a serving task that counts.
func (at *attempt) hasTail(now time.Time) bool {
	return at.isServing() && at.measurement > 0 && now.Sub(at.confirmedAt) >= warmUpTime
}

// controlPaces updates the model from a worker's measurements, and sets the paces of its best-effort tasks to what the
// serving tasks tolerate.
func (o *Owner) controlPaces(now time.Time, w *worker) {
	sinceReport := now.Sub(w.usesAt)
	w.smoothUses(now)
	worstTail, hasBestEffort := 0.0, false
	excess, samples := 0.0, 0
	limit := math.Inf(1)
	for _, at := range w.attempts {
		hasBestEffort = hasBestEffort || at.task.step.BestEffort
		if !at.hasTail(now) {
			continue
		}
		tail := tailRatio(at)
		load := at.load()
		if load == nil {
			load = interference.NewLoadEstimate(now)
			at.task.job.occurrences[at.task.key.Occurrence].loads[at.task.key.Step] = load
		}
		excess += o.pressure.Residual(now, at.task.step.Image, load, tail, w.uses)
		samples++
		o.pressure.Observe(now, at.task.step.Image, load, tail, w.uses)
		worstTail = max(worstTail, tail)
		wasOver := at.over.IsOver()
		if at.over = at.over.WithReport(now, w.pacedAt, tail); !wasOver {
			at.over = at.over.WithTakeover(now, o.acquiredAt, at.plannedAt.IsZero())
		}
		limit = min(limit, at.over.HaltedWeight(now))
	}
	o.evacuateStalled(now, w, worstTail)
	if samples > 0 {
		w.excess += excessGain * (excess/float64(samples) - w.excess)
	}
	if !hasBestEffort {
		w.excess = 0
	}
	if hasBestEffort && worstTail > targetTail {
		o.observeOverTarget(now, w, sinceReport)
	}
	if !hasBestEffort || now.Sub(w.pacedAt) < paceInterval {
		return
	}
	o.setPaces(now, w, worstTail, limit)
	o.moveSlowed(now, w)
}

// smoothUses tracks the CPU use by image of best-effort tasks with the same delay as measured tails.
func (w *worker) smoothUses(now time.Time) {
	gain := 1 - math.Exp(-now.Sub(w.usesAt).Seconds()/useTimeConstant.Seconds())
	w.usesAt = now
	measured := interference.CPUUsage{}
	for _, at := range w.attempts {
		if at.task.step.BestEffort {
			measured[at.task.step.Image] += at.measurement / float64(max(w.Capacity.CPUMilli, 1))
		}
	}
	for image := range w.uses {
		if _, ok := measured[image]; !ok {
			measured[image] = 0
		}
	}
	for image, use := range measured {
		if w.uses[image] += gain * (use - w.uses[image]); w.uses[image] < minUse {
			delete(w.uses, image)
		}
	}
}

// setPaces distributes the pressure that the serving tasks tolerate over the best-effort tasks, the least harmful
// first. Tasks whose weight reaches the limit are halted.
func (o *Owner) setPaces(now time.Time, w *worker, worstTail, limit float64) {
	v := o.viewOf(w)
	share := v.share()
	var bestEffort []*attempt
	halted := 0
	factor := o.excessFactor(w, v)
	weight, harm := map[string]float64{}, map[string]float64{}
	for _, at := range w.attempts {
		if !at.task.step.BestEffort || at.phase != phaseRunning {
			continue
		}
		bestEffort = append(bestEffort, at)
		image := at.task.step.Image
		for serving, s := range v.serving {
			weight[image] = max(weight[image], o.pressure.Weight(image, serving))
			harm[image] = max(harm[image], o.pressure.Weight(image, serving)/s.allowed)
		}
	}
	slices.SortFunc(bestEffort, func(a, b *attempt) int {
		return cmp.Or(cmp.Compare(harm[a.task.step.Image], harm[b.task.step.Image]), a.confirmedAt.Compare(b.confirmedAt),
			cmp.Compare(a.task.key.Index, b.task.key.Index))
	})
	pressure := map[string]float64{}
	for _, at := range bestEffort {
		use := share * float64(at.task.step.Resources.CPUMilli) / float64(max(w.Capacity.CPUMilli, 1))
		fraction := 1.0
		for serving, s := range v.serving {
			if cost := factor * o.pressure.Weight(at.task.step.Image, serving) * use; cost > 0 {
				fraction = min(fraction, max(s.allowed-pressure[serving], 0)/cost)
			}
		}
		if weight[at.task.step.Image] >= limit {
			fraction = 0
			halted++
		}
		for serving := range v.serving {
			pressure[serving] += fraction * factor * o.pressure.Weight(at.task.step.Image, serving) * use
		}
		o.adjustPace(now, at, int(fraction*fullPace), worstTail)
	}
	if halted > 0 {
		w.haltedAt, w.haltWeight = now, limit
		o.log.WithFields(logrus.Fields{
			"decision": "halt", "worker": w.ID, "fills": len(bestEffort), "halted": halted, "limit": limit, "tail": worstTail,
		}).
			Info("halting best-effort tasks until the serving tasks are below their latency targets")
	}
}

// excessFactor returns the ratio of the current pressure on a worker's serving tasks to the pressure that the model
// expects.
func (o *Owner) excessFactor(w *worker, v *view) float64 {
	expected := 0.0
	for serving := range v.serving {
		expected = max(expected, o.pressure.Predict(serving, w.uses))
	}
	if expected < minAllowedPressure {
		return 1
	}
	return min(max(1+w.excess/expected, 1.0/maxExcessFactor), maxExcessFactor)
}

// adjustPace changes the pace of a task if the change is worth an order.
func (o *Owner) adjustPace(now time.Time, at *attempt, percent int, worstTail float64) {
	diff := percent - at.pace
	if diff > 0 && worstTail > speedUpTail ||
		diff > -minPaceChange && diff < minPaceChange && percent != 0 && percent != fullPace {
		return
	}
	if diff != 0 {
		o.setPace(at, percent)
		at.worker.pacedAt = now
	}
}

// moveSlowed stops one best-effort task that has been slowed down for a while, if another worker is suitable for it.
func (o *Owner) moveSlowed(now time.Time, w *worker) {
	for _, at := range w.attempts {
		t := at.task
		if !t.step.BestEffort || at.phase != phaseRunning || at.pace > slowPace || now.Sub(at.slowSince) < moveAfter ||
			at.slowSince.IsZero() {
			continue
		}
		if !t.step.SavesProgress && now.Sub(at.confirmedAt) > 2*moveAfter {
			continue // the task writes no checkpoints, so a move would lose its work
		}
		other := o.choose(now, t, "")
		if other == nil || other == w {
			continue
		}
		if _, ok := o.bestEffortCost(other, t, other.bestEffortShare(o, t.step.Resources.CPUMilli)); !ok {
			continue
		}
		t.avoidWorker = w.ID
		o.stopRun(at, "slowed down; another worker suits it")
		return
	}
}

func (o *Owner) setPace(at *attempt, percent int) {
	if percent == at.pace {
		return
	}
	if percent <= slowPace && at.slowSince.IsZero() {
		at.slowSince = o.now
	} else if percent > slowPace {
		at.slowSince = time.Time{}
	}
	at.pace = percent
	at.worker.view = nil
	o.paceOrders = append(o.paceOrders, Pace{
		Order: o.newOrder(at.worker), Job: at.task.job.ID, Key: at.task.key, Percent: percent, Run: at.run,
	})
}

// Paced handles the answer to a pace order.
func (o *Owner) Paced(_ time.Time, p Pace, r Reply) {
	if at := o.attempt(p.Worker, p.Job, p.Key, p.Run); at != nil && r.Outcome != OutcomeDone && at.pace == p.Percent {
		at.pace = -1 // unknown until the next listing
	}
}

// bestEffortCost returns the highest fraction of the pressure tolerated by a worker's serving tasks that would be used up
// with one more best-effort task, at most 1, and whether the worker is suitable: its serving tasks stay below their
// targets, the task gets at least minShare, and tasks of its weight have not just been halted. Next to serving tasks that an unknown
// pair could bring above their targets, only a few tasks of the image are tried at a time, where the least is at stake.
func (o *Owner) bestEffortCost(w *worker, t *task, share float64) (float64, bool) {
	v := o.viewOf(w)
	use := share * float64(t.step.Resources.CPUMilli) / float64(max(w.Capacity.CPUMilli, 1))
	worst, weight, stake, isTried := 0.0, 0.0, 0.0, true
	for image, s := range v.serving {
		mean, upper := o.pressure.Bounds(o.now, t.step.Image, image)
		weight = max(weight, mean)
		worst = max(worst, pressureHeadroom*(s.pressure+mean*use)/s.allowedPeak)
		if risk := pressureHeadroom * (s.pressure + upper*use); upper > mean && risk > s.allowedPeak {
			stake = max(stake, interference.Stake(v.servingTasks, risk, s.allowedPeak))
			isTried = isTried && !o.currentTrials().IsFull(t.step.Image, image)
		}
	}
	halted := o.now.Sub(w.haltedAt) < haltCooldown && weight >= w.haltWeight
	return min(max(worst, stake), 1), worst <= 1 && share >= minShare && !halted && isTried
}

// LearnedWeights returns the well-known part of the interference model, for the shard's next owner and for other shards.
func (o *Owner) LearnedWeights(now time.Time) []interference.PairWeight {
	return o.pressure.ExportWeights(now)
}

// RestoreWeights takes over what the last owner of the shard has learned, and returns the number of pairs.
func (o *Owner) RestoreWeights(now time.Time, known []interference.PairWeight) int {
	return o.pressure.RestoreWeights(now, known)
}

// AdoptWeights takes over the pairs of images that another owner knows better, and returns their number.
func (o *Owner) AdoptWeights(now time.Time, known []interference.PairWeight) int {
	return o.pressure.ImportWeights(now, known)
}
