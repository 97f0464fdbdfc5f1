package host_test

import (
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/laburnumridge/laburnumridge/pkg/laburnumridge"
)

// TestScheduleAcrossTakeover guards against a schedule that ends, or a due run that is submitted twice, when the
// shard changes owner. Of the runs missed meanwhile, only the latest is submitted.
func TestScheduleAcrossTakeover(t *testing.T) {
	c := newCluster(t)
	a := c.start("a", c.url)
	c.publishNote(a)
	b := c.start("b", c.url)
	_, err := a.client.Publish(t.Context(), []byte(`id = "scheduled"
[[added]]
kind = "batch"
name = "tick"
every = "1s"
resources = { cpu_milli = 10, memory_mib = 10 }
run_time = "1ms"
`))
	assert.NilError(t, err)
	runsByDueTime := func() map[string]int {
		runs := map[string]int{}
		for _, r := range c.journal.Runs() {
			if at, ok := strings.CutPrefix(r.Task, "tick@"); ok {
				at, _, _ = strings.Cut(at, "/")
				runs[at]++
			}
		}
		return runs
	}
	waitForRuns := func(n int) {
		t.Helper()
		waitUntil(t, "runs", func() error {
			if got := len(runsByDueTime()); got < n {
				return fmt.Errorf("%d of %d", got, n)
			}
			return nil
		})
	}
	waitForRuns(2)
	a.stop()
	waitForRuns(len(runsByDueTime()) + 3)
	b.stop()
	runs := runsByDueTime()
	for at, n := range runs {
		assert.Equal(t, n, 1, "run %s", at)
	}
}

// TestWorkerThatRefuses guards against any outcome but not_run for a request that its only worker refuses before
// running it.
func TestWorkerThatRefuses(t *testing.T) {
	c := newCluster(t)
	a := c.start("a", c.url)
	c.publishNote(a)
	before := len(c.journal.Executions())
	c.worker.SetLeaving(true)
	for _, k := range []string{newKey(), ""} {
		r := a.post(k, "x")
		assert.Equal(t, r.outcome, string(laburnumridge.OutcomeNotRun), "%+v", r)
		c.journal.RecordNotRun(r.id)
	}
	assert.Equal(t, len(c.journal.Executions()), before)
}
