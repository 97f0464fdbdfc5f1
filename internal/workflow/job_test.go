package workflow_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/laburnumridge/laburnumridge/internal/workflow"
)

// Guards against a job record whose number of tasks overflows and passes the check: its owner would crash on it.
func TestSumOfTasksDoesNotOverflow(t *testing.T) {
	step := workflow.Step{Count: 1 << 62}
	j := workflow.Job{ID: "000000000000000a", Steps: []workflow.Step{step, step, step, step}}
	assert.ErrorIs(t, j.Check(), workflow.ErrInvalid)
}
