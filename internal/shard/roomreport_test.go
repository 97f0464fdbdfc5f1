package shard_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/sirupsen/logrus/hooks/test"
	"gotest.tools/v3/assert"

	"github.com/laburnumridge/laburnumridge/internal/fleet"
	"github.com/laburnumridge/laburnumridge/internal/workflow"
)

const (
	crowdedWorkers     = 20
	crowdedTasksPerJob = 8
)

// newCrowdedShard returns a shard whose workers are full of long-running tasks while about half as many wait that have lost their workers.
// Each worker has room for four tasks.
func newCrowdedShard(t *testing.T) *fleetHarness {
	t.Helper()
	c := newFleetHarness(t, crowdedWorkers+crowdedWorkers/2)
	c.stepsOnWake = true
	for i := range 4 * len(c.workers) / crowdedTasksPerJob {
		c.add(workflow.Job{ID: crowdedJob(i), Queue: "q", Steps: []workflow.Step{
			{Count: crowdedTasksPerJob, Resources: fleet.Resources{CPUMilli: 2000, MemoryMiB: 100}, LongRunning: true},
		}})
	}
	c.run(2 * time.Second)
	assert.Equal(t, len(c.running), 4*len(c.workers))
	for _, w := range c.workers[crowdedWorkers:] {
		w.Draining, w.Remaining = true, time.Minute
	}
	c.register()
	c.run(4 * time.Second)
	assert.Equal(t, len(c.running), 4*crowdedWorkers)
	return c
}

func crowdedJob(i int) string { return fmt.Sprintf("%016x", i) }

// Guards against logs that don't tell room on its way from one run to the next from room that nobody uses.
func TestRoomOfCrowdedShardIsLogged(t *testing.T) {
	c := newCrowdedShard(t)
	hook := test.NewLocal(c.log)
	c.owner.ReportRoom(c.now)
	e := hook.LastEntry()
	assert.Equal(t, e.Data["decision"], "room")
	assert.Equal(t, e.Data["waiting"], 4*crowdedWorkers/2)
	assert.Equal(t, e.Data["suitable"], 0)
	c.cancel(crowdedJob(0))
	c.owner.ReportRoom(c.now)
	assert.Check(t, hook.LastEntry().Data["stopping"].(int) > 0)
	c.run(time.Second)
	restarts := 0
	for _, e := range hook.AllEntries() {
		if e.Data["decision"] == "restart" {
			assert.Equal(t, e.Data["cpu_milli"], int64(2000))
			assert.Check(t, e.Data["last_end_age"] != nil)
			restarts++
		}
	}
	assert.Check(t, restarts > 0)
}
