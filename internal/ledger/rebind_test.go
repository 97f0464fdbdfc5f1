package ledger_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/laburnumridge/laburnumridge/internal/ledger"
)

// Guards against a bound task that can't start during a store outage because a rebinding of it is pending, and against
// starting it on its old worker while the outcome of that rebinding is unknown.
func TestFailedRebindingBlocksBoundTask(t *testing.T) {
	for name, tc := range map[string]struct {
		outcome func(*ledger.Owner)
		starts  int
	}{
		"not committed":   {outcome: (*ledger.Owner).NotCommitted, starts: 1},
		"outcome unknown": {outcome: (*ledger.Owner).OutcomeUnknown, starts: 0},
	} {
		t.Run(name, func(t *testing.T) {
			b := newOwnerFixture(t, ledger.State{}, 1, "w1", "w2")
			b.respond("w1", "boot", true)
			b.acceptAndBind(batchJob("job", 4, 2), "w1") // w1 has room for one of the tasks
			b.commitProposed()
			b.respond("w1", "boot", true)
			b.advance(0)
			assert.Equal(t, len(b.lastActions.Starts), 1)
			b.Started(b.now, b.lastActions.Starts[0])

			assert.Assert(t, b.MayRebind(b.now))
			assert.NilError(t, b.Bind("job/1", "w2"))
			b.renewAndAdvance(time.Second)
			assert.Assert(t, b.proposedCommit != nil)
			tc.outcome(b.Owner)
			assert.Assert(t, !b.MayRebind(b.now))
			b.respond("w1", "boot", true, taskReport("job/0", 1, ledger.PhaseDone, 0))
			b.advance(time.Second)
			assert.Equal(t, len(b.lastActions.Starts), tc.starts)
		})
	}
}
