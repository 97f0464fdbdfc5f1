package entry_test

import (
	"reflect"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/laburnumridge/laburnumridge/internal/entry"
	"github.com/laburnumridge/laburnumridge/internal/shard"
	"github.com/laburnumridge/laburnumridge/internal/workflow"
)

// Guards against a part of a handover that is lost in the record, which the next owner would not notice.
func TestHandoverRecordKeepsEveryPart(t *testing.T) {
	k := workflow.TaskKey{Occurrence: 1, Step: 2, Index: 3}
	h := shard.Handover{
		Progress: map[string]workflow.Progress{"a": {DoneThrough: 1, Tasks: []workflow.TaskRecord{{Key: k, Run: 2}}}},
		Running:  []shard.RunAge{{Age: time.Second, Job: "a", Key: k, Run: 2}},
		Unsent:   []shard.UnsentAttempt{{Job: "b", Key: k, Run: 4}},
		Waiting:  []shard.RunAge{{Age: time.Minute, Job: "c", Key: k, Run: 5}},
		Workers:  []shard.WorkerLease{{Born: 5, Draining: time.Minute, ID: "w", Left: time.Hour}},
	}
	got, err := entry.RecordedHandover(entry.EncodeHandover(7, h))
	assert.NilError(t, err)
	assert.Assert(t, reflect.DeepEqual(got, h), "%+v", got)
}
