package shard

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/laburnumridge/laburnumridge/internal/interference"
)

// Pacing of tasks that fill, in percent of their speed. Tails are parts of their targets.
const (
	fullPace = 100
	// speedUpTail is the tail above which no task is sped up; overTail breaks the target.
	speedUpTail = 0.85
	targetTail  = 1.0
	// allowedTail is the tail up to which tasks that fill may lengthen that of a serving task.
	allowedTail = 0.95
	// peakLoad is the load of its own that a serving task is taken to reach while a task that fills beside it runs:
	// loads swing by half within some ten seconds.
	peakLoad = 0.6
	// pressureHeadroom is the factor by which the expected pressure has to stay below what serving tasks bear when a task that
	// fills is placed: pressures swing by a factor of two within seconds.
	pressureHeadroom = 1.25
	// minAllowedPressure lets tasks that do little harm go on beside a serving task that is busy by itself.
	minAllowedPressure = 0.04
	// minShare is the part of its demand that a task that fills has to get: with less it would take over twice its
	// time, and slow others down as well.
	minShare = 0.55
	// excessGain is the part of a new excess of the pressure that counts; maxExcess bounds the factor by which a worker's
	// pressure may exceed what the weights say.
	excessGain      = 0.6
	maxExcessFactor = 3
	// minPaceChange is the least change of a pace that is worth an order.
	minPaceChange = 12
	// useTimeConstant is the time over which the use that a measured tail answers to fades: tails cover half a second, and
	// the queue behind a long tail empties slowly.
	useTimeConstant = 500 * time.Millisecond
	minUse          = 1e-3
	// warmUpTime is how long a serving task runs before its figures count.
	warmUpTime = 600 * time.Millisecond
	// paceInterval is the least time between two changes on a worker: its figures cover the last half second, and a
	// change takes 100 ms to show.
	paceInterval = 500 * time.Millisecond
	// A serving task that stays over its target for firstPatience, though the paces follow the model, makes the tasks
	// stand still that do more than mild harm; after lastPatience all of them. Figures, looks and the queue behind a long
	// tail take about a second and a half more, and four seconds count as harm.
	haltHarmfulAfter = 1100 * time.Millisecond
	haltAllAfter     = 1700 * time.Millisecond
	harmfulWeight    = 0.7
	// haltCooldown keeps new tasks that fill off a worker whose tasks had to stand still.
	haltCooldown = 1500 * time.Millisecond
	// slowPace is the pace below which a task that fills is better off on another worker.
	slowPace = 60
	// moveAfter leaves a task time to recover its former pace before it is moved.
	moveAfter = 900 * time.Millisecond
)

// cpuFraction returns which part of a worker's processors a task that fills uses: by the figure of the last half second, or
// by what it asks for until there is one.
func cpuFraction(w *worker, at *attempt) float64 {
	cpu := at.metric
	if cpu <= 0 {
		cpu = float64(at.task.step.Resources.CPUMilli) * float64(max(at.pace, 0)) / fullPace
	}
	return cpu / float64(max(w.Capacity.CPUMilli, 1))
}

func tailRatio(at *attempt) float64 {
	return at.metric / float64(max(at.task.step.TailTarget.Milliseconds(), 1))
}

// load returns what is known of the load that a serving task has by itself; nil if nothing is known.
func (at *attempt) load() *interference.Load {
	return at.task.job.occurrences[at.task.key.Occurrence].loads[at.task.key.Step]
}

// expectedLoad returns the load that a serving task is expected to have by itself when a pace that is set now shows.
func (at *attempt) expectedLoad(now time.Time) float64 {
	if l := at.load(); l != nil {
		return l.At(now.Add(paceInterval))
	}
	return interference.StartLoad
}

// pressureAllowed returns the pressure that others may put on a serving task with the given load of its own.
func pressureAllowed(load float64) float64 {
	return max(interference.Utilization(allowedTail)-load, minAllowedPressure)
}

func (at *attempt) isServing() bool { return at.task.step.TailTarget > 0 && at.phase == phaseRunning }

