package shard

import (
	"slices"
	"time"

	"github.com/laburnumridge/laburnumridge/internal/workflow"
)

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
		if o.hasLateStart(now, t) {
			o.waitUntil(o.lateRunsEnd(t.lateStarts.Until()))
			return
		}
		run = max(run, t.run)
	}
	local, tried := o.gangRacks(tasks[0].step)
	for _, rack := range tried {
		if o.tryGang(now, tasks, rack, run+1, local) {
			return
		}
	}
}

// gangRacks returns the racks in which the tasks of a gang are fastest if all of them run in one, and those to try in turn. An empty rack
// stands for workers of any rack.
func (o *Owner) gangRacks(s *workflow.Step) (local, tried []string) {
	switch {
	case s.Rack != "" && s.SameRack:
		return []string{s.Rack}, append(append([]string{s.Rack}, o.racks()...), "")
	case s.Rack != "":
		return []string{s.Rack}, []string{""}
	case s.SameRack:
		return o.racks(), append(o.racks(), "")
	}
	return nil, []string{""}
}

// tryGang assigns all tasks of a gang to workers, or none. An empty rack stands for workers of any rack. All tasks
// resume from the same checkpoint. The gang may wait for one of its local racks instead.
func (o *Owner) tryGang(now time.Time, tasks []*task, rack string, run int, local []string) bool {
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
	isLocal := slices.Contains(local, workers[0].Rack) &&
		!slices.ContainsFunc(workers, func(w *worker) bool { return w.Rack != workers[0].Rack })
	if !isLocal && len(local) > 0 && o.mayWaitForRack(tasks[0]) {
		o.decideLocal(now, tasks[0], len(tasks), local)
		if o.takesLocalWait(now, tasks[0]) {
			return true
		}
	}
	o.endLocalWait(now, tasks[0], isLocal)
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
