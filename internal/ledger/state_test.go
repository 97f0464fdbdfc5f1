package ledger_test

import (
	"encoding/json"
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/laburnumridge/laburnumridge/internal/ledger"
)

func TestSnapshotDiffersFromReplay(t *testing.T) {
	s := stateOf(t, true)
	data, err := json.Marshal(s)
	assert.NilError(t, err)
	var back ledger.State
	assert.NilError(t, json.Unmarshal(data, &back))
	assert.DeepEqual(t, back.Tasks(), s.Tasks())
	assert.DeepEqual(t, back.Jobs(), s.Jobs())
	assert.Equal(t, back.Epoch(), s.Epoch())
}

func TestApplyChangesEarlierState(t *testing.T) {
	s := stateOf(t, false)
	_, err := s.Apply(ledger.NewBatch(t0, ledger.End("job/0", ledger.PhaseDone, "", 1)))
	assert.NilError(t, err)
	task, _ := s.Task("job/0")
	assert.Equal(t, task.Phase, ledger.PhaseBound)
}

func TestRepeatedJobIsForgottenWithinRetention(t *testing.T) {
	s, err := stateOf(t, false).Apply(ledger.NewBatch(t0, ledger.End("job/0", ledger.PhaseDone, "", 1)))
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

func TestEndedTaskIsBoundAgain(t *testing.T) {
	s, err := stateOf(t, false).Apply(ledger.NewBatch(t0, ledger.End("job/0", ledger.PhaseDone, "", 1)))
	assert.NilError(t, err)
	_, err = s.Apply(ledger.NewBatch(t0, ledger.Bind("job/0", "w2", 1, 0)))
	assert.Assert(t, errors.Is(err, ledger.ErrInvalidChange))
	_, err = s.Apply(ledger.NewBatch(t0, ledger.TakeOver(1, "old")))
	assert.Assert(t, errors.Is(err, ledger.ErrInvalidChange))
}

func TestStartAndEndTakeManyBytes(t *testing.T) {
	id := ledger.TaskID("release-plan@2026-01-01T05:30:00Z", 12)
	data, err := ledger.NewBatch(t0, ledger.Bind(id, "kelaniya-w17", 1, 0), ledger.End(id, ledger.PhaseDone, "", 2)).Encode()
	assert.NilError(t, err)
	empty, err := ledger.NewBatch(t0).Encode()
	assert.NilError(t, err)
	t.Logf("%d bytes for a start and end pair, %d for the rest of the entry", len(data)-len(empty), len(empty))
	assert.Assert(t, len(data)-len(empty) <= 200)
	back, err := ledger.DecodeBatch(data)
	assert.NilError(t, err)
	assert.Equal(t, len(back.Changes), 2)
}