// controlPaces learns from a worker's figures, and lets tasks that fill work as far as the serving tasks bear it.
func (o *Owner) controlPaces(now time.Time, w *worker) {
	w.smoothUses(now)
	worst, fills := 0.0, false
	excess, samples := 0.0, 0
	limit := math.Inf(1)
	for _, at := range w.attempts {
		fills = fills || at.task.step.Fills
		if !at.isServing() || at.metric <= 0 || now.Sub(at.confirmedAt) < warmUpTime {
			continue
		}
		tail := tailRatio(at)
		load := at.load()
		if load == nil {
			load = interference.NewLoad(now)
			at.task.job.occurrences[at.task.key.Occurrence].loads[at.task.key.Step] = load
		}
		excess += o.pressure.Residual(now, at.task.step.Image, load, tail, w.uses)
		samples++
		o.pressure.Observe(now, at.task.step.Image, load, tail, w.uses)
		worst = max(worst, tail)
		switch {
		case tail <= targetTail:
			at.overTargetSince = time.Time{}
		case at.overTargetSince.IsZero():
			at.overTargetSince = now
			if now.Sub(o.acquiredAt) < haltAllAfter {
				at.overTargetSince = o.acquiredAt // an earlier owner may have seen the task over its target for a while
			}
		}
		if !at.overTargetSince.IsZero() {
			switch over := now.Sub(at.overTargetSince); {
			case over > haltAllAfter:
				limit = 0
			case over > haltHarmfulAfter:
				limit = min(limit, harmfulWeight)
			}
		}
	}
	o.evacuateStalled(now, w, worst)
	if samples > 0 {
		w.excessPressure += excessGain * (excess/float64(samples) - w.excessPressure)
	}
	if !fills {
		w.excessPressure = 0
	}
	if !fills || now.Sub(w.pacedAt) < paceInterval {
		return
	}
	o.setPaces(now, w, worst, limit)
	o.moveSlowed(now, w)
}

// smoothUses follows what filling images use of the worker as slowly as measured tails do.
func (w *worker) smoothUses(now time.Time) {
	part := 1 - math.Exp(-now.Sub(w.usesAt).Seconds()/useTimeConstant.Seconds())
	w.usesAt = now
	measured := interference.Uses{}
	for _, at := range w.attempts {
		if at.task.step.Fills {
			measured[at.task.step.Image] += at.metric / float64(max(w.Capacity.CPUMilli, 1))
		}
	}
	for image := range w.uses {
		if _, ok := measured[image]; !ok {
			measured[image] = 0
		}
	}
	for image, use := range measured {
		if w.uses[image] += part * (use - w.uses[image]); w.uses[image] < minUse {
			delete(w.uses, image)
		}
	}
}

// setPaces lets the tasks that fill work as far as the serving tasks bear it, the least harmful first. Tasks whose weight
// is above the limit stand still.
func (o *Owner) setPaces(now time.Time, w *worker, worst, limit float64) {
	v := o.viewOf(w)
	share := min(max(v.leftoverCPU, 0)/max(v.demand, 1), 1)
	var fills []*attempt
	halted := 0
	factor := o.excessFactor(w, v)
	weight, harm := map[string]float64{}, map[string]float64{}
	for _, at := range w.attempts {
		if !at.task.step.Fills || at.phase != phaseRunning {
			continue
		}
		fills = append(fills, at)
		image := at.task.step.Image
		for serving, s := range v.serving {
			weight[image] = max(weight[image], o.pressure.Weight(image, serving))
			harm[image] = max(harm[image], o.pressure.Weight(image, serving)/s.allowed)
		}
	}
	slices.SortFunc(fills, func(a, b *attempt) int {
		return cmp.Or(cmp.Compare(harm[a.task.step.Image], harm[b.task.step.Image]), a.confirmedAt.Compare(b.confirmedAt),
			cmp.Compare(a.task.key.Index, b.task.key.Index))
	})
	pressure := map[string]float64{}
	for _, at := range fills {
		use := share * float64(at.task.step.Resources.CPUMilli) / float64(max(w.Capacity.CPUMilli, 1))
		part := 1.0
		for serving, s := range v.serving {
			if cost := factor * o.pressure.Weight(at.task.step.Image, serving) * use; cost > 0 {
				part = min(part, max(s.allowed-pressure[serving], 0)/cost)
			}
		}
		if weight[at.task.step.Image] >= limit {
			part = 0
			halted++
		}
		for serving := range v.serving {
			pressure[serving] += part * factor * o.pressure.Weight(at.task.step.Image, serving) * use
		}
		o.adjustPace(now, at, int(part*fullPace), worst)
	}
	if halted > 0 {
		w.haltedAt, w.haltWeight = now, limit
		o.log.WithFields(logrus.Fields{
			"decision": "halt", "worker": w.ID, "fills": len(fills), "halted": halted, "limit": limit, "tail": worst,
		}).
			Info("tasks that fill stand still until the serving tasks are below their targets")
	}
}

