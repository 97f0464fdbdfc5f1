package shard_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/laburnumridge/laburnumridge/internal/fleet"
	"github.com/laburnumridge/laburnumridge/internal/shard"
	"github.com/laburnumridge/laburnumridge/internal/workflow"
)

// commitStore answers the commits of a fleetHarness.
type commitStore struct {
	// answerTime returns how long a transaction takes; nil means that commits are answered at once.
	answerTime func() time.Duration
	// received lists all commits.
	received   []*shard.Commit
	unanswered []unansweredCommit
	// answered counts the answers.
	answered int
	// refuses returns the failure of a write that the store refuses for good, or nil; nil means that it refuses none.
	refuses func(shard.JobWrite) *shard.FailedWrite
}

type unansweredCommit struct {
	*shard.Commit
	answerAt time.Time
}

// step receives a commit, if there is one, and answers those that are due.
func (s *commitStore) step(sim *simulation, c *shard.Commit) {
	if c != nil {
		at := sim.now
		for range transactions(c) {
			if s.answerTime != nil {
				at = at.Add(s.answerTime())
			}
		}
		for _, other := range s.unanswered {
			if job := commonJob(c, other.Commit); job != "" {
				sim.t.Fatalf("job %s is in two unanswered commits", job)
			}
		}
		s.received, s.unanswered = append(s.received, c), append(s.unanswered, unansweredCommit{c, at})
	}
	var due []unansweredCommit
	s.unanswered = slices.DeleteFunc(s.unanswered, func(u unansweredCommit) bool {
		if sim.now.Before(u.answerAt) {
			return false
		}
		due = append(due, u)
		return true
	})
	for _, u := range due {
		var failed []shard.FailedWrite
		for _, w := range u.Writes {
			if s.refuses != nil && s.refuses(w) != nil {
				failed = append(failed, *s.refuses(w))
			}
		}
		sim.owner.Committed(sim.now, u.Commit, failed...)
	}
	s.answered += len(due)
}

// transactions returns the number of transactions that a commit takes: one has 32 entries at most, of which one guards the
// owner's key. The store takes them one after the other, as if it were the bottleneck.
func transactions(c *shard.Commit) int {
	n, entries := 1, 1
	for _, w := range c.Writes {
		size := 2
		if w.Final != "" {
			size = 3
		}
		if entries += size; entries > 32 {
			n, entries = n+1, 1+size
		}
	}
	return n
}

// commonJob returns a job that both commits write, or "".
func commonJob(a, b *shard.Commit) string {
	for _, w := range a.Writes {
		if slices.ContainsFunc(b.Writes, func(other shard.JobWrite) bool { return other.Job == w.Job }) {
			return w.Job
		}
	}
	return ""
}

// list remembers when a worker listed its ends first.
func (c *fleetHarness) list(worker string, ends []shard.EndRow) {
	if c.listedAt[worker] == nil {
		c.listedAt[worker] = map[int64]time.Time{}
	}
	c.endsListed += len(ends)
	for _, e := range ends {
		if _, ok := c.listedAt[worker][e.Number]; !ok {
			c.listedAt[worker][e.Number] = c.now
		}
	}
}

// acknowledge removes the ends that a poll acknowledges.
func (c *fleetHarness) acknowledge(p shard.Poll) {
	c.endedByWorker[p.Worker] = slices.DeleteFunc(c.endedByWorker[p.Worker], func(e shard.EndRow) bool {
		if e.Number <= p.LastSeen && e.Number <= c.worker(p.Worker).lastEndBeforeExpiry {
			c.voidedEnds++
		}
		return e.Number <= p.LastSeen
	})
	for n, at := range c.listedAt[p.Worker] {
		c.longestUnacknowledged = max(c.longestUnacknowledged, c.now.Sub(at))
		if n <= p.LastSeen {
			delete(c.listedAt[p.Worker], n)
		}
	}
}

const longRunningJobs = 4

