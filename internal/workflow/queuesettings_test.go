package workflow_test

import (
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"github.com/laburnumridge/laburnumridge/internal/workflow"
)

// Guards against records that the build before can't read, and against records of that build that can't be read.
func TestRecordsWithSettingsAreReadByBuildBefore(t *testing.T) {
	type formerJob struct {
		ID         string          `cbor:"1,keyasint"`
		Queue      string          `cbor:"4,keyasint"`
		Steps      []workflow.Step `cbor:"7,keyasint"`
		AcceptedAt int64           `cbor:"8,keyasint,omitempty"`
	}
	type formerProgress struct {
		DoneThrough int                   `cbor:"1,keyasint,omitempty"`
		Tasks       []workflow.TaskRecord `cbor:"2,keyasint,omitempty"`
	}
	settings := workflow.QueueSettings{
		Advice: &workflow.Advice{PerCall: time.Second}, MaxAttempts: 3, Priority: 1, Service: "s", Stretch: 1.5, TargetLatency: time.Second,
	}
	job := workflow.Job{AcceptedAt: 7, ID: "000000000000000a", Queue: "q", Steps: []workflow.Step{{Count: 1}}}.WithSettings(settings)
	former, err := workflow.Decode[formerJob](workflow.Encode(job))
	assert.NilError(t, err)
	assert.Equal(t, former.ID, job.ID)
	assert.Equal(t, former.AcceptedAt, job.AcceptedAt)
	read, err := workflow.Decode[workflow.Job](workflow.Encode(job))
	assert.NilError(t, err)
	assert.Assert(t, read.Settings.Equal(settings))
	progress := workflow.Progress{DoneThrough: 2, Settings: &settings}
	formerRecord, err := workflow.Decode[formerProgress](workflow.Encode(progress))
	assert.NilError(t, err)
	assert.Equal(t, formerRecord.DoneThrough, 2)

	data, err := cbor.Marshal(former)
	assert.NilError(t, err)
	read, err = workflow.Decode[workflow.Job](data)
	assert.NilError(t, err)
	assert.Assert(t, read.Settings == nil)
	assert.Equal(t, read.ID, job.ID)
}
