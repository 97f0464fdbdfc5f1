package shard_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/laburnumridge/laburnumridge/internal/shard"
)

// Guards against an owner whose commits are behind without a sign of it in the log: a placed task then waits for its start,
// and no line tells for what.
func TestSummaryShowsUnansweredCommit(t *testing.T) {
	c := newFleetHarness(t, 1)
	c.submit()
	waited := time.Duration(0)
	var commit *shard.Commit
	for range 100 {
		c.now = c.now.Add(simulationStep)
		a := c.owner.Step(c.now)
		for _, p := range a.Polls {
			c.owner.Polled(c.now, p, c.now, shard.Listing{Born: 1, Clock: 1})
		}
		if a.Commit != nil {
			assert.Assert(t, commit == nil, "a second commit while the first is unanswered")
			commit = a.Commit
		}
		if commit != nil {
			waited += simulationStep
		}
	}
	s := c.owner.Summary(c.now)
	assert.Equal(t, s.Uncommitted, 1)
	assert.Assert(t, s.Unstarted > 0)
	assert.Equal(t, s.OldestUncommitted, waited-simulationStep)
	assert.Equal(t, s.OldestUnstarted, waited-simulationStep)
	c.owner.Committed(c.now, commit)
	assert.Equal(t, c.owner.Summary(c.now).Uncommitted, 0)
}
