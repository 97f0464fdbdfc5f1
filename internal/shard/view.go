package shard

import "github.com/laburnumridge/laburnumridge/internal/interference"

// servingLoad is the part of its reservation that a serving task is taken to use on average.
const servingLoad = 0.42

// view is what placement needs to know of a worker's load. It is kept until the load changes.
type view struct {
	// demand is what the tasks that fill ask for, in thousandths of a core; left is what the others leave them.
	demand, leftoverCPU float64
	serving             map[string]*servingImage
	servingTasks        int
}

// servingImage is what a view holds of the serving tasks of an image.
type servingImage struct {
	// allowed is the least pressure that one of the tasks bears now, allowedPeak the same while its load is high.
	allowed, allowedPeak float64
	// pressure is what tasks that fill are expected to cause.
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
		case s.Fills:
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
			image.pressure = o.pressure.Of(name, uses)
		}
	}
	w.view = v
	return v
}

// potentialUses returns what the tasks that fill would use at full pace. What they use when they are slowed down says
// nothing about the room for more of them.
func (w *worker) potentialUses(v *view) interference.Uses {
	uses := interference.Uses{}
	share := min(max(v.leftoverCPU, 0)/max(v.demand, 1), 1)
	for _, at := range w.attempts {
		if at.task.step.Fills {
			uses[at.task.step.Image] += share * float64(at.task.step.Resources.CPUMilli) / float64(max(w.Capacity.CPUMilli, 1))
		}
	}
	return uses
}

// fillShare returns the part of its demand that one more task that fills would get.
func (w *worker) fillShare(o *Owner, cpu int64) float64 {
	v := o.viewOf(w)
	if demand := v.demand + float64(cpu); demand > 0 {
		return min(max(v.leftoverCPU, 0)/demand, 1)
	}
	return 1
}
