package shard

// Weights of a worker's score beside its free part, which is at most 1.
const (
	// rackBonus prefers the rack of the data: a task elsewhere takes up to three times as long.
	rackBonus = 2
	// harmPenalty ranks workers whose serving tasks would miss their targets behind all others.
	harmPenalty = 2
	// imageBonus gathers serving tasks of one image: tasks that fill harm some images and not others, so each finds
	// workers that suit it. A worker without serving tasks counts as emptyShare of them.
	imageBonus = 2
	emptyShare = 0.5
	// packBonus fills up workers that have serving tasks already, so that others stay free of them and suit every task
	// that fills.
	packBonus = 0.5
	// freePenalty keeps workers without serving tasks for those that fill and suit no other.
	freePenalty = 0.3
	// costPenalty spreads tasks that fill over the workers that suit them.
	costPenalty = 0.25
	// avoidPenalty keeps a task off the worker on which it failed last while there is another one.
	avoidPenalty = 3
)

func (o *Owner) score(w *worker, t *task) float64 {
	score := 0.0
	if t.step.Fills {
		share := w.fillShare(o, t.step.Resources.CPUMilli)
		cost, ok := o.fillCost(w, t, share)
		score = share - costPenalty*cost
		if !ok {
			score -= harmPenalty
		}
		if o.viewOf(w).servingTasks == 0 {
			score -= freePenalty
		}
	} else if used := w.reserved.Add(t.step.Resources).Fraction(w.Capacity); t.step.TailTarget > 0 {
		score = o.servingScore(w, t.step.Image) + packBonus*used
	} else {
		score = 1 - used
	}
	if t.step.Rack != "" && w.Rack == t.step.Rack {
		score += rackBonus
	}
	if t.avoidWorker == w.ID {
		score -= avoidPenalty
	}
	return score
}

// servingScore ranks a worker for a serving task by the images of the serving tasks that it has, and by what the tasks that
// fill do to this one.
func (o *Owner) servingScore(w *worker, image string) float64 {
	v := o.viewOf(w)
	score := imageBonus * emptyShare
	if v.servingTasks > 0 {
		share := 0.0
		if s := v.serving[image]; s != nil {
			share = float64(s.tasks) / float64(v.servingTasks)
		}
		score = imageBonus * share * share
	}
	return score - min(o.pressure.Of(image, w.potentialUses(v))/pressureAllowed(peakLoad), harmPenalty)
}
