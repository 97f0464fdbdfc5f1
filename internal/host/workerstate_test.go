package host_test

import (
	"encoding/json"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/laburnumridge/laburnumridge/internal/host"
	"github.com/laburnumridge/laburnumridge/internal/worker"
)

// FuzzMergeReports guards against a panic on a worker's report, a task that is listed twice, and a task that is kept
// although a full report no longer lists it.
func FuzzMergeReports(f *testing.F) {
	f.Add([]byte(`{"full":true,"boot_id":"b","tasks":[{"task":"t","attempt":1,"phase":"running"}]}`),
		[]byte(`{"tasks":[{"task":"t","attempt":1,"phase":"done"},{"task":"t","attempt":0,"phase":"?"}]}`))
	f.Add([]byte(`{"tasks":[{"task":"","attempt":-1}]}`), []byte(`{"full":true}`))
	f.Add([]byte(`null`), []byte(`{"tasks":[{}],"token":"x","epoch":-9}`))
	f.Fuzz(func(t *testing.T, first, second []byte) {
		var a, b worker.Report
		if json.Unmarshal(first, &a) != nil || json.Unmarshal(second, &b) != nil {
			return
		}
		got := host.MergeReports("w", a, b)
		listed := map[string]bool{}
		for _, task := range got.Tasks {
			assert.Assert(t, !listed[task.Task], "task %q is listed twice", task.Task)
			listed[task.Task] = true
		}
		if b.Full {
			for _, task := range b.Tasks {
				assert.Assert(t, listed[task.Task])
				delete(listed, task.Task)
			}
			assert.Equal(t, len(listed), 0)
		}
		assert.Equal(t, got.Token, b.Token)
	})
}
