package shard_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/laburnumridge/laburnumridge/internal/fleet"
	"github.com/laburnumridge/laburnumridge/internal/kvstore"
	"github.com/laburnumridge/laburnumridge/internal/shard"
	"github.com/laburnumridge/laburnumridge/internal/workflow"
)

const hopelessJob = "0000000000000001"

// newHopelessJob returns a job with occurrences, all of which are due, and whose last step can never run.
func newHopelessJob(now time.Time, width, occurrences int) workflow.Job {
	small := fleet.Resources{CPUMilli: 10, MemoryMiB: 1}
	return workflow.Job{
		ID: hopelessJob, Interval: time.Minute, Occurrences: occurrences, Queue: "q", StartAt: now.Add(-2000 * time.Hour).UnixMilli(),
		Steps: []workflow.Step{
			{Count: width, Resources: small, SavesProgress: true},
			{After: []int{0}, Count: 1, Label: "nowhere", Resources: small},
		},
	}
}

// doneRecords returns the progress of a job whose first step is done in the first occurrences, in the form of the build before.
func doneRecords(width, occurrences int) workflow.Progress {
	var p workflow.Progress
	for occ := range occurrences {
		for i := range width {
			p.Tasks = append(p.Tasks, workflow.TaskRecord{
				Key: workflow.TaskKey{Occurrence: occ, Index: i}, Checkpoint: "00000bb87a21d94b", Done: true, Run: 1,
			})
		}
	}
	return p
}

// restoreHopeless makes an owner take over the job with its progress.
func (c *fleetHarness) restoreHopeless(j workflow.Job, p workflow.Progress) {
	c.jobs[j.ID], c.storedProgress[j.ID] = j, p
	c.takeOver()
	c.owner.AllowCompact(true)
}

// lastWrite returns the last write of the job's progress.
func (c *fleetHarness) lastWrite(job string) (last shard.JobWrite) {
	for _, commit := range c.store.received {
		for _, w := range commit.Writes {
			if w.Job == job && w.Final == "" {
				last = w
			}
		}
	}
	return last
}

// Guards against a progress record that grows by a line for each done task of an open occurrence until the store refuses it, and against
// done tasks that run again because the next owner does not find them in the record.
func TestRecordOfOpenOccurrencesStaysSmall(t *testing.T) {
	const width, done, occurrences = 128, 320, 321
	c := newFleetHarness(t, 3)
	c.run(time.Second)
	former := doneRecords(width, done)
	assert.Assert(t, len(workflow.Encode(former)) > kvstore.MaxValueBytes, "the form of the build before is too large")
	c.restoreHopeless(newHopelessJob(c.now, width, occurrences), former)
	c.waitFor(5*time.Second, func() bool { return len(c.running) == width })
	c.endRunsWhere(func(shard.Start) shard.EndCause { return shard.EndDone })
	c.run(2 * time.Second)
	w := c.lastWrite(hopelessJob)
	assert.Assert(t, len(w.Progress) <= done*(width/8+10)+200, "%d bytes", len(w.Progress))
	c.takeOver()
	c.run(5 * time.Second)
	assert.Equal(t, len(c.starts), width, "the tasks of the last occurrence run once, the others not at all")
}

// Guards against a compact record that an owner of the build before takes for that of a job without done tasks, all of which it would
// start again.
func TestCompactRecordIsNoJobForBuildBefore(t *testing.T) {
	const width, done = 128, 20
	c := newFleetHarness(t, 3)
	c.run(time.Second)
	j := newHopelessJob(c.now, width, done+1)
	c.restoreHopeless(j, doneRecords(width, done))
	c.waitFor(5*time.Second, func() bool { return len(c.running) > 0 })
	var first shard.JobWrite
	for _, commit := range c.store.received {
		for _, w := range commit.Writes {
			p, err := workflow.Decode[workflow.Progress](w.Progress)
			assert.NilError(t, err)
			if len(p.Done) > 0 && first.Progress == nil {
				first = w
			}
		}
	}
	assert.Assert(t, first.Record != nil, "the record is written with the first compact progress")
	former, err := workflow.Decode[workflow.Job](first.Record)
	assert.Assert(t, err != nil || former.Check() != nil)
	_, isShared := workflow.DecodeSharedJob(first.Record)
	assert.Assert(t, !isShared)
	read, ok := workflow.DecodeCompactJob(first.Record)
	assert.Assert(t, ok)
	assert.DeepEqual(t, read, j)
}

