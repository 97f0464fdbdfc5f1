package shard_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/laburnumridge/laburnumridge/internal/fleet"
	"github.com/laburnumridge/laburnumridge/internal/shard"
	"github.com/laburnumridge/laburnumridge/internal/workflow"
)

// Guards against room that is promised to another shard although a task of the own shard waits for it, behind more classes of smaller tasks than
// room is kept for and that no worker could hold.
func TestRoomIsKeptBesideTasksThatNoWorkerCouldHold(t *testing.T) {
	c := newFleetHarness(t, 1)
	c.run(time.Second)
	now, capacity := c.now, c.workers[0].Capacity.CPUMilli
	for i := range 20 {
		j := workflow.Job{ID: fmt.Sprintf("%016x", 100+i), Queue: "q", Steps: []workflow.Step{{
			Count: 1, Label: "rare", LongRunning: true, Resources: fleet.Resources{CPUMilli: int64(10 + i), MemoryMiB: 10},
		}}}
		c.owner.Restore(now, j, workflow.Progress{Tasks: []workflow.TaskRecord{{Run: 1}}}, false)
	}
	restoreInterrupted(c.owner, now, 2, capacity/2)
	demand := []shard.Demand{{Count: 3, Resources: fleet.Resources{CPUMilli: capacity / 8, MemoryMiB: 10}, Service: "s"}}
	assert.DeepEqual(t, c.owner.Room(now, demand), []int{0})
}

// Guards against a task that stays beside room in another shard, because more equal tasks than are offered at once have waited for longer and may
// not go there: their job has as many guests as its records can name.
func TestTasksOfJobWithAllGuestsLeavePlacesToOthers(t *testing.T) {
	const guests, tasks = 8, 30
	c := newFleetHarness(t, 1)
	cpu := 2 * c.workers[0].Capacity.CPUMilli
	j := workflow.Job{ID: "0000000000000001", Queue: "q", Steps: []workflow.Step{{
		Count: tasks, LongRunning: true, Resources: fleet.Resources{CPUMilli: cpu, MemoryMiB: 10},
	}}}
	var progress workflow.Progress
	for i := range tasks {
		progress.Tasks = append(progress.Tasks, workflow.TaskRecord{Key: workflow.TaskKey{Index: i}, Run: 1})
	}
	c.owner.Restore(c.now, j, progress, false)
	c.run(time.Second)
	for to := range guests {
		assert.Equal(t, c.owner.Give(c.now, c.owner.Offers(c.now)[0], 1, 1+to), 1)
	}
	restoreInterrupted(c.owner, c.now, 2, cpu)
	c.run(time.Second)
	assert.Equal(t, c.owner.Give(c.now, c.owner.Offers(c.now)[0], 1, 1+guests), 1)
}
