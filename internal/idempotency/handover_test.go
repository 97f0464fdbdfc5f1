package idempotency_test

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/laburnumridge/laburnumridge/internal/idempotency"
)

// successor returns the table of the owner to which t is handed over at t0.
func successor(t *idempotency.Table) *idempotency.Table {
	handed, since := t.HandOver(1 << 20)
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
