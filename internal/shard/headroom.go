package shard

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/laburnumridge/laburnumridge/internal/workflow"
)

const (
	// headroomMemory is the time in which the remembered demand of short tasks falls to 1/e, so that room is kept from one burst
	// of them to the next.
	headroomMemory = 10 * time.Second
	// maxHeadroom is the fraction of a service's CPU up to which room is kept for short tasks. Long-running tasks may always use
	// the rest.
	maxHeadroom = 0.25
	// usableShare is the fraction of the mean CPU of a short task from which free CPU on a worker counts as available.
	usableShare = 0.5
)

// shortTasks identifies the short tasks of a service with one priority. A short task is one that reserves CPU and is not
// long-running.
type shortTasks struct {
	priority int
	service  string
}

// shortDemand is the remembered demand of short tasks.
type shortDemand struct {
	// cpu is the highest CPU demand of the recent past, in thousandths of a core.
	cpu float64
	// arrivedCPU and arrivedTasks add up the CPU and the number of the tasks that arrived.
	arrivedCPU, arrivedTasks float64
}

// decayed returns the demand after the time in which nothing was observed.
func (d shortDemand) decayed(elapsed time.Duration) shortDemand {
	decay := math.Exp(-elapsed.Seconds() / headroomMemory.Seconds())
	return shortDemand{cpu: d.cpu * decay, arrivedCPU: d.arrivedCPU * decay, arrivedTasks: d.arrivedTasks * decay}
}

// headroom is the CPU of a service that is kept free of long-running tasks which have never run, so that short tasks of the same
// or a more urgent priority find room. Without it a service fills up with long-running tasks, each of which keeps its room
// for minutes, and short tasks wait until one of them ends. It is valid for one placement round. All amounts are in thousandths
// of a core.
type headroom struct {
	// available is the CPU on all workers that is not reserved by long-running tasks and can be used by short ones.
	available int64
	// target is the least amount of CPU that has to stay available.
	target int64
	// unit is the least amount of CPU on a worker that counts as available.
	unit int64
}

// observeArrival adds the short tasks of a new job to the remembered demand. The tasks that wait can't be used for their size, since
// large ones wait longer. Tasks that no worker could hold use no room.
func (o *Owner) observeArrival(j *job, known map[Demand]bool) {
	class := shortTasks{j.priority, j.queue.Service}
	d := o.shortDemand[class]
	for _, step := range j.Steps {
		if isShort(&step) && o.suitsStep(&step, j.queue.Service, known) {
			d.arrivedCPU += float64(step.Count) * float64(step.Resources.CPUMilli)
			d.arrivedTasks += float64(step.Count)
		}
	}
	if d.arrivedTasks > 0 {
		o.shortDemand[class] = d
	}
}

// observeShortDemand updates the remembered demand of short tasks by the tasks that run or could run now.
func (o *Owner) observeShortDemand(now time.Time) {
	if !o.isRegistryRead {
		return
	}
	for class, d := range o.shortDemand {
		o.shortDemand[class] = d.decayed(now.Sub(o.shortDemandAt))
	}
	o.shortDemandAt = now
	cpu, known := map[shortTasks]int64{}, map[Demand]bool{}
	for _, j := range o.backlog {
		if j.final != "" {
			continue
		}
		if !j.hasArrived {
			j.hasArrived = true
			o.observeArrival(j, known)
		}
		for _, occ := range j.occurrences {
			for s, step := range j.Steps {
				if occ.ready[s] && isShort(&step) && o.suitsStep(&step, j.queue.Service, known) {
					cpu[shortTasks{j.priority, j.queue.Service}] += int64(occ.undone[s]) * step.Resources.CPUMilli
				}
			}
		}
	}
	for class, n := range cpu {
		d := o.shortDemand[class]
		d.cpu = max(d.cpu, float64(n))
		o.shortDemand[class] = d
	}
}

