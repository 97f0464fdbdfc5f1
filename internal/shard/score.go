package shard

// Weights of a worker's score, relative to its free fraction, which is at most 1.
const (
	// rackBonus prefers the rack that holds the data: a task in another rack takes up to three times as long.
	rackBonus = 2
	// rackDemandPenalty keeps the room of a rack for the tasks that name it, as far as they wait or run elsewhere: a task that is as fast in
	// any rack prefers other workers with room.
	rackDemandPenalty = 1
	// harmPenalty ranks workers whose serving tasks would miss their targets behind all others.
	harmPenalty = 2
	// imageBonus groups serving tasks of the same image. Best-effort tasks disturb some images and not others, so
	// grouping leaves each of them suitable workers. A worker without serving tasks is scored as if emptyShare of its
	// serving tasks had the image.
	imageBonus = 2
	emptyShare = 0.5
	// packBonus packs serving tasks on workers that already have some, so that other workers stay free of them and suit
	// every best-effort task.
	packBonus = 0.5
	// freePenalty keeps workers without serving tasks available for best-effort tasks that suit no other worker.
	freePenalty = 0.3
	// costPenalty spreads best-effort tasks over the workers that suit them.
	costPenalty = 0.25
	// avoidPenalty avoids the worker that the task's last run failed on or was moved away from, if there is another
	// one.
	avoidPenalty = 3
	// coldPenalty ranks workers that are slow after their start behind all warm ones that can take the task, also those far from its data.
	coldPenalty = 3
)

// score returns how well a worker suits a task; higher is better.
func (o *Owner) score(w *worker, t *task) float64 {
	score := 0.0
	if t.step.BestEffort {
		share := w.bestEffortShare(o, t.step.Resources.CPUMilli)
		cost, ok := o.bestEffortCost(w, t, share)
		score = share - costPenalty*cost
		if !ok {
			score -= harmPenalty
		}
		if o.viewOf(w).servingTasks == 0 {
			score -= freePenalty
		}
	} else if used := w.reserved.Add(t.step.Resources).DominantShare(w.Capacity); t.step.TailTarget > 0 {
		score = o.servingScore(w, t.step.Image) + packBonus*used
	} else {
		score = 1 - used
	}
	if (t.step.Rack != "" || t.local.rack != "") && (w.Rack == t.step.Rack || w.Rack == t.local.rack) {
		score += rackBonus
	} else if !t.step.BestEffort {
		score -= rackDemandPenalty * w.rackDemand
	}
	if t.avoidWorker == w.ID {
		score -= avoidPenalty
	}
	if o.now.Before(w.coldUntil) {
		score -= coldPenalty
	}
	return score
}

// servingScore scores a worker for a serving task by the images of its present serving tasks, and by the pressure that
// its best-effort tasks would put on the new one.
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
	return score - min(o.pressure.Predict(image, w.potentialUses(v))/pressureAllowed(peakLoad), harmPenalty)
}
