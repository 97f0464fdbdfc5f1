package shard

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/laburnumridge/laburnumridge/internal/interference"
)

// Pacing of tasks that fill, in percent of their speed. Tails are parts of their targets.
const (
	fullPace = 100
	// hotTail is the tail above which the tasks that cause it are slowed down; overTail breaks the target.
	hotTail  = 0.85
	overTail = 1.0
	// calmTail is the tail below which tasks that were slowed down may speed up again.
	calmTail = 0.7
	// allowedExcess is the excess that tasks that fill may cause: a tail of about 0.8 of the target.
	allowedExcess = 0.45
	// leastShare is the part of its demand that a task that fills has to get: with less it would take over twice its
	// time, and slow others down as well.
	leastShare = 0.55
	// raiseStep is how much a pace rises at a time.
	raiseStep = 20
	// paceGap is the least time between two changes on a worker: its figures cover the last half second, and a
	// change takes 100 ms to show.
	paceGap = 500 * time.Millisecond
	// patience is how long a serving task may stay over its target before all tasks that fill beside it stand still:
	// half of the shortest time that is held against the scheduler, so that the order still takes effect in time.
	patience = 1500 * time.Millisecond
	// blameShare is the part of an excess above which a task is slowed down for it.
	blameShare = 0.12
	// movePace is the pace below which a task that fills is better off on another worker.
	movePace = 35
	// moveAfter leaves a task time to recover its former pace before it is moved.
	moveAfter = 900 * time.Millisecond
)

// useOf returns which part of a worker's processors a task that fills uses: by the figure of the last half second, or
// by what it asks for until there is one.
func useOf(w *worker, at *attempt) float64 {
	cpu := at.figure
	if cpu <= 0 {
		cpu = float64(at.task.step.Resources.CPUMilli) * float64(max(at.paced, 0)) / fullPace
	}
	return cpu / float64(max(w.Capacity.CPUMilli, 1))
}

func tailOf(at *attempt) float64 {
	return at.figure / float64(max(at.task.step.TailTarget.Milliseconds(), 1))
}

func (at *attempt) serves() bool { return at.task.step.TailTarget > 0 && at.phase == phaseRunning }

// control learns from a worker's figures, and slows tasks that fill down where they lengthen a tail beyond its target.
func (o *Owner) control(now time.Time, w *worker) {
	measured := interference.Uses{}
	fills, settled := false, true
	for at := range w.attempts {
		if !at.task.step.Fills {
			continue
		}
		fills = true
		measured[at.task.step.Image] += at.figure / float64(max(w.Capacity.CPUMilli, 1))
		settled = settled && at.phase == phaseRunning && now.Sub(at.confirmedAt) > paceGap
	}
	worst := 0.0
	var hot []*attempt
	for at := range w.attempts {
		if !at.serves() || at.figure <= 0 || now.Sub(at.confirmedAt) < paceGap {
			continue
		}
		tail := tailOf(at)
		if settled && now.Sub(w.pacedAt) > paceGap {
			o.pressure.Observe(at.task.step.Image, tail, measured)
		}
		worst = max(worst, tail)
		if tail > hotTail {
			hot = append(hot, at)
		}
		switch {
		case tail <= overTail:
			at.overSince = time.Time{}
		case at.overSince.IsZero():
			at.overSince = now
		}
	}
	if !fills || now.Sub(w.pacedAt) < paceGap {
		return
	}
	switch {
	case o.isOverTooLong(now, hot):
		o.halt(now, w)
	case len(hot) > 0:
		o.slowDown(now, w, hot)
	case worst < calmTail:
		o.speedUp(now, w)
	}
	o.moveSlowed(now, w)
}

func (o *Owner) isOverTooLong(now time.Time, hot []*attempt) bool {
	for _, at := range hot {
		if !at.overSince.IsZero() && now.Sub(at.overSince) > patience {
			return true
		}
	}
	return false
}

