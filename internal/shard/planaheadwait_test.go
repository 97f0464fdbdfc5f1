package shard_test

import (
	"testing"
	"time"

	"github.com/sirupsen/logrus/hooks/test"
	"gotest.tools/v3/assert"
)

// plannedAhead returns how often each task was planned ahead on each worker, by the log.
func plannedAhead(hook *test.Hook) map[string]map[string]int {
	out := map[string]map[string]int{}
	for _, e := range hook.AllEntries() {
		if e.Data["decision"] == "place_ahead" {
			task := e.Data["job"].(string) + "." + e.Data["task"].(string)
			if out[task] == nil {
				out[task] = map[string]int{}
			}
			out[task][e.Data["worker"].(string)]++
		}
	}
	return out
}

// Guards against a task that loses its place among those that wait because the worker on which its next run was planned ahead drains before
// the run is sent.
func TestRunPlannedAheadOnWorkerThatDrainsKeepsItsWait(t *testing.T) {
	c := newCrowdedShard(t)
	c.stopTime = 300 * time.Millisecond
	hook := test.NewLocal(c.log)
	c.cancel(crowdedJob(0))
	c.run(150 * time.Millisecond)
	planned, drains := plannedAhead(hook), map[string]bool{}
	assert.Assert(t, len(planned) > 0, "no run is planned ahead")
	for _, workers := range planned {
		for w := range workers {
			drains[w] = true
		}
	}
	for _, w := range c.workers {
		if drains[w.ID] {
			w.Draining, w.Remaining = true, time.Minute
		}
	}
	c.register()
	c.run(500 * time.Millisecond)
	seen := 0
	for _, r := range c.owner.Handover(c.now).Waiting {
		if _, ok := planned[r.Job+"."+r.Key.String()]; ok {
			seen++
			assert.Check(t, r.Age >= 2*time.Second, "task %s of job %s has waited for about 4 s, its owner knows of %s", r.Key, r.Job, r.Age)
		}
	}
	assert.Assert(t, seen > 0, "no task that was planned ahead waits")
}

// Guards against a task that is planned and recorded again and again on a worker that confirms a stop and does not end the run.
func TestRunIsNotPlannedAheadTwiceForStopThatDoesNotEnd(t *testing.T) {
	c := newCrowdedShard(t)
	c.stopTime = time.Hour
	hook := test.NewLocal(c.log)
	c.cancel(crowdedJob(0))
	c.run(8 * time.Second)
	total := 0
	for _, workers := range plannedAhead(hook) {
		for _, n := range workers {
			total += n
		}
	}
	assert.Check(t, total <= 2*crowdedTasksPerJob, "%d runs were planned for the room of %d runs that don't end", total, crowdedTasksPerJob)
}
