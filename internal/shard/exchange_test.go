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

// restoreInterrupted adds a job with one long-running task that ran before and has no run.
func restoreInterrupted(o *shard.Owner, now time.Time, number int, cpu int64) {
	j := workflow.Job{ID: fmt.Sprintf("%016x", number), Queue: "q", Steps: []workflow.Step{{
		Count: 1, LongRunning: true, Resources: fleet.Resources{CPUMilli: cpu, MemoryMiB: 10},
	}}}
	o.Restore(now, j, workflow.Progress{Tasks: []workflow.TaskRecord{{Run: 1}}}, false)
}

// Guards against offers of the oldest tasks alone, which may be larger than all room: smaller ones would wait beside room that fits them.
func TestOffersHaveOldestAndSmallestTasks(t *testing.T) {
	const jobs = 40
	c := newFleetHarness(t, 1)
	c.silent, c.workers[0].Capacity = c.workers[0].ID, fleet.Resources{CPUMilli: 1000 * jobs, MemoryMiB: 1000} // could hold each of the tasks
	c.register()
	for i := range jobs {
		restoreInterrupted(c.owner, c.now, i, int64(1000*(jobs-i)))
		c.run(10 * time.Millisecond)
	}
	assert.Equal(t, len(c.owner.Offers(c.now)), 0, "the tasks have not waited for long enough")
	c.run(3 * time.Second)
	sizes := map[int64]bool{}
	for _, f := range c.owner.Offers(c.now) {
		sizes[f.Resources.CPUMilli] = true
	}
	assert.Assert(t, sizes[1000*jobs], "the oldest task is offered")
	assert.Assert(t, sizes[1000], "the smallest task is offered")
}

// Guards against tasks that wait in a shard without a worker that could hold them, as long as those whose shard may take them soon.
func TestTasksThatNoWorkerCouldHoldAreOfferedAtOnce(t *testing.T) {
	c := newFleetHarness(t, 1)
	capacity := c.workers[0].Capacity.CPUMilli
	restoreInterrupted(c.owner, c.now, 1, capacity)
	restoreInterrupted(c.owner, c.now, 2, capacity)
	restoreInterrupted(c.owner, c.now, 3, 2*capacity)
	c.run(time.Second)
	offers := c.owner.Offers(c.now)
	assert.Equal(t, len(offers), 1)
	assert.Equal(t, offers[0].Resources.CPUMilli, 2*capacity)
	assert.Assert(t, offers[0].IsUnsuited)
	c.run(time.Second)
	offers = c.owner.Offers(c.now)
	assert.Equal(t, len(offers), 2)
	assert.Assert(t, !offers[0].IsUnsuited || !offers[1].IsUnsuited)
}

// Guards against room that is promised to another shard although a waiting task of the own shard takes it at once.
func TestRoomIsKeptForWaitingTasksOfShard(t *testing.T) {
	c := newFleetHarness(t, 1)
	c.run(time.Second)
	now, capacity := c.now, c.workers[0].Capacity.CPUMilli
	demand := []shard.Demand{{Count: 3, Resources: fleet.Resources{CPUMilli: capacity / 8, MemoryMiB: 10}, Service: "s"}}
	assert.DeepEqual(t, c.owner.Room(now, demand), []int{3})
	restoreInterrupted(c.owner, now, 1, 2*capacity)
	assert.DeepEqual(t, c.owner.Room(now, demand), []int{3})
	restoreInterrupted(c.owner, now, 2, capacity/2)
	assert.DeepEqual(t, c.owner.Room(now, demand), []int{0})
}

// Guards against room that a shard promises to no other one, or to one that can't use it, because of a limit of tasks per worker: a
// waiting task that no worker of its shard may take keeps no room, and tasks of a step that a worker has already count.
func TestRoomCountsTasksPerWorker(t *testing.T) {
	c := newFleetHarness(t, 1)
	c.run(time.Second)
	step := workflow.Step{Count: 2, LongRunning: true, PerWorker: 1, Resources: fleet.Resources{CPUMilli: 1000, MemoryMiB: 10}}
	j := workflow.Job{ID: "0000000000000001", Queue: "q", Steps: []workflow.Step{step}}
	c.owner.Restore(c.now, j, workflow.Progress{Tasks: []workflow.TaskRecord{{Run: 1}, {Key: workflow.TaskKey{Index: 1}, Run: 1}}}, false)
	c.jobs[j.ID] = j
	c.run(3 * time.Second)
	assert.Equal(t, len(c.running), 1)
	other := shard.Demand{Count: 3, Resources: step.Resources, Service: "s"}
	assert.DeepEqual(t, c.owner.Room(c.now, []shard.Demand{other}), []int{3})
	offers := c.owner.Offers(c.now)
	assert.Equal(t, len(offers), 1)
	assert.DeepEqual(t, c.owner.Room(c.now, []shard.Demand{offers[0].Demand}), []int{0})
}

