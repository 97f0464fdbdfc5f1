package entry_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/laburnumridge/laburnumridge/internal/entry"
	"github.com/laburnumridge/laburnumridge/internal/shard"
	"github.com/laburnumridge/laburnumridge/internal/workflow"
)

// Guards against compact progress beside a job's own record of the former form, which an older build would restore without the done
// tasks, and against a compact record that the next owner of this build does not read.
func TestCompactRecordIsWrittenWithProgressAndRead(t *testing.T) {
	runConflict(t, func(t *testing.T, c *conflictHarness) {
		job := workflow.Job{ID: conflictJobA, Queue: "q", Steps: []workflow.Step{{Count: 2}}}
		record := workflow.Encode(workflow.CompactJob{Job: job})
		before := c.revision
		assert.Assert(t, c.writer.Write([]shard.JobWrite{{Job: conflictJobA, Progress: []byte("new a"), Record: record}}))
		assert.Equal(t, c.revision, before+1, "one transaction")
		assert.Equal(t, c.stored(conflictJobA), "new a")
		read, ok := c.writer.DecodeJob(c.items[entry.JobKey(conflictJobA)])
		assert.Assert(t, ok)
		assert.DeepEqual(t, read, job)
	})
}
