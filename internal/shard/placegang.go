package shard

import "time"

// placeGang places all tasks of a gang step together. A gang that is slower when spread over racks is placed in one
// rack if it fits.
func (o *Owner) placeGang(now time.Time, tasks []*task) {
	run := 0
	for _, t := range tasks {
		if !t.isWaiting() {
			return
		}
		if now.Before(t.notBefore) {
			o.waitUntil(t.notBefore)
			return
		}
		run = max(run, t.run)
	}
	racks := []string{""}
	if tasks[0].step.SameRack {
		racks = append(o.racks(), "")
	}
	for _, rack := range racks {
		if o.tryGang(now, tasks, rack, run+1) {
			return
		}
	}
}

// tryGang assigns all tasks of a gang to workers, or none. An empty rack stands for workers of any rack. All tasks
// resume from the same checkpoint.
func (o *Owner) tryGang(now time.Time, tasks []*task, rack string, run int) bool {
	checkpoint := ""
	for _, t := range tasks {
		if t.checkpoint != "" {
			checkpoint = t.checkpoint
		}
	}
	workers := o.chooseForGang(now, tasks, rack)
	if len(workers) < len(tasks) {
		if tasks[0].job.queue.Advice != nil {
			o.requestAdvice(now, tasks[0])
		}
		return false
	}
	for i, t := range tasks {
		t.checkpoint = checkpoint
		o.assign(t, workers[i], run)
	}
	return true
}

// chooseForGang returns a worker for each task of a gang, or fewer if they don't fit at the same time. It changes nothing: a gang that
// waits is tried in each round, and its job must not be recorded each time.
func (o *Owner) chooseForGang(now time.Time, tasks []*task, rack string) []*worker {
	var workers []*worker
	var tried []*attempt
	h, lost := o.headroomFor(now, tasks[0]), int64(0)
	for _, t := range tasks {
		w := o.choose(now, t, rack)
		if w == nil {
			break
		}
		if h != nil {
			loss := h.loss(w, t.step.Resources.CPUMilli)
			h.available, lost = h.available-loss, lost+loss
		}
		at := &attempt{phase: phasePlanned, task: t, worker: w}
		w.add(at)
		workers, tried = append(workers, w), append(tried, at)
	}
	for _, at := range tried {
		at.worker.remove(at)
	}
	if h != nil {
		h.available += lost
	}
	return workers
}
