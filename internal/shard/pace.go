package shard

import "time"

// Pacing of tasks that fill, in percent of their speed.
const (
	fullPace = 100
	// minPace lets tasks that fill go on a little, so that their work is not lost.
	minPace = 0
	// paceRaise is added at each look without a slow task.
	paceRaise = 12
	// paceStep is the least change that is worth an order.
	paceStep = 8
	// paceGap is the least time between two changes: a worker's figures cover the last half second, and a change
	// takes 100 ms to show.
	paceGap = 600 * time.Millisecond
	// slowPart and quietPart are the parts of a latency target above which tasks that fill are slowed down, and
	// below which they may speed up.
	slowPart  = 0.85
	quietPart = 0.65
)

// control sets the pace of the tasks that fill on a worker by the tail latencies of its long-running tasks.
func (o *Owner) control(now time.Time, w *worker) {
	worst, fills := 0.0, false
	for at := range w.attempts {
		if at.task.step.Fills {
			fills = true
		}
		if target := at.task.step.TailTarget; target > 0 && at.phase == phaseRunning && at.figure > 0 {
			worst = max(worst, at.figure/float64(target.Milliseconds()))
		}
	}
	if now.Sub(w.pacedAt) < paceGap {
		return
	}
	pace := w.pace
	switch {
	case worst > 1:
		pace /= 4
	case worst > slowPart:
		pace = pace * 2 / 3
	case worst < quietPart:
		pace += paceRaise
	}
	pace = min(max(pace, minPace), fullPace)
	if pace == w.pace {
		return
	}
	w.pace, w.pacedAt = pace, now
	if !fills {
		return
	}
	for at := range w.attempts {
		if at.task.step.Fills && at.phase == phaseRunning {
			o.pace(at, pace)
		}
	}
}

func (o *Owner) pace(at *attempt, percent int) {
	if diff := percent - at.paced; diff > -paceStep && diff < paceStep && percent != minPace && percent != fullPace || diff == 0 {
		return
	}
	at.paced = percent
	o.paces = append(o.paces, Pace{
		Order: o.order(at.worker), Job: at.task.job.ID, Key: at.task.key, Percent: percent, Run: at.run,
	})
}

// Paced takes the answer to a pace.
func (o *Owner) Paced(_ time.Time, p Pace, r Reply) {
	if at := o.attempt(p.Worker, p.Job, p.Key, p.Run); at != nil && r.Outcome != OutcomeDone && at.paced == p.Percent {
		at.paced = -1 // unknown: the next change is sent whatever it is
	}
}
