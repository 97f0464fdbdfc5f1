package shard

import "github.com/laburnumridge/laburnumridge/internal/interference"

// servingLoad is the fraction of its CPU reservation that a serving task is assumed to use on average.
const servingLoad = 0.42

// view summarizes the load of a worker for placement and pacing. It is cached until the load changes.
type view struct {
	// demand is the CPU that the best-effort tasks ask for, leftoverCPU what the other tasks leave to them, both in
	// thousandths of a core.
	demand, leftoverCPU float64
	serving             map[string]*servingImage
	servingTasks        int
}

// servingImage summarizes the serving tasks of one image on a worker.
type servingImage struct {
	// allowed is the smallest pressure that any of the tasks tolerates now, allowedPeak the same at peakLoad or above.
	allowed, allowedPeak float64
	// pressure is the pressure that the best-effort tasks are expected to cause at full pace.
	pressure float64
	tasks    int
}

func (o *Owner) viewOf(w *worker) *view {
	if w.view != nil {
		return w.view
	}
	v := &view{serving: map[string]*servingImage{}, leftoverCPU: float64(w.Capacity.CPUMilli)}
	for _, at := range w.attempts {
		s := at.task.step
		switch cpu := float64(s.Resources.CPUMilli); {
		case s.BestEffort:
			v.demand += cpu
		case s.LongRunning:
			v.leftoverCPU -= servingLoad * cpu
		default:
			v.leftoverCPU -= cpu
		}
		if s.TailTarget > 0 {
			image := v.serving[s.Image]
			if image == nil {
				image = &servingImage{allowed: 1, allowedPeak: 1}
				v.serving[s.Image] = image
			}
			load := at.expectedLoad(o.now)
			image.allowed = min(image.allowed, pressureAllowed(load))
			image.allowedPeak = min(image.allowedPeak, pressureAllowed(max(load, peakLoad)))
			image.tasks++
			v.servingTasks++
		}
	}
	if v.servingTasks > 0 {
		uses := w.potentialUses(v)
		for name, image := range v.serving {
			image.pressure = o.pressure.Predict(name, uses)
		}
	}
	w.view = v
	return v
}

// share returns the fraction of their CPU demand that the best-effort tasks get.
func (v *view) share() float64 { return min(max(v.leftoverCPU, 0)/max(v.demand, 1), 1) }

// potentialUses returns the CPU use by image that the best-effort tasks would have at full pace. Their use while slowed
// down does not show how many more of them the worker could take.
func (w *worker) potentialUses(v *view) interference.CPUUsage {
	return w.usesOf(v, func(*attempt) float64 { return 1 })
}

// usesOf returns the CPU use by image that the best-effort tasks have at the given fractions of their full speed.
func (w *worker) usesOf(v *view, fraction func(*attempt) float64) interference.CPUUsage {
	uses := interference.CPUUsage{}
	share := v.share()
	for _, at := range w.attempts {
		if at.task.step.BestEffort {
			uses[at.task.step.Image] += fraction(at) * share * float64(at.task.step.Resources.CPUMilli) / float64(max(w.Capacity.CPUMilli, 1))
		}
	}
	return uses
}

// bestEffortShare returns the fraction of its CPU demand that one more best-effort task would get.
func (w *worker) bestEffortShare(o *Owner, cpu int64) float64 {
	v := o.viewOf(w)
	if demand := v.demand + float64(cpu); demand > 0 {
		return min(max(v.leftoverCPU, 0)/demand, 1)
	}
	return 1
}
