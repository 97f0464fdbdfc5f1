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

const (
	jobsPerCommit = 40
	// slowTransaction and slowCommit are the times that the store takes for a transaction and for a commit of jobsPerCommit
	// records. The owner pauses before the next commit, and sees an answer in its next step.
	slowTransaction = 200 * time.Millisecond
	slowCommit      = 3*slowTransaction + 3*simulationStep
)

// progressPrefix begins the IDs of the jobs of newProgressHarness.
const progressPrefix = "0000000000003"

// newProgressHarness returns a harness with jobs of many independent steps, of which each job ends one every second. The
// records of these ends are progress that nobody waits for.
func newProgressHarness(t *testing.T, jobs int) *fleetHarness {
	t.Helper()
	c := newFleetHarness(t, 30)
	c.endCause = func(s shard.Start) shard.EndCause {
		if strings.HasPrefix(s.Job, progressPrefix) && c.age(s) > time.Duration(1+s.Key.Step)*time.Second {
			return shard.EndDone
		}
		return ""
	}
	for i := range jobs {
		j := workflow.Job{ID: fmt.Sprintf(progressPrefix+"%03x", i), Queue: "q"}
		for range 14 {
			j.Steps = append(j.Steps, workflow.Step{Count: 1, Resources: fleet.Resources{CPUMilli: 20, MemoryMiB: 10}})
		}
		c.add(j)
	}
	c.run(time.Second)
	c.store.answerTime = func() time.Duration { return slowTransaction }
	return c
}

// recordedFinal reports whether the final state of the job is written and answered.
func (c *fleetHarness) recordedFinal(job string) bool {
	for _, commit := range c.store.received {
		for _, w := range commit.Writes {
			if w.Job == job && w.Final != "" {
				return true
			}
		}
	}
	return false
}

// waitFor steps until done returns true and returns the time that this took, at most limit.
func (c *fleetHarness) waitFor(limit time.Duration, done func() bool) time.Duration {
	from := c.now
	for c.now.Sub(from) < limit && !done() {
		c.step()
	}
	return c.now.Sub(from)
}

// Guards against a first start and a final state that wait behind progress that nobody waits for, once all of a backlog is
// overdue.
func TestCallersOvertakeOverdueProgress(t *testing.T) {
	c := newProgressHarness(t, 160)
	c.run(4 * time.Second)
	// A new change waits for the commit in flight, and a start for its own commit too. The end is listed by a poll first.
	const (
		startWithin = 2*slowCommit + 10*simulationStep
		finalWithin = slowCommit + 10*simulationStep + 1500*time.Millisecond
	)
	var starts, finals time.Duration
	const trials = 3
	for i := range trials {
		assert.Assert(t, c.owner.Summary(c.now).Uncommitted > 2*jobsPerCommit, "the backlog lasts")
		id := fmt.Sprintf("000000000000400%x", i)
		c.add(workflow.Job{ID: id, Queue: "q", Steps: []workflow.Step{smallStep}})
		start := c.waitFor(10*time.Second, func() bool { return len(c.workersOf(id)) > 0 })
		c.endRunsWhere(func(s shard.Start) shard.EndCause {
			if s.Job == id {
				return shard.EndDone
			}
			return ""
		})
		final := c.waitFor(10*time.Second, func() bool { return c.recordedFinal(id) })
		t.Logf("started after %s, final state after %s", start, final)
		assert.Check(t, start <= startWithin, "started after %s", start)
		assert.Check(t, final <= finalWithin, "final state written after %s", final)
		starts, finals = starts+start, finals+final
	}
	t.Logf("on average: start %s, final state %s", starts/trials, finals/trials)
}

// Guards against changes that are never written while more urgent ones keep coming: progress under a lasting backlog of restarts
// and starts, and starts under one of restarts.
func TestNoChangeStarvesUnderLastingBacklog(t *testing.T) {
	const (
		restarting, starting, progressing = 160, 60, 30
		// What a commit of 40 jobs keeps for overdue starts, for overdue progress and for restarts, and the age from which a
		// change is overdue.
		startShare, progressShare, restartShare = 8, 16, 16
		overdueAfter                            = 1500 * time.Millisecond
	)
	c := newProgressHarness(t, progressing)
	progressEnds := c.endCause
	c.endCause = func(s shard.Start) shard.EndCause {
		if strings.HasPrefix(s.Job, progressPrefix) {
			return progressEnds(s)
		}
		if c.age(s) < 50*time.Millisecond {
			return ""
		}
		return shard.EndDone // a long-running task is started again
	}
	c.store.answerTime = nil
	longRunning := smallStep
	longRunning.LongRunning = true
	for i := range restarting {
		c.add(workflow.Job{ID: fmt.Sprintf("0000000000005%03x", i), Queue: "q", Steps: []workflow.Step{longRunning}})
	}
	for i := range starting {
		j := workflow.Job{ID: fmt.Sprintf("0000000000006%03x", i), Queue: "q"}
		for s := range 30 {
			j.Steps = append(j.Steps, smallStep)
			if s > 0 {
				j.Steps[s].After = []int{s - 1}
			}
		}
		c.add(j)
	}
	c.run(time.Second)
	c.store.answerTime = func() time.Duration { return slowTransaction }
	c.run(3 * time.Second)
	// A job has one unrecorded change at most. Once it is overdue, at most the other jobs of its kind are ahead of it in the
	// share; it waits for the commit in flight, for theirs and for its own.
	bound := func(jobs, share int) time.Duration {
		return overdueAfter + time.Duration((jobs+share-1)/share+1)*slowCommit
	}
	most := max(bound(starting, startShare), bound(progressing, progressShare), bound(restarting, restartShare))
	oldest := time.Duration(0)
	written := map[byte]int{}
	received := len(c.store.received)
	for range 2000 {
		c.step()
		oldest = max(oldest, c.owner.Summary(c.now).OldestUncommitted)
	}
	for _, commit := range c.store.received[received:] {
		for _, w := range commit.Writes {
			written[w.Job[12]]++
		}
	}
	t.Logf("oldest change: %s, bound %s; written: %d restarts, %d starts, %d progress", oldest, most, written['5'], written['6'], written['3'])
	assert.Check(t, oldest <= most, "a change was not recorded after %s", oldest)
	assert.Check(t, written['5'] >= restartShare*(len(c.store.received)-received), "restarts lack their share")
}
