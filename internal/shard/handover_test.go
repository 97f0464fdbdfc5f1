package shard_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against an owner with a lasting backlog that never comes to an end of its commits when it hands the shard over.
func TestOwnerEndsItsCommitsForHandover(t *testing.T) {
	const answerTime = 200 * time.Millisecond
	for _, warmUp := range []time.Duration{2 * time.Second, 5 * time.Second, 5100 * time.Millisecond} {
		c := newLoadedHarness(t, 400, func() time.Duration { return answerTime })
		c.run(warmUp)
		for !c.owner.IsCommitting() {
			c.step()
		}
		received, took := len(c.store.received), time.Duration(0)
		c.owner.BeginHandover()
		for c.owner.IsCommitting() {
			c.step()
			took += simulationStep
			assert.Assert(t, took <= 6*answerTime, "a commit of 40 jobs takes up to six transactions")
		}
		c.run(time.Second)
		starts := len(c.starts)
		c.run(time.Second)
		assert.Equal(t, len(c.store.received), received, "a commit begins during the handover")
		assert.Equal(t, len(c.starts), starts, "tasks are started during the handover")
		assert.Assert(t, c.owner.Summary(c.now).Uncommitted > 0, "the backlog lasts")
	}
}
