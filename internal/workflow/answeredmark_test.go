package workflow_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/laburnumridge/laburnumridge/internal/workflow"
)

// Guards against a start that counts as answered although its record is later than the mark, its job has unrecorded changes, or the mark names the run.
func TestMarkTellsOfRecordedStarts(t *testing.T) {
	first, second := workflow.TaskKey{}, workflow.TaskKey{Index: 1}
	mark := workflow.AnsweredMark{Except: []string{"b", "d"}, Open: []workflow.OpenStart{{Job: "a", Key: second, Run: 2, Worker: "w"}}, Through: 10}
	assert.Assert(t, mark.Covers("a", 10))
	assert.Assert(t, !mark.Covers("a", 11))
	assert.Assert(t, !mark.Covers("d", 9))
	p := workflow.Progress{Tasks: []workflow.TaskRecord{
		{Key: first, Attempts: []workflow.Attempt{{Run: 1, Worker: "w"}}},
		{Key: second, Attempts: []workflow.Attempt{{Run: 2, Worker: "w"}, {Run: 2, Worker: "v"}}},
	}}
	assert.DeepEqual(t, p.WithAnswers("a", mark).Answered, []workflow.AnsweredStart{{Key: first, Run: 1, Worker: "w"}, {Key: second, Run: 2, Worker: "v"}})
	assert.Equal(t, len(p.WithAnswers("c", mark).Answered), 3)
	assert.Equal(t, len(p.Answered), 0)
}
