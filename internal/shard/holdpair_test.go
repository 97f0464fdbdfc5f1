package shard_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/laburnumridge/laburnumridge/internal/fleet"
	"github.com/laburnumridge/laburnumridge/internal/shard"
	"github.com/laburnumridge/laburnumridge/internal/workflow"
)

// Guards against a failed long-running task that loses its place in a full shard because another one failed on the same worker at
// the same time and took over the hold.
func TestTasksThatFailTogetherKeepTheirPlaces(t *testing.T) {
	const large, small, waiting = "0000000000000001", "0000000000000002", "0000000000000003"
	cpu := map[string]int64{large: 6000, small: 2000}
	for _, order := range [][]string{{large, small}, {small, large}} {
		for _, room := range []int64{cpu[large], cpu[small]} {
			c := newFleetHarness(t, 1)
			add := func(id string, cpuMilli int64) {
				c.add(workflow.Job{ID: id, Queue: "q", Steps: []workflow.Step{
					{Count: 1, Resources: fleet.Resources{CPUMilli: cpuMilli, MemoryMiB: 10}, LongRunning: true},
				}})
				c.run(time.Second)
			}
			for _, id := range order {
				add(id, cpu[id])
			}
			add(waiting, room-100)
			c.endRunsWhere(func(shard.Start) shard.EndCause { return shard.EndFailed })
			c.run(time.Second)
			for _, id := range order {
				assert.Check(t, len(c.workersOf(id)) == 1, "started as %v, %d CPU wanted: job %s does not run again", order, room-100, id)
			}
		}
	}
}
