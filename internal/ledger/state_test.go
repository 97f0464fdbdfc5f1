package ledger_test

import (
	"encoding/json"
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/laburnumridge/laburnumridge/internal/ledger"
)

// Guards against a snapshot that loses part of the state.
func TestSnapshotDiffersFromReplay(t *testing.T) {
	s := boundState(t, true)
	data, err := json.Marshal(s)
	assert.NilError(t, err)
	var back ledger.State
	assert.NilError(t, json.Unmarshal(data, &back))
	assert.DeepEqual(t, back.Tasks(), s.Tasks())
	assert.DeepEqual(t, back.Jobs(), s.Jobs())
	assert.Equal(t, back.Epoch(), s.Epoch())
}

// Guards against Apply changing the state it is called on, which must be immutable.
func TestApplyMutatesEarlierState(t *testing.T) {
	s := boundState(t, false)
	_, err := s.Apply(ledger.NewBatch(t0, ledger.End("job/0", ledger.PhaseDone, "", 1)))
	assert.NilError(t, err)
	task, _ := s.Task("job/0")
	assert.Equal(t, task.Phase, ledger.PhaseBound)
}

// Guards against deleting the record of an ended job too early, which would let a repeated submission run again, and
// against keeping it for good.
func TestEndedJobIsDeletedWithinRetention(t *testing.T) {
	s, err := boundState(t, false).Apply(ledger.NewBatch(t0, ledger.End("job/0", ledger.PhaseDone, "", 1)))
	assert.NilError(t, err)
	s, err = s.Apply(ledger.NewBatch(t0.Add(time.Hour)))
	assert.NilError(t, err)
	_, ok := s.Job("job")
	assert.Assert(t, ok)
	s, err = s.Apply(ledger.NewBatch(t0.Add(time.Hour + time.Second)))
	assert.NilError(t, err)
	_, ok = s.Job("job")
	assert.Assert(t, !ok)
	assert.Equal(t, len(s.Tasks()), 0)
}

// Guards against log entries that bind an ended task or repeat an epoch.
func TestEndedTaskIsBoundAgain(t *testing.T) {
	s, err := boundState(t, false).Apply(ledger.NewBatch(t0, ledger.End("job/0", ledger.PhaseDone, "", 1)))
	assert.NilError(t, err)
	_, err = s.Apply(ledger.NewBatch(t0, ledger.Bind("job/0", "w2", 1, 0)))
	assert.Assert(t, errors.Is(err, ledger.ErrInvalidChange))
	_, err = s.Apply(ledger.NewBatch(t0, ledger.TakeOver(1, "old")))
	assert.Assert(t, errors.Is(err, ledger.ErrInvalidChange))
}

// Guards against log entries that grow: a binding and an end together take at most 200 bytes.
func TestStartAndEndExceedEntrySize(t *testing.T) {
	id := ledger.TaskID("release-plan@2026-01-01T05:30:00Z", 12)
	data, err := ledger.NewBatch(t0, ledger.Bind(id, "kelaniya-w17", 1, 0), ledger.End(id, ledger.PhaseDone, "", 2)).Encode()
	assert.NilError(t, err)
	empty, err := ledger.NewBatch(t0).Encode()
	assert.NilError(t, err)
	t.Logf("a binding and an end take %d bytes, the rest of the entry %d", len(data)-len(empty), len(empty))
	assert.Assert(t, len(data)-len(empty) <= 200)
	back, err := ledger.DecodeBatch(data)
	assert.NilError(t, err)
	assert.Equal(t, len(back.Changes), 2)
}