// Guards against tasks that never ran and take the room that a shard keeps for its short tasks, when another shard gives them.
func TestRoomForNewTasksLeavesHeadroom(t *testing.T) {
	const workers = 4
	c := newFleetHarness(t, workers)
	c.run(time.Second)
	capacity := c.workers[0].Capacity.CPUMilli
	c.add(workflow.Job{ID: "0000000000000001", Queue: "q", Steps: []workflow.Step{
		{Count: 3, Resources: fleet.Resources{CPUMilli: capacity, MemoryMiB: 10}},
	}})
	c.endCause = func(shard.Start) shard.EndCause { return shard.EndDone }
	c.run(time.Second)
	demand := shard.Demand{Count: 2 * workers, Resources: fleet.Resources{CPUMilli: capacity / 2, MemoryMiB: 10}, Service: "s"}
	assert.DeepEqual(t, c.owner.Room(c.now, []shard.Demand{demand}), []int{2 * workers})
	demand.IsNew = true
	assert.DeepEqual(t, c.owner.Room(c.now, []shard.Demand{demand}), []int{2 * (workers - 1)})
}

// Guards, for a guest whose clock is behind that of the home, against tasks of a job with an occurrence that are not held until it is due there,
// and against those that other shards hold and that start once it is.
func TestGuestHoldsTasksOfOccurrenceBeforeItIsDue(t *testing.T) {
	c := newFleetHarness(t, 2)
	c.run(time.Second)
	j := workflow.Job{ID: "0000000000000001", Queue: "q", Steps: []workflow.Step{smallStep, smallStep}, Occurrences: 1, StartAt: c.now.Add(10 * time.Second).UnixMilli()}
	j.Steps[0].Count, j.Steps[1].After = 3, []int{0}
	c.jobs[j.ID] = j
	held := workflow.HeldTask{Hop: 1, Record: workflow.TaskRecord{Key: workflow.TaskKey{Index: 1}}}
	c.owner.AllowSharedEnds(true)
	c.owner.ApplyShared(c.now, workflow.SharedJob{Home: 7, Job: j, Tasks: []workflow.HeldTask{held}})
	c.run(time.Second)
	assert.Equal(t, len(c.starts), 1)
	c.run(15 * time.Second)
	assert.Equal(t, len(c.starts), 1)
	assert.Equal(t, c.starts[0].Key.Index, 1)
}

// Guards against shards that promise room to short tasks of others while such tasks of their own wait for it.
func TestRoomForShortTasksIsLeftToThoseOfShard(t *testing.T) {
	c := newFleetHarness(t, 1)
	c.run(time.Second)
	capacity := c.workers[0].Capacity.CPUMilli
	demand := shard.Demand{Count: 3, IsShort: true, Resources: fleet.Resources{CPUMilli: capacity / 8, MemoryMiB: 10}, Service: "s"}
	assert.DeepEqual(t, c.owner.Room(c.now, []shard.Demand{demand}), []int{3})
	c.add(workflow.Job{ID: "0000000000000001", Queue: "q", Steps: []workflow.Step{{Count: 1, Resources: fleet.Resources{CPUMilli: capacity / 4, MemoryMiB: 10}}}})
	assert.DeepEqual(t, c.owner.Room(c.now, []shard.Demand{demand}), []int{0})
	demand.IsShort = false
	assert.DeepEqual(t, c.owner.Room(c.now, []shard.Demand{demand}), []int{3})
}

// Guards against a build that shares only jobs whose tasks last and takes the record of another shared job for one: it would start done tasks
// again. It decodes shared jobs without the key of jobs whose tasks end.
func TestRecordOfSharedEndsIsNoJobForBuildBefore(t *testing.T) {
	type formerSharedJob struct {
		Home int          `cbor:"22,keyasint"`
		Job  workflow.Job `cbor:"23,keyasint"`
	}
	for _, lasts := range []bool{false, true} {
		step := smallStep
		step.LongRunning = lasts
		j := workflow.Job{ID: "0000000000000001", Queue: "q", Steps: []workflow.Step{step}}
		data := workflow.EncodeSharedJob(workflow.SharedJob{Home: 2, Job: j})
		former, err := workflow.Decode[formerSharedJob](data)
		assert.NilError(t, err)
		assert.Equal(t, former.Job.ID != "", lasts)
		read, ok := workflow.DecodeSharedJob(data)
		assert.Assert(t, ok)
		assert.DeepEqual(t, read.Job.ID, j.ID)
	}
}
