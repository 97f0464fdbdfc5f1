package shard_test

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/laburnumridge/laburnumridge/internal/shard"
	"github.com/laburnumridge/laburnumridge/internal/workflow"
)

// endWithSlowStore ends the run of a job that was started on the only worker, from when on the store answers nothing, and waits
// until the worker has listed the end.
func (c *fleetHarness) endWithSlowStore(t *testing.T, job string) {
	t.Helper()
	c.add(workflow.Job{ID: job, Queue: "q", Steps: []workflow.Step{smallStep}})
	c.run(100 * time.Millisecond)
	c.store.answerTime = func() time.Duration { return time.Hour }
	listed := c.endsListed
	c.endRunsWhere(func(shard.Start) shard.EndCause { return shard.EndDone })
	c.waitFor(2*time.Second, func() bool { return c.endsListed > listed })
	assert.Assert(t, c.endsListed > listed, "the end is listed")
}

// Guards against the end of a run that no longer counts, since the lease of its worker expired before the end was acknowledged: the
// worker runs nothing else and the end waits for its record. Also when two polls in a row get no answer.
func TestUnrecordedEndKeepsLeaseOfIdleWorker(t *testing.T) {
	const job, next = "0000000000000002", "0000000000000003"
	for _, lostPolls := range []int{0, 2} {
		voided := 0
		for recorded := 2 * time.Second; recorded <= 20*time.Second; recorded += 500 * time.Millisecond {
			var log bytes.Buffer
			c := newIdleWorkerHarness(t, &log)
			c.pollTimeout = 900 * time.Millisecond
			c.endWithSlowStore(t, job)
			c.polls["a0"], c.endsListed = 0, 0
			for end := c.now.Add(recorded); c.now.Before(end); {
				c.silent = ""
				if n := c.polls["a0"]; n < lostPolls {
					c.silent = "a0"
				}
				c.step()
			}
			c.silent = ""
			c.run(time.Second) // the last poll may still be unanswered
			polls := c.polls["a0"]
			c.release()
			c.run(time.Second)
			assert.Equal(t, len(c.endedByWorker["a0"]), 0, "the end is acknowledged")
			voided += c.voidedEnds
			// A poll renews the lease 3 s before its end. After lost polls the lease is renewed by the poll after the first answer.
			most := int((recorded+time.Second)/(4*time.Second)) + 2*lostPolls
			assert.Check(t, polls <= most, "%d polls in %s, at most %d are needed", polls, recorded, most)
			c.add(workflow.Job{ID: next, Queue: "q", Steps: []workflow.Step{smallStep}})
			c.run(100 * time.Millisecond)
			assert.Equal(t, c.starts[len(c.starts)-1].Job, next)
			assert.Equal(t, c.starts[len(c.starts)-1].Token, c.starts[0].Token, "the fencing token")
		}
		assert.Check(t, voided == 0, "%d ends with %d lost polls no longer counted when they were acknowledged", voided, lostPolls)
	}
}

// Guards against ends that no longer count after a takeover: the new owner finds a worker without runs, whose lease the owner before
// it has renewed.
func TestUnrecordedEndKeepsLeaseOfIdleWorkerAfterTakeover(t *testing.T) {
	const job = "0000000000000002"
	var log bytes.Buffer
	c := newIdleWorkerHarness(t, &log)
	c.endWithSlowStore(t, job)
	c.ids, c.storedProgress[job] = append(c.ids, job), workflow.Progress{Tasks: []workflow.TaskRecord{{
		Run: 1, Attempts: []workflow.Attempt{{Worker: "a0", Born: c.workers[0].incarnation, Run: 1}},
	}}}
	c.store.unanswered = nil
	c.replaceOwner()
	c.run(15 * time.Second)
	c.release()
	c.run(time.Second)
	assert.Equal(t, len(c.endedByWorker["a0"]), 0, "the end is acknowledged")
	assert.Equal(t, c.voidedEnds, 0, "ends that no longer counted when they were acknowledged")
}

// Guards against polls that a calm shard does not need: a worker that runs nothing is not polled once its ends are acknowledged.
func TestIdleWorkersOfCalmShardAreNotPolled(t *testing.T) {
	c := newFleetHarness(t, 10)
	c.store.answerTime = func() time.Duration { return 4 * time.Millisecond }
	c.endCause = func(s shard.Start) shard.EndCause {
		if c.age(s) < time.Duration(200+37*(int(s.Job[15])+5*s.Key.Index)%1500)*time.Millisecond {
			return ""
		}
		return shard.EndDone
	}
	step := smallStep
	step.Count = 3
	total := func() (n int) {
		for _, polls := range c.polls {
			n += polls
		}
		return n
	}
	for i := range 100 {
		c.add(workflow.Job{ID: fmt.Sprintf("000000000000%04x", i), Queue: "q", Steps: []workflow.Step{step}})
		c.run(300 * time.Millisecond)
	}
	c.run(3 * time.Second)
	busy := total()
	c.run(time.Minute)
	t.Logf("%d polls for %d runs, %d polls in a minute without runs", busy, len(c.starts), total()-busy)
	assert.Equal(t, len(c.running), 0)
	assert.Equal(t, total(), busy, "polls of idle workers")
}
