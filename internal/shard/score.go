package shard

// Weights of a worker's score beside its free part, which is at most 1.
const (
	// rackBonus prefers the rack of the data: a task elsewhere takes up to three times as long.
	rackBonus = 2
	// harmMalus ranks workers whose serving tasks would miss their targets behind all others.
	harmMalus = 2
	// imageBonus gathers serving tasks of one image: tasks that fill harm some images and not others, so each finds
	// workers that suit it.
	imageBonus = 0.5
	// avoidMalus keeps a task off the worker on which it failed last while there is another one.
	avoidMalus = 3
)

func (o *Owner) score(w *worker, t *task) float64 {
	score := 0.0
	if t.step.Fills {
		share := w.fillShare(o, t.step.Resources.CPUMilli)
		cost, ok := o.suits(w, t, share)
		score = share * (1 - cost)
		if !ok {
			score -= harmMalus
		}
	} else {
		score = 1 - w.reserved.Add(t.step.Resources).Fraction(w.Capacity)
		if t.step.TailTarget > 0 {
			score += imageBonus * w.imageShare(o, t.step.Image)
		}
	}
	if t.step.Rack != "" && w.Rack == t.step.Rack {
		score += rackBonus
	}
	if t.avoid == w.ID {
		score -= avoidMalus
	}
	return score
}
