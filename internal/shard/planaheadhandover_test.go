package shard_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/laburnumridge/laburnumridge/internal/fleet"
)

// Guards against handing over more unsent runs for a worker than it has room for: an owner of an earlier build sends them all at once.
func TestUnsentRunsThatAreHandedOverFitTogether(t *testing.T) {
	c := newCrowdedShard(t)
	c.stopTime = 300 * time.Millisecond
	c.store.answerTime = func() time.Duration { return 10 * time.Second }
	c.cancel(crowdedJob(0))
	c.run(150 * time.Millisecond)
	c.cancel(crowdedJob(1))
	c.cancel(crowdedJob(2))
	c.cancel(crowdedJob(3))
	c.run(220 * time.Millisecond)
	c.owner.BeginHandover()
	h := c.owner.Handover(c.now)
	assert.Assert(t, len(h.Unsent) > 0, "nothing is handed over")
	unsent := map[string]bool{}
	for _, u := range h.Unsent {
		unsent[u.Key.Name(u.Job)] = true
	}
	used := map[string]fleet.Resources{}
	for _, s := range c.running {
		used[s.Worker] = used[s.Worker].Add(c.jobs[s.Job].Steps[s.Key.Step].Resources)
	}
	for id, p := range h.Progress {
		for _, r := range p.Tasks {
			for _, a := range r.Attempts {
				if unsent[r.Key.Name(id)] {
					used[a.Worker] = used[a.Worker].Add(c.jobs[id].Steps[r.Key.Step].Resources)
				}
			}
		}
	}
	for _, w := range c.workers {
		assert.Check(t, used[w.ID].FitsIn(w.Capacity), "%s would have %s", w.ID, used[w.ID])
	}
}