func isShort(s *workflow.Step) bool { return !s.LongRunning && !s.BestEffort }

// HeldBack returns the services with long-running tasks that wait because of the headroom only, as of the last placement round.
func (o *Owner) HeldBack() []string { return slices.Sorted(maps.Keys(o.heldBack)) }

// LendHeadroom lets long-running tasks of a service use the room that is kept for short ones until a time. It is called while tasks
// whose interruption lasts until they run again find no room in another shard: the service as a whole has none to keep then.
func (o *Owner) LendHeadroom(service string, until time.Time) { o.lentUntil[service] = until }

// headroomFor returns the headroom that a task has to leave, or nil if there is none: a task that is not long-running, or one that
// ran before and whose interruption lasts until it runs again.
func (o *Owner) headroomFor(now time.Time, t *task) *headroom {
	if !t.step.LongRunning || t.step.BestEffort || t.run > 0 || now.Before(o.lentUntil[t.job.queue.Service]) {
		return nil
	}
	class := shortTasks{t.job.priority, t.job.queue.Service}
	h, ok := o.headrooms[class]
	if !ok {
		h = o.newHeadroom(now, class)
		o.headrooms[class] = h
	}
	return h
}

// headroomForOthers returns the headroom that tasks of other shards have to leave which never ran: the one for the least urgent tasks.
func (o *Owner) headroomForOthers(now time.Time, service string) *headroom {
	if now.Before(o.lentUntil[service]) {
		return nil
	}
	return o.newHeadroom(now, shortTasks{math.MaxInt, service})
}

// limit returns how many of n equal long-running tasks a worker may take, and reduces the headroom by them.
func (h *headroom) limit(w *worker, cpu int64, n int) int {
	for n > 0 && !h.allows(w, int64(n)*cpu) {
		n--
	}
	if h != nil {
		h.available -= h.loss(w, int64(n)*cpu)
	}
	return n
}

func (o *Owner) newHeadroom(now time.Time, class shortTasks) *headroom {
	var d shortDemand
	for c, other := range o.shortDemand {
		if c.service == class.service && c.priority <= class.priority {
			d.cpu += other.cpu
			d.arrivedCPU += other.arrivedCPU
			d.arrivedTasks += other.arrivedTasks
		}
	}
	if d.cpu < 1 || d.arrivedTasks == 0 {
		return nil
	}
	h := &headroom{unit: max(int64(math.Round(usableShare*d.arrivedCPU/d.arrivedTasks)), 1)}
	capacity := int64(0)
	for _, w := range o.sortedWorkers() {
		if w.Service == class.service && w.takesTasks(now) {
			capacity += w.Capacity.CPUMilli
			h.available += h.usable(w.Capacity.CPUMilli - w.longRunningCPU)
		}
	}
	h.target = int64(min(d.cpu, maxHeadroom*float64(capacity)))
	return h
}

// usable returns how much of a worker's CPU short tasks can use.
func (h *headroom) usable(cpu int64) int64 { return max(cpu, 0) / h.unit * h.unit }

// loss returns the CPU that short tasks could no longer use on a worker if it took a long-running task.
func (h *headroom) loss(w *worker, cpu int64) int64 {
	free := w.Capacity.CPUMilli - w.longRunningCPU
	return h.usable(free) - h.usable(free-cpu)
}

// allows reports whether enough CPU stays available if a worker takes long-running tasks that need some CPU.
func (h *headroom) allows(w *worker, cpu int64) bool {
	if h == nil {
		return true
	}
	loss := h.loss(w, cpu)
	return loss == 0 || h.available-loss >= h.target
}

// recordLongRunning reduces the headrooms of this round by a long-running task that a worker is about to take.
func (o *Owner) recordLongRunning(w *worker, t *task) {
	for class, h := range o.headrooms {
		if h != nil && class.service == w.Service {
			h.available -= h.loss(w, t.step.Resources.CPUMilli)
		}
	}
}