// Guards against compact records that hosts of the build before can't read while some of them may own the shard.
func TestRecordKeepsFormerFormBesideBuildBefore(t *testing.T) {
	const width, done = 128, 20
	c := newFleetHarness(t, 3)
	c.run(time.Second)
	c.restoreHopeless(newHopelessJob(c.now, width, done+1), doneRecords(width, done))
	c.owner.AllowCompact(false)
	c.waitFor(5*time.Second, func() bool { return len(c.running) > 0 })
	p, err := workflow.Decode[workflow.Progress](c.lastWrite(hopelessJob).Progress)
	assert.NilError(t, err)
	assert.Equal(t, len(p.Done), 0)
	assert.Assert(t, c.lastWrite(hopelessJob).Record == nil)
}

// Guards against a job whose occurrences stay open, and whose record and tasks in memory grow with each further one.
func TestOpenOccurrencesAreLimited(t *testing.T) {
	for _, tc := range []struct{ width, open int }{{1, 1000}, {9999, 10}} {
		t.Run(fmt.Sprint(tc.width), func(t *testing.T) {
			c := newFleetHarness(t, 3)
			c.run(time.Second)
			j := newHopelessJob(c.now, tc.width, 5000)
			c.restoreHopeless(j, doneRecords(tc.width, tc.open))
			for range 20 {
				c.run(100 * time.Millisecond)
				assert.Equal(t, len(c.starts), 0, "no further occurrence begins")
			}
			// The first occurrence ends, as if a worker with the label had come for a moment.
			p := doneRecords(tc.width, tc.open)
			p.DoneThrough = 1
			c.restoreHopeless(j, p)
			c.waitFor(5*time.Second, func() bool { return len(c.starts) > 0 })
			for _, s := range c.starts {
				assert.Equal(t, s.Key.Occurrence, tc.open)
			}
		})
	}
}

// Guards against a record that outgrows a value of the store because all tasks of a wide job run at once, each with a record of its own.
func TestRunningTasksOfJobAreLimited(t *testing.T) {
	c := newFleetHarness(t, 3)
	c.run(time.Second)
	c.add(workflow.Job{ID: hopelessJob, Queue: "q", Steps: []workflow.Step{{Count: 20_000, Resources: fleet.Resources{CPUMilli: 1}}}})
	c.run(3 * time.Second)
	p, err := workflow.Decode[workflow.Progress](c.lastWrite(hopelessJob).Progress)
	assert.NilError(t, err)
	assert.Equal(t, len(p.Tasks), 8000)
	t.Logf("%d bytes", len(c.lastWrite(hopelessJob).Progress))
	assert.Assert(t, len(c.lastWrite(hopelessJob).Progress) < kvstore.MaxValueBytes/2, "%d bytes", len(c.lastWrite(hopelessJob).Progress))
}

// BenchmarkProgressRecord measures the size of a progress record, and the time to write it, by open occurrences and done tasks in each.
func BenchmarkProgressRecord(b *testing.B) {
	for _, size := range []struct{ occurrences, width int }{{1, 1000}, {10, 1000}, {100, 128}, {500, 128}, {1000, 1}, {1000, 99}} {
		b.Run(fmt.Sprintf("occurrences=%d/tasks=%d", size.occurrences, size.width), func(b *testing.B) {
			now := time.Unix(1_000_000_000, 0)
			former := doneRecords(size.width, size.occurrences)
			j := newHopelessJob(now, size.width, size.occurrences)
			bytes := 0
			for b.Loop() {
				b.StopTimer()
				o := shard.NewOwner(1, now, shard.WithWallClock(func() time.Time { return now }))
				o.AllowCompact(true)
				o.Inherit(shard.Handover{Progress: map[string]workflow.Progress{j.ID: former}}) // what is handed over is recorded again
				o.Restore(now, j, workflow.Progress{}, false)
				b.StartTimer()
				a := o.Step(now.Add(time.Second))
				bytes = len(a.Commit.Writes[0].Progress)
			}
			b.ReportMetric(float64(bytes), "B/record")
			b.ReportMetric(float64(len(workflow.Encode(former))), "B/former")
		})
	}
}
