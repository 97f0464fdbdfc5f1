package shard_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/laburnumridge/laburnumridge/internal/fleet"
	"github.com/laburnumridge/laburnumridge/internal/shard"
	"github.com/laburnumridge/laburnumridge/internal/workflow"
)

// blockCommits makes the store answer nothing until release is called, and adds jobs until the owner commits nothing more.
func (c *fleetHarness) blockCommits() {
	c.store.answerTime = func() time.Duration { return time.Hour }
	for i, received := 0, -1; received < len(c.store.received); i++ {
		received = len(c.store.received)
		c.add(workflow.Job{ID: fmt.Sprintf("00000000000009%02x", i), Queue: "q", Steps: []workflow.Step{smallStep}})
		c.run(200 * time.Millisecond)
	}
}

// release answers all commits, and all later ones at once.
func (c *fleetHarness) release() {
	c.store.answerTime = nil
	for i := range c.store.unanswered {
		c.store.unanswered[i].answerAt = c.now
	}
}

var smallStep = workflow.Step{Count: 1, Resources: fleet.Resources{CPUMilli: 100, MemoryMiB: 10}, Estimate: time.Minute}

// Guards against records that callers wait for behind records that nobody waits for.
func TestRecordsThatCallersWaitForComeFirst(t *testing.T) {
	const jobsPerKind = 60
	c := newFleetHarness(t, 10)
	id := func(kind string, i int) string { return fmt.Sprintf("%012x%04x", kind[:3], i) }
	kinds := map[string]string{}
	add := func(kind string, s workflow.Step) {
		for i := range jobsPerKind {
			kinds[id(kind, i)] = kind
			c.add(workflow.Job{ID: id(kind, i), Queue: "q", Steps: []workflow.Step{s}})
		}
	}
	two, longRunning := smallStep, smallStep
	two.Count, longRunning.LongRunning = 2, true
	add("progress", two)
	add("final", smallStep)
	add("cancel", smallStep)
	add("restart", longRunning)
	c.run(2 * time.Second)
	c.blockCommits()
	c.endRunsWhere(func(s shard.Start) shard.EndCause {
		if kinds[s.Job] == "progress" && s.Key.Index == 0 {
			return shard.EndDone
		}
		return ""
	})
	for i := range jobsPerKind {
		c.owner.Cancel(c.now, id("cancel", i))
	}
	c.run(300 * time.Millisecond)
	c.endRunsWhere(func(s shard.Start) shard.EndCause {
		switch kinds[s.Job] {
		case "final":
			return shard.EndDone
		case "restart":
			return shard.EndFailed
		}
		return ""
	})
	add("start", smallStep)
	c.run(300 * time.Millisecond)
	received := len(c.store.received)
	c.release()
	c.run(600 * time.Millisecond)
	checkOrderOfFirstWrites(t, c.store.received[received:], kinds, 5*jobsPerKind)
}

// Guards against restarts of long-running tasks whose records wait behind first starts of jobs with a higher priority: tasks of a low
// priority would stay interrupted for as long as such starts go on.
func TestRestartIsRecordedBeforeStartsOfHigherPriority(t *testing.T) {
	const restarts, starts = 8, 60
	c := newFleetHarness(t, 40) // so that no worker is quarantined for several failures
	q, _ := c.config.Queue("q")
	low := q
	low.Name, low.Priority = "low", q.Priority+1
	c.owner.SetConfig(workflow.NewConfig(2, []workflow.Queue{q, low}, nil, workflow.Limits{}))
	kinds := map[string]string{}
	add := func(n int, kind, queue string, s workflow.Step) {
		for i := range n {
			id := fmt.Sprintf("%012x%04x", kind[:3], i)
			kinds[id] = kind
			c.add(workflow.Job{ID: id, Queue: queue, Steps: []workflow.Step{s}})
		}
	}
	longRunning := smallStep
	longRunning.LongRunning = true
	add(restarts, "restart", "low", longRunning)
	c.run(2 * time.Second)
	c.blockCommits()
	add(starts, "start", "q", smallStep)
	c.run(300 * time.Millisecond)
	c.endRunsWhere(func(s shard.Start) shard.EndCause {
		if kinds[s.Job] == "restart" {
			return shard.EndFailed
		}
		return ""
	})
	c.run(300 * time.Millisecond)
	received := len(c.store.received)
	c.release()
	c.run(600 * time.Millisecond)
	checkOrderOfFirstWrites(t, c.store.received[received:], kinds, restarts+starts)
}

// checkOrderOfFirstWrites checks that each of n jobs, whose kinds are given by id, is written, and that no job is first written
// after one that is less urgent.
func checkOrderOfFirstWrites(t *testing.T, commits []*shard.Commit, kinds map[string]string, n int) {
	t.Helper()
	order := map[string]int{"restart": 0, "start": 1, "final": 1, "cancel": 2, "progress": 3}
	written, last := map[string]bool{}, ""
	for _, commit := range commits {
		for _, w := range commit.Writes {
			kind := kinds[w.Job]
			if kind == "" || written[w.Job] {
				continue
			}
			written[w.Job] = true
			assert.Assert(t, last == "" || order[last] <= order[kind], "%s is written after %s", kind, last)
			last = kind
		}
	}
	assert.Equal(t, len(written), n)
}

// Guards against a late job of low priority whose start is recorded before that of a job that can still meet its objective.
func TestStartsAreRecordedInTheOrderOfTheBacklog(t *testing.T) {
	c := newFleetHarness(t, 10)
	c.run(time.Second)
	c.blockCommits()
	for i := range 60 {
		late := workflow.Job{ID: fmt.Sprintf("000000000000b0%02x", i), Queue: "q", AcceptedAt: 1, Steps: []workflow.Step{smallStep}}
		c.owner.Add(c.now, late)
	}
	c.run(100 * time.Millisecond)
	const inTime = "000000000000c000"
	c.add(workflow.Job{ID: inTime, Queue: "q", Steps: []workflow.Step{smallStep}})
	c.run(200 * time.Millisecond)
	received := len(c.store.received)
	c.release()
	c.run(300 * time.Millisecond)
	for _, w := range c.store.received[received].Writes {
		if w.Job == inTime {
			return
		}
		assert.Assert(t, !strings.HasPrefix(w.Job, "000000000000b0"), "a late job is first")
	}
	t.Fatal("the job is not in the first commit")
}