// halt makes all tasks that fill on a worker stand still.
func (o *Owner) halt(now time.Time, w *worker) {
	halted := 0
	for at := range w.attempts {
		if at.task.step.Fills && at.phase == phaseRunning && at.paced != 0 {
			o.pace(at, 0)
			halted++
		}
	}
	if halted > 0 {
		w.pacedAt = now
		o.log.WithFields(logrus.Fields{"decision": "halt", "worker": w.ID, "halted": halted}).
			Info("tasks that fill stand still until the serving tasks are below their targets")
	}
}

// slowDown lowers the pace of the tasks that cause most of the excess of the hot ones.
func (o *Owner) slowDown(now time.Time, w *worker, hot []*attempt) {
	factor := map[*attempt]float64{}
	for _, serving := range hot {
		total := 0.0
		causes := map[*attempt]float64{}
		for at := range w.attempts {
			if at.task.step.Fills && at.phase == phaseRunning {
				c := o.pressure.Weight(at.task.step.Image, serving.task.step.Image) * useOf(w, at)
				causes[at] = c
				total += c
			}
		}
		keep := min(allowedExcess/max(total, allowedExcess), 0.8)
		if tailOf(serving) > overTail {
			keep = min(keep, 0.4)
		}
		for at, c := range causes {
			// A model that knows no cause blames all alike.
			if total < allowedExcess/4 || c >= blameShare*total {
				if f, ok := factor[at]; !ok || keep < f {
					factor[at] = keep
				}
			}
		}
	}
	for at, f := range factor {
		o.pace(at, int(float64(max(at.paced, 0))*f))
	}
	if len(factor) > 0 {
		w.pacedAt = now
		o.log.WithFields(logrus.Fields{
			"decision": "slow_down", "worker": w.ID, "hot": len(hot), "tail": tailOf(hot[0]), "slowed": len(factor),
		}).Debug("tasks that fill are slowed down")
	}
}

func (o *Owner) speedUp(now time.Time, w *worker) {
	changed := false
	for at := range w.attempts {
		if at.task.step.Fills && at.phase == phaseRunning && at.paced < fullPace {
			o.pace(at, min(max(at.paced, 0)+raiseStep, fullPace))
			changed = true
		}
	}
	if changed {
		w.pacedAt = now
	}
}

// moveSlowed stops one task that fills and has been slow for a while, if another worker suits it.
func (o *Owner) moveSlowed(now time.Time, w *worker) {
	for at := range w.attempts {
		t := at.task
		if !t.step.Fills || at.phase != phaseRunning || at.paced > movePace || now.Sub(at.slowSince) < moveAfter ||
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
		if _, ok := o.suits(other, t, other.fillShare(o, t.step.Resources.CPUMilli)); !ok {
			continue
		}
		t.avoid = w.ID
		o.stop(at, "slowed down; another worker suits it")
		return
	}
}

func (o *Owner) pace(at *attempt, percent int) {
	if percent == at.paced {
		return
	}
	if percent <= movePace && at.slowSince.IsZero() {
		at.slowSince = o.now
	} else if percent > movePace {
		at.slowSince = time.Time{}
	}
	at.paced = percent
	at.worker.view = nil
	o.paces = append(o.paces, Pace{
		Order: o.order(at.worker), Job: at.task.job.ID, Key: at.task.key, Percent: percent, Run: at.run,
	})
}

// Paced takes the answer to a pace.
func (o *Owner) Paced(_ time.Time, p Pace, r Reply) {
	if at := o.attempt(p.Worker, p.Job, p.Key, p.Run); at != nil && r.Outcome != OutcomeDone && at.paced == p.Percent {
		at.paced = -1 // unknown: the next listing tells
	}
}

// suits returns how well a worker suits a task that fills, from 0 to 1, and whether its serving tasks would stay below
// their targets.
func (o *Owner) suits(w *worker, t *task, share float64) (float64, bool) {
	v := o.viewOf(w)
	use := share * float64(t.step.Resources.CPUMilli) / float64(max(w.Capacity.CPUMilli, 1))
	worst := 0.0
	for image, excess := range v.excess {
		worst = max(worst, excess+o.pressure.Weight(t.step.Image, image)*use)
	}
	return 1 - min(worst, 1), worst <= allowedExcess && share >= leastShare
}
