package ledger_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/laburnumridge/laburnumridge/internal/ledger"
)

// Guards against checkpoints of a store outage that are queued one by one, so that after the outage bindings wait until all of
// them are committed, four batches a second.
func TestBindingsDoNotWaitForCheckpointsOfOutage(t *testing.T) {
	b := newOwnerFixture(t, ledger.State{}, 1, "w1", "w2")
	b.respond("w1", "boot", true)
	b.acceptAndBind(batchJob("job", 2, 1), "w1")
	b.commitProposed()
	b.respond("w1", "boot", true)
	b.advance(0)
	assert.Equal(t, len(b.lastActions.Starts), 1)
	assert.Assert(t, b.Accept(batchJob("urgent", 1, 1)))
	b.commitProposed()
	const reports = 1800 // an hour of heartbeats
	for i := range reports {
		b.respond("w1", "boot", true, taskReport("job/0", 1, ledger.PhaseRunning, int64(i+1)))
		b.renewAndAdvance(2 * time.Second)
		if b.proposedCommit != nil {
			b.NotCommitted()
			b.proposedCommit = nil
		}
	}
	assert.NilError(t, b.Bind("urgent/0", "w2"))
	commits := 0
	for task, _ := b.State().Task("urgent/0"); task.Worker == ""; task, _ = b.State().Task("urgent/0") {
		b.commitProposed()
		commits++
	}
	assert.Assert(t, commits <= 2, "the binding is in commit %d", commits)
	task, _ := b.State().Task("job/0")
	assert.Equal(t, task.Checkpoint, int64(reports))
}