// excessFactor returns by which factor the pressure on a worker's serving tasks exceeds what the weights say at present.
func (o *Owner) excessFactor(w *worker, v *view) float64 {
	expected := 0.0
	for serving := range v.serving {
		expected = max(expected, o.pressure.Of(serving, w.uses))
	}
	if expected < minAllowedPressure {
		return 1
	}
	return min(max(1+w.excessPressure/expected, 1.0/maxExcessFactor), maxExcessFactor)
}

// adjustPace changes the pace of a task if that is worth an order.
func (o *Owner) adjustPace(now time.Time, at *attempt, percent int, worst float64) {
	diff := percent - at.pace
	if diff > 0 && worst > speedUpTail || diff > -minPaceChange && diff < minPaceChange && percent != 0 && percent != fullPace {
		return
	}
	if diff != 0 {
		o.setPace(at, percent)
		at.worker.pacedAt = now
	}
}

// moveSlowed stops one task that fills and has been slow for a while, if another worker suits it.
func (o *Owner) moveSlowed(now time.Time, w *worker) {
	for _, at := range w.attempts {
		t := at.task
		if !t.step.Fills || at.phase != phaseRunning || at.pace > slowPace || now.Sub(at.slowSince) < moveAfter ||
			at.slowSince.IsZero() {
			continue
		}
		if !t.step.SavesProgress && now.Sub(at.confirmedAt) > 2*moveAfter {
			continue // its work would be lost
		}
		other := o.choose(now, t, "")
		if other == nil || other == w {
			continue
		}
		if _, ok := o.fillCost(other, t, other.fillShare(o, t.step.Resources.CPUMilli)); !ok {
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

// Paced takes the answer to a pace.
func (o *Owner) Paced(_ time.Time, p Pace, r Reply) {
	if at := o.attempt(p.Worker, p.Job, p.Key, p.Run); at != nil && r.Outcome != OutcomeDone && at.pace == p.Percent {
		at.pace = -1 // unknown: the next listing tells
	}
}

// fillCost returns which part of what a worker's serving tasks bear would be taken with one more task that fills, and
// whether they would stay below their targets.
func (o *Owner) fillCost(w *worker, t *task, share float64) (float64, bool) {
	v := o.viewOf(w)
	use := share * float64(t.step.Resources.CPUMilli) / float64(max(w.Capacity.CPUMilli, 1))
	worst, weight := 0.0, 0.0
	for image, s := range v.serving {
		weight = max(weight, o.pressure.Weight(t.step.Image, image))
		cost := o.pressure.Weight(t.step.Image, image) * use
		worst = max(worst, pressureHeadroom*(s.pressure+cost)/s.allowedPeak)
	}
	halted := o.now.Sub(w.haltedAt) < haltCooldown && weight >= w.haltWeight
	return min(worst, 1), worst <= 1 && share >= minShare && !halted
}

// Learned returns what is known well of how filling images disturb serving ones.
func (o *Owner) Learned(now time.Time) []interference.PairWeight { return o.pressure.Known(now) }

// Adopt takes over what another owner knows better of images, and returns how many pairs that were.
func (o *Owner) Adopt(now time.Time, known []interference.PairWeight) int {
	return o.pressure.Adopt(now, known)
}
