package idempotency_test

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/laburnumridge/laburnumridge/internal/idempotency"
)

// successor returns the table of the owner to which t is handed over at t0.
func successor(t *idempotency.Table) *idempotency.Table { return successorWith(t.HandOver(1 << 20)) }

// successorOfServing returns the table of the owner to which t, of an owner with the given epoch, is handed over while it serves.
func successorOfServing(t *idempotency.Table, epoch int64) *idempotency.Table {
	return successorWith(t.HandOverWhileServing(1<<20, epoch, t0.Add(time.Minute)))
}

func successorWith(handed []idempotency.HandoverEntry, since time.Time) *idempotency.Table {
	next := idempotency.NewTable(idempotency.DefaultLimits())
	next.SetWorkers([]string{"w1", "w2", "w3"})
	next.AcceptHandover(t0, handed, since)
	heartbeat(next, t0, "w1", "w2")
	return next
}

// Guards against running a request again after its key was handed over to the next owner.
func TestHandedOverKeyIsNotRunAgain(t *testing.T) {
	old := serving(idempotency.DefaultLimits())
	done, running := keyAt(t0, 1), keyAt(t0, 2)
	assert.Equal(t, verdict(old, t0, done), idempotency.VerdictProceed)
	old.Finish(done, idempotency.OutcomeDone, idempotency.Response{Status: http.StatusOK, Body: []byte("dosed")})
	assert.Equal(t, verdict(old, t0, running), idempotency.VerdictProceed)
	next := successor(old)
	assert.Equal(t, verdict(old, t0, keyAt(t0, 3)), idempotency.VerdictHandingOver)
	assert.Equal(t, verdict(next, t0, done), idempotency.VerdictReplay)
	assert.Equal(t, verdict(next, t0, running), idempotency.VerdictUnknown)
	assert.Equal(t, verdict(next, t0, keyAt(t0, 3)), idempotency.VerdictProceed)
}

// Guards against an owner that treats the table handed over by its predecessor as complete for keys minted
// before the predecessor's own takeover; an owner before that may have run them.
func TestKeyOfOwnerBeforePredecessorIsNotRunAgain(t *testing.T) {
	old := serving(idempotency.DefaultLimits())
	early := keyAt(t0.Add(-time.Minute), 1) // older than the predecessor's own takeover
	assert.Equal(t, verdict(old, t0, early), idempotency.VerdictUnknown)
	assert.Equal(t, verdict(successor(old), t0, early), idempotency.VerdictUnknown)
}

// Guards against an owner that drains before it has fenced its workers and hands its table over as a complete one. The next
// owner would run keys again that an owner which crashed before had run.
func TestTableThatNeverServedIsNotHandedOver(t *testing.T) {
	old := idempotency.NewTable(idempotency.DefaultLimits())
	old.SetWorkers([]string{"w1", "w2", "w3"})
	assert.Assert(t, !old.CanHandOver())
	heartbeat(old, t0, "w1", "w2")
	assert.Assert(t, old.CanHandOver())
	assert.Assert(t, successor(old).CanHandOver())
	first := idempotency.NewTable(idempotency.DefaultLimits())
	first.AcceptHandover(t0, nil, time.Time{})
	assert.Assert(t, first.CanHandOver(), "the first owner of a shard has a complete table")
}

// Guards against running a request again, and against losing its answer, if its key is handed over while it runs.
func TestKeyHandedOverWhileRunning(t *testing.T) {
	done, refused, silent := keyAt(t0, 1), keyAt(t0, 2), keyAt(t0, 3)
	old := serving(idempotency.DefaultLimits())
	for _, k := range []idempotency.Key{done, refused, silent} {
		assert.Equal(t, verdict(old, t0, k), idempotency.VerdictProceed)
	}
	next := successorOfServing(old, 4)
	assert.Equal(t, next.Close(), 0, "a drain waits for requests that another host runs")
	next = successorOfServing(next, 5)
	for _, k := range []idempotency.Key{done, refused, silent} {
		assert.Equal(t, verdict(old, t0, k), idempotency.VerdictHandingOver)
		assert.Equal(t, verdict(next, t0, k), idempotency.VerdictRunning)
	}
	late := old.Finish(done, idempotency.OutcomeDone, idempotency.Response{Status: http.StatusOK, Body: []byte("dosed")})
	assert.Assert(t, next.AcceptLateOutcome(*late))
	c := next.Claim(t0, done, fingerprint)
	assert.Equal(t, c.Verdict, idempotency.VerdictReplay)
	assert.Equal(t, string(c.Response.Body), "dosed")
	assert.Assert(t, next.AcceptLateOutcome(*old.Release(refused)))
	assert.Equal(t, verdict(next, t0, refused), idempotency.VerdictProceed)
	assert.Equal(t, verdict(next, t0.Add(time.Minute), silent), idempotency.VerdictUnknown, "its owner died")
}

// Guards against a delayed or repeated report that a request was not run, which would free the key of a later request that another
// owner runs, and against a report that is lost at an owner that has handed the key on.
func TestLateOutcomeOfOtherRequestIsIgnored(t *testing.T) {
	k := keyAt(t0, 1)
	first := serving(idempotency.DefaultLimits())
	assert.Equal(t, verdict(first, t0, k), idempotency.VerdictProceed)
	second := successorOfServing(first, 4)
	late := first.Release(k)
	assert.Assert(t, second.AcceptLateOutcome(*late))
	assert.Equal(t, verdict(second, t0, k), idempotency.VerdictProceed)
	assert.Assert(t, second.AcceptLateOutcome(*late))
	assert.Equal(t, verdict(second, t0, k), idempotency.VerdictRunning)
	third := successorOfServing(second, 5)
	assert.Assert(t, !second.AcceptLateOutcome(*late), "the third owner has to be told")
	assert.Assert(t, third.AcceptLateOutcome(*late))
	assert.Equal(t, verdict(third, t0, k), idempotency.VerdictRunning)
	assert.Assert(t, serving(idempotency.DefaultLimits()).Release(k) == nil)
}
