package shard

import (
	"cmp"
	"slices"
	"time"
)

// maxOwnDemands limits the classes of waiting tasks for which a shard keeps its room.
const maxOwnDemands = 16

// ownWaiting returns the smallest tasks that wait in the shard for their next run, one of each class: long-running ones that ran before, or
// short ones. Members of gangs that may wait for good are left out, and tasks that no worker of the shard could hold.
func (o *Owner) ownWaiting(gangs *gangRoom, short bool) []*task {
	var waiting []*task
	suits := map[Demand]bool{}
	for _, j := range o.backlog {
		if o.jobs[j.ID] != j || !short && !j.IsLongRunning() {
			continue
		}
		for _, t := range j.readyTasks() {
			if (t.isInterrupted() && !short || short && isShort(t.step) && t.isWaiting()) && gangs.mayRun(t) &&
				o.suitsStep(t.step, j.queue.Service, suits) {
				waiting = append(waiting, t)
			}
		}
	}
	offers := classify(waiting)
	slices.SortStableFunc(offers, func(a, b Offer) int { return cmp.Compare(a.Resources.CPUMilli, b.Resources.CPUMilli) })
	var out []*task
	for _, f := range offers[:min(len(offers), maxOwnDemands)] {
		out = append(out, f.tasks[0])
	}
	return out
}

// Room returns how many tasks of each demand the shard's workers could take at once, one demand after the other. Workers that could take
// a task of the shard that waits as well are left out, since that task takes the room first.
func (o *Owner) Room(now time.Time, demands []Demand) []int {
	out := make([]int, len(demands))
	if o.isHandingOver {
		return out
	}
	gangs, headrooms := o.newGangRoom(now), map[string]*headroom{}
	own := o.ownWaiting(gangs, false)
	var ownShort []*task
	if slices.ContainsFunc(demands, func(d Demand) bool { return d.IsShort }) {
		ownShort = o.ownWaiting(gangs, true)
	}
	for _, d := range demands {
		if d.IsNew {
			headrooms[d.Service] = o.headroomForOthers(now, d.Service)
		}
	}
	for _, w := range o.sortedWorkers() {
		if !w.takesTasks(now) || w.heldFor != nil && now.Before(w.heldUntil) {
			continue
		}
		free := w.Capacity.Sub(w.reserved)
		fits := func(t *task) bool {
			return w.suitsStep(now, t) && !t.isAdvisedAgainst(w) && reservation(t.step).FitsIn(free)
		}
		if slices.ContainsFunc(own, fits) {
			continue
		}
		isWanted := slices.ContainsFunc(ownShort, fits)
		for i, d := range demands {
			if d.IsShort && isWanted {
				continue
			}
			n := d.fit(w, free, d.Count-out[i])
			if d.IsNew {
				n = headrooms[d.Service].limit(w, d.Resources.CPUMilli, n)
			}
			out[i] += n
			free = free.Sub(d.Resources.Times(int64(n)))
		}
	}
	return out
}
