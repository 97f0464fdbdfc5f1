package shard_test

import (
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/sirupsen/logrus/hooks/test"
	"gotest.tools/v3/assert"
)

// Guards against a failed long-running task that does not run again without a sign in the log of what it waits for.
func TestWaitingRestartIsLoggedWithReasons(t *testing.T) {
	c := newFleetHarness(t, 2)
	for _, job := range []string{"0000000000000001", "0000000000000002"} {
		c.addWholeWorkerJob(job, 0, 1)
	}
	c.run(time.Second)
	assert.Equal(t, len(c.running), 2)
	ended := c.running[0]
	c.worker(ended.Worker).Draining = true
	c.register()
	hook := test.NewLocal(c.log)
	for range 80 {
		c.run(100 * time.Millisecond)
		c.owner.ReportWaits(c.now)
	}
	var waits []*logrus.Entry
	for _, e := range hook.AllEntries() {
		if e.Data["decision"] == "wait" {
			waits = append(waits, e)
		}
	}
	assert.Equal(t, len(waits), 2)
	assert.DeepEqual(t, waits[0].Data, logrus.Fields{
		"decision": "wait", "job": ended.Job, "task": ended.Key.String(), "waited": waits[0].Data["waited"],
		"cpu_milli": int64(8000), "memory_mib": int64(10), "per_worker": 0, "leaving": 1, "no_cpu": 1,
	})
	waited, err := time.ParseDuration(waits[0].Data["waited"].(string))
	assert.NilError(t, err)
	assert.Assert(t, waited >= 2*time.Second && waited < 3*time.Second, waited)
}
