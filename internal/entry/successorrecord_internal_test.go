package entry

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/laburnumridge/laburnumridge/internal/workflow"
)

// Guards against two fields of a record under one key: the one of the embedded record is not written then.
func TestSuccessorRecordKeepsTheHostsFields(t *testing.T) {
	in := successorRecord{hostRecord: hostRecord{Host: "h", ReadsCompact: true, SharesJobs: true}, Panics: 2}
	out, err := workflow.Decode[successorRecord](workflow.Encode(in))
	assert.NilError(t, err)
	assert.Equal(t, out.Panics, 2)
	assert.Equal(t, out.SharesJobs, true)
	assert.Equal(t, out.ReadsCompact, true)
}
