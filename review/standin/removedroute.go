package main

import (
	"strconv"
	"time"
)

const (
	// dropped and kept are the routes of the case: both are in the first config, only kept in the second.
	dropped = "pule25"
	kept    = "fohu89"
)

// removedRoute plays a route that the operator removes while accepted submissions of it are at work, and then stops and starts the hosts
// in turn. The submissions of the route that stays are the control.
func removedRoute(d *deployment, isTrouble bool) bool {
	const (
		configApply = 2 * time.Second
		firstStep   = 30 * time.Second
		gap         = 2 * time.Second
		// near is the time after a disturbance that is not judged, quiet the time without a run that the rule allows.
		near  = 4 * time.Second
		quiet = 3 * time.Second
		// lasting is the time after the last run of a task that lasts from which the rule counts.
		lasting = 6 * time.Second
	)
	d.begin(3, 8, 10*time.Second, newRoute(dropped), newRoute(kept))
	accepted := time.Now()
	chains, feeds := map[string]submission{}, map[string]submission{}
	for _, name := range []string{dropped, kept} {
		chains[name] = submission{id: newID(), route: newRoute(name), spec: spec(firstStep.Milliseconds()), steps: []step{
			{Count: 3, CPU: 500, EstimateMs: int(firstStep.Milliseconds()), MemMb: 256},
			{After: []int{0}, Count: 3, CPU: 500, EstimateMs: int(firstStep.Milliseconds()), MemMb: 256},
		}}
		feeds[name] = submission{id: newID(), route: newRoute(name), spec: spec(0), steps: []step{
			{Count: 2, CPU: 500, LongRunning: true, MemMb: 256},
		}}
		for _, j := range []submission{chains[name], feeds[name]} {
			if !submit(d.record, d.hosts, j) {
				fail("a submission is not accepted")
			}
		}
	}
	for _, j := range []submission{chains[dropped], chains[kept], feeds[dropped], feeds[kept]} {
		if !await(5*time.Second, func() bool { return d.isRunning(j.id + ".0.0.0") }) {
			fail("a submission does not start")
		}
	}
	putConfig(d.store, d.record, 2, newRoute(kept))
	time.Sleep(configApply + time.Second)
	if isTrouble {
		for _, h := range d.hosts {
			h.terminate()
			if !h.awaitReady() {
				fail("%s does not become ready", h.name)
			}
			time.Sleep(gap)
		}
	}
	time.Sleep(near)
	for _, name := range []string{dropped, kept} {
		for _, w := range d.workers {
			w.failRun(feeds[name].id + ".0.0.0")
		}
	}
	failedAt := time.Now()
	if rest := time.Until(accepted.Add(firstStep + near)); rest > 0 {
		time.Sleep(rest)
	}
	time.Sleep(max(time.Until(failedAt.Add(lasting+quiet)), quiet+2*time.Second))
	held := true
	for _, name := range []string{kept, dropped} {
		for i := range 3 {
			task := chains[name].id + ".0.1." + strconv.Itoa(i)
			starts := len(d.record.startsOf(task))
			d.record.log("check    route %s: task %s of the second step has %d starts", name, task, starts)
			held = held && starts > 0
		}
		again := 0
		for _, e := range d.record.startsOf(feeds[name].id + ".0.0.0") {
			if e.at.After(failedAt) {
				again++
			}
		}
		d.record.log("check    route %s: task %s.0.0.0 that lasts has %d starts in the %s since its last run failed", name, feeds[name].id,
			again, time.Since(failedAt).Round(time.Millisecond))
		held = held && again > 0
		if name == kept && !held {
			fail("the submissions of the route that stays don't go on either")
		}
	}
	return held
}