// newLoadedHarness returns a harness with jobs of long-running tasks and batch jobs, which are chains of many short steps and
// change all the time.
func newLoadedHarness(t *testing.T, batchJobs int, answerTime func() time.Duration) *fleetHarness {
	t.Helper()
	c := newFleetHarness(t, 30)
	c.store.answerTime = answerTime
	c.endCause = func(s shard.Start) shard.EndCause {
		if c.jobs[s.Job].IsLongRunning() || c.age(s) < time.Duration(400+17*(s.Key.Step+7*s.Key.Index)%600)*time.Millisecond {
			return ""
		}
		return shard.EndDone
	}
	for i := range longRunningJobs {
		c.add(workflow.Job{ID: fmt.Sprintf("00000000000001%02x", i), Queue: "q", Steps: []workflow.Step{{
			Count: 3, Resources: fleet.Resources{CPUMilli: 1000, MemoryMiB: 10}, LongRunning: true,
		}}})
	}
	for i := range batchJobs {
		j := workflow.Job{ID: fmt.Sprintf("0000000000002%03x", i), Queue: "q"}
		for s := range 60 {
			step := workflow.Step{Count: 3, Resources: fleet.Resources{CPUMilli: 200, MemoryMiB: 10}, Estimate: 700 * time.Millisecond}
			if s > 0 {
				step.After = []int{s - 1}
			}
			j.Steps = append(j.Steps, step)
		}
		c.add(j)
	}
	return c
}

func (c *fleetHarness) add(j workflow.Job) {
	j.AcceptedAt = c.now.UnixMilli()
	c.jobs[j.ID] = j
	c.owner.Add(c.now, j)
}

// failLongRunning ends the run of a long-running task as failed and returns the time until the task runs again, at most
// limit.
func (c *fleetHarness) failLongRunning(job string, index int, limit time.Duration) time.Duration {
	c.t.Helper()
	failedRun := 0
	c.endRunsWhere(func(s shard.Start) shard.EndCause {
		if s.Job != job || s.Key.Index != index {
			return ""
		}
		failedRun = s.Run
		return shard.EndFailed
	})
	assert.Assert(c.t, failedRun > 0, "the task runs")
	failedAt := c.now
	for c.now.Sub(failedAt) < limit {
		c.step()
		for _, s := range c.running {
			if s.Job == job && s.Key.Index == index {
				return c.now.Sub(failedAt)
			}
		}
	}
	return limit
}

// Guards against a failed long-running task whose new run waits behind the records of progress that nobody waits for.
func TestRestartOvertakesProgressAtSlowStore(t *testing.T) {
	c := newLoadedHarness(t, 400, func() time.Duration { return 200 * time.Millisecond })
	c.run(12 * time.Second)
	for i := range 2 * longRunningJobs {
		took := c.failLongRunning(fmt.Sprintf("00000000000001%02x", i%longRunningJobs), i%3, 10*time.Second)
		t.Log("started again after", took)
		assert.Check(t, took < 3*time.Second, "started again after %s", took)
	}
}

// Guards against ends that are never acknowledged, and listed again in each poll, while the owner always has unrecorded changes.
func TestEndsAreAcknowledgedUnderLastingBacklog(t *testing.T) {
	c := newLoadedHarness(t, 120, func() time.Duration { return 200 * time.Millisecond })
	c.run(3 * time.Second)
	for range 150 {
		c.run(100 * time.Millisecond)
		assert.Assert(t, c.owner.Summary(c.now).Uncommitted > 0, "the backlog lasts")
	}
	ended := int64(0)
	for _, n := range c.lastEndNumber {
		ended += n
	}
	t.Logf("acknowledged after %s, ends: %d, listed %d times", c.longestUnacknowledged, ended, c.endsListed)
	assert.Assert(t, c.longestUnacknowledged < 4*time.Second, "acknowledged after %s", c.longestUnacknowledged)
}

// Guards against frequent polls that list the same unrecorded ends again and add work to an owner whose commits are late, and
// against an acknowledgement that waits for the longer pause between these polls.
func TestUnrecordedEndsAreListedSeldom(t *testing.T) {
	const blocked = 3 * time.Second
	c := newFleetHarness(t, 1)
	for _, id := range []string{"0000000000000001", "0000000000000002"} {
		c.add(workflow.Job{ID: id, Queue: "q", Steps: []workflow.Step{smallStep}})
	}
	c.run(time.Second)
	c.store.answerTime = func() time.Duration { return time.Hour }
	c.endRunsWhere(func(s shard.Start) shard.EndCause {
		if s.Job == "0000000000000001" {
			return shard.EndDone
		}
		return ""
	})
	c.run(blocked)
	most := int(blocked/shard.DefaultTiming().UnrecordedPollInterval) + 2
	assert.Assert(t, c.endsListed > 0 && c.endsListed <= most, "the end was listed %d times in %s", c.endsListed, blocked)
	for listed := c.endsListed; c.endsListed == listed; {
		c.step()
	}
	c.release()
	c.run(2*simulationStep + shard.DefaultTiming().PollInterval)
	for worker, ends := range c.listedAt {
		assert.Equal(t, len(ends), 0, "ends of worker %s that are not acknowledged", worker)
	}
}
