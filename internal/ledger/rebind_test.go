package ledger_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/laburnumridge/laburnumridge/internal/ledger"
)

// Guards against a bound task that waits in an outage of the store for a binding to another worker, and against its
// start where it was bound when that binding may have been written.
func TestRebindingThatIsNotCommitted(t *testing.T) {
	for name, tc := range map[string]struct {
		outcome func(*ledger.Owner)
		starts  int
	}{
		"not committed":   {outcome: (*ledger.Owner).NotCommitted, starts: 1},
		"outcome unknown": {outcome: (*ledger.Owner).OutcomeUnknown, starts: 0},
	} {
		t.Run(name, func(t *testing.T) {
			b := newBench(t, ledger.State{}, 1, "w1", "w2")
			b.answer("w1", "boot", true)
			b.bound(batch("job", 4, 2), "w1") // w1 has room for one of the tasks
			b.commit()
			b.answer("w1", "boot", true)
			b.tick(0)
			assert.Equal(t, len(b.last.Starts), 1)
			b.Started(b.now, b.last.Starts[0])

			assert.Assert(t, b.MayRebind(b.now))
			assert.NilError(t, b.Bind("job/1", "w2"))
			b.renewed(time.Second)
			assert.Assert(t, b.proposal != nil)
			tc.outcome(b.Owner)
			assert.Assert(t, !b.MayRebind(b.now))
			b.answer("w1", "boot", true, report("job/0", 1, ledger.PhaseDone, 0))
			b.tick(time.Second)
			assert.Equal(t, len(b.last.Starts), tc.starts)
		})
	}
}
