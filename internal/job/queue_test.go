package job_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/laburnumridge/laburnumridge/internal/fleet"
	"github.com/laburnumridge/laburnumridge/internal/job"
	"github.com/laburnumridge/laburnumridge/internal/note"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func task(id string, change ...func(*job.Task)) job.Task {
	t := job.Task{
		ID: id, Job: "job", Resources: fleet.Resources{CPUMilli: 1000}, Submitted: start, Team: "team", Work: "work",
	}
	for _, f := range change {
		f(&t)
	}
	return t
}

func priority(p int) func(*job.Task) { return func(t *job.Task) { t.Priority = p } }

func deadline(d time.Duration) func(*job.Task) {
	return func(t *job.Task) { t.Deadline = start.Add(d) }
}

func of(team, work string) func(*job.Task) {
	return func(t *job.Task) { t.Job, t.Team, t.Work = work, team, work }
}

func add(t *testing.T, q *job.Queue, tasks ...job.Task) {
	t.Helper()
	for _, task := range tasks {
		assert.NilError(t, q.Add(task))
	}
}

func ids(tasks []job.Task) string {
	out := ""
	for _, t := range tasks {
		out += t.ID + " "
	}
	return out
}

// startOne starts the next task, as on a full fleet where one place becomes free.
func startOne(q *job.Queue, now time.Time) job.Task {
	batch := q.Batch(now, 100)
	if len(batch) == 0 {
		return job.Task{}
	}
	q.Started(now, batch[0].ID)
	for _, t := range batch[1:] {
		q.PutBack(now, t)
	}
	return batch[0]
}

// Guards against urgent tasks behind others, missed deadlines, tasks without a deadline that wait for
// ever behind those with one, and starts before a backoff has passed.
func TestBatchOrder(t *testing.T) {
	q := job.NewQueue()
	add(t, q,
		task("late", deadline(3*time.Hour)), task("none"), task("soon", deadline(time.Minute)),
		task("urgent", priority(9)), task("held", func(t *job.Task) { t.NotBefore = start.Add(time.Minute) }))
	assert.Equal(t, ids(q.Batch(start, 10)), "urgent soon none late ")
	assert.Equal(t, ids(q.Batch(start.Add(time.Minute), 10)), "held ")
	assert.ErrorIs(t, q.Add(task("late")), job.ErrDuplicate)
	assert.ErrorIs(t, job.NewQueue(job.WithLimit(0)).Add(task("t")), job.ErrFull)
}

// Guards against a team that gets more than its share by the number or the names of its tasks, when all
// but one task are put back each time.
func TestTeamShares(t *testing.T) {
	q := job.NewQueue(job.WithWeight(func(team string) float64 { return map[string]float64{"a": 1, "b": 3, "c": 1, "d": 1}[team] }))
	for i := range 400 {
		add(t, q, task(fmt.Sprint("a", i), of("a", "wa")), task(fmt.Sprint("b", i), of("b", "wb")))
	}
	add(t, q, task("c0", of("c", "wc")), task("c1", of("c", "wc")))
	starts := map[string]int{}
	for range 202 {
		starts[startOne(q, start).Team]++
	}
	assert.DeepEqual(t, starts, map[string]int{"a": 50, "b": 150, "c": 2})
	// A team that was idle is not ahead of the others for that.
	for i := range 50 {
		add(t, q, task(fmt.Sprint("d", i), of("d", "wd")))
	}
	clear(starts)
	for range 50 {
		starts[startOne(q, start).Team]++
	}
	assert.DeepEqual(t, starts, map[string]int{"a": 10, "b": 30, "d": 10})
}

// Guards against low priorities that starve, and against works that lose their starts to a flood of
// urgent tasks although they should keep them.
func TestFloodOfUrgentTasks(t *testing.T) {
	for _, tc := range []struct {
		kept     float64
		min, max int
	}{{0, 9, 11}, {1, 540, 620}} {
		q := job.NewQueue(job.WithKeptRate(tc.kept))
		now, n, low := start, 0, 0
		second := func(flood bool) {
			n++
			now = now.Add(time.Second)
			add(t, q, task(fmt.Sprint("low", n), of("a", "low"), priority(1)))
			if flood {
				for i := range 3 {
					add(t, q, task(fmt.Sprint("high", n, "-", i), of("b", "high"), priority(9)))
				}
			}
			for range 2 {
				if startOne(q, now).Work == "low" && flood {
					low++
				}
			}
		}
		for range 3600 {
			second(false)
		}
		for range 600 {
			second(true)
		}
		assert.Assert(t, low >= tc.min && low <= tc.max, "kept %g: %d starts in 600 s", tc.kept, low)
	}
}

// Guards against a work that is new when a flood begins and keeps only a part of its rate.
func TestKeptRateOfNewWork(t *testing.T) {
	q := job.NewQueue(job.WithKeptRate(1))
	now, low := start, 0
	for n := range 600 {
		now = now.Add(time.Second)
		add(t, q, task(fmt.Sprint("low", n), of("a", "low")))
		if n >= 240 {
			add(t, q, task(fmt.Sprint("high", n), of("b", "high"), priority(9)))
		}
		started := startOne(q, now)
		if n >= 240 && started.Work == "low" {
			low++
		}
	}
	assert.Assert(t, low >= 324, "%d of 360 starts kept", low)
	add(t, q, task("burst1", of("b", "high"), priority(9)), task("burst2", of("b", "high"), priority(9)))
	var beyond bool
	for _, b := range q.Batch(now, 100) {
		beyond = beyond || b.Work == "high" && b.BeyondRate
	}
	assert.Assert(t, beyond, "urgent tasks beyond the rate are not told apart")
}

// Guards against a wave of cancellations that blocks starts, starts what was cancelled, or loses a task.
func TestCancelInSteps(t *testing.T) {
	q := job.NewQueue()
	for i := range 5000 {
		add(t, q, task(fmt.Sprint("x", i), of("a", "cancelled")))
	}
	for i := range 50 {
		add(t, q, task(fmt.Sprint("y", i), of("a", "other")))
	}
	q.CancelJob("cancelled")
	q.CancelTasks([]string{"y9", "running"})
	removed, started := map[string]bool{}, 0
	for q.IsCancelling() {
		tasks, notWaiting := q.CancelStep(200)
		assert.Assert(t, len(tasks) <= 200)
		for _, task := range tasks {
			assert.Assert(t, !removed[task.ID], "%s twice", task.ID)
			removed[task.ID] = true
		}
		if len(notWaiting) > 0 {
			assert.DeepEqual(t, notWaiting, []string{"running"})
		}
		if next := startOne(q, start); next.ID != "" {
			assert.Equal(t, next.Job, "other")
			started++
		}
	}
	assert.Equal(t, len(removed), 5001)
	assert.Assert(t, started >= 25)
	assert.Equal(t, q.Len(), 50-1-started)
}

// Guards against lost or duplicate tasks under random adds, starts, returns and cancellations.
func TestQueueKeepsEveryTask(t *testing.T) {
	for seed := range uint64(20) {
		rng := rand.New(rand.NewPCG(seed, 1))
		q := job.NewQueue()
		waiting := map[string]bool{}
		now := start
		for i := range 3000 {
			now = now.Add(time.Second)
			id := fmt.Sprint(i)
			add(t, q, task(id, of(fmt.Sprint("t", rng.IntN(3)), fmt.Sprint("j", i/100)), priority(rng.IntN(10))))
			waiting[id] = true
			if rng.IntN(100) == 0 {
				q.CancelJob(fmt.Sprint("j", rng.IntN(30)))
			}
			for _, b := range q.Batch(now, rng.IntN(5)) {
				assert.Assert(t, waiting[b.ID], "seed %d: %s is not waiting", seed, b.ID)
				if rng.IntN(3) == 0 {
					b.NotBefore = now.Add(time.Duration(rng.IntN(60)) * time.Second)
					q.PutBack(now, b)
					continue
				}
				q.Started(now, b.ID)
				delete(waiting, b.ID)
			}
			removed, _ := q.CancelStep(rng.IntN(20))
			for _, r := range removed {
				assert.Assert(t, waiting[r.ID], "seed %d: %s is not waiting", seed, r.ID)
				delete(waiting, r.ID)
			}
			assert.Equal(t, q.Len(), len(waiting), "seed %d", seed)
		}
		for q.IsCancelling() {
			removed, _ := q.CancelStep(100)
			for _, r := range removed {
				delete(waiting, r.ID)
			}
		}
		assert.Equal(t, len(q.Batch(now.Add(time.Hour), 10_000)), len(waiting), "seed %d", seed)
	}
}

// Guards against runs that are created twice, missed for ever, or caught up in a burst.
func TestDueRuns(t *testing.T) {
	at := func(s string) time.Time {
		out, err := time.Parse(time.RFC3339, s)
		assert.NilError(t, err)
		return out
	}
	hourly := note.Work{Every: note.Duration{Duration: time.Hour}, Kind: note.KindBatch, Name: "plan"}
	for _, tc := range []struct{ last, now, want string }{
		{"2026-01-01T05:00:00Z", "2026-01-01T05:59:59Z", ""},
		{"2026-01-01T05:00:00Z", "2026-01-01T06:00:00Z", "plan@2026-01-01T06:00:00Z"},
		{"2026-01-01T05:00:00Z", "2026-01-01T01:30:00-05:00", "plan@2026-01-01T06:00:00Z"},
		{"2026-01-01T05:00:00Z", "2026-01-02T17:20:00Z", "plan@2026-01-02T17:00:00Z"},
		{"2026-01-02T05:00:00Z", "2026-01-01T17:20:00Z", ""},
	} {
		got := ""
		for _, r := range job.DueRuns(hourly, at(tc.last), at(tc.now)) {
			got += r.ID
		}
		assert.Equal(t, got, tc.want)
	}
	assert.Equal(t, len(job.DueRuns(hourly, time.Time{}, start)), 0)
}

// Guards against trust in declared run times that are off by 10 times, and against late usage reports
// that lower a peak.
func TestEstimates(t *testing.T) {
	e := job.NewEstimates()
	assert.Equal(t, e.RunTime("w", time.Hour), time.Hour)
	for range 50 {
		e.Finished("w", 6*time.Minute, start)
	}
	got := e.RunTime("w", time.Hour)
	assert.Assert(t, got > 5*time.Minute && got < 7*time.Minute, got)
	reserved := fleet.Resources{Accelerators: 1, CPUMilli: 8000, MemoryMiB: 8000}
	assert.Equal(t, e.Usage("w", reserved), reserved)
	e.Used("w", fleet.Resources{CPUMilli: 900, MemoryMiB: 500}, start, start)
	e.Used("w", fleet.Resources{CPUMilli: 100, MemoryMiB: 600}, start.Add(-time.Minute), start)
	assert.Equal(t, e.Usage("w", reserved), fleet.Resources{Accelerators: 1, CPUMilli: 900, MemoryMiB: 600})
}

// BenchmarkCancel shows that the cost for each cancelled task does not grow with their number.
func BenchmarkCancel(b *testing.B) {
	for _, n := range []int{1000, 10_000, 100_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				b.StopTimer()
				q := job.NewQueue()
				for i := range n {
					if err := q.Add(task(fmt.Sprint(i))); err != nil {
						b.Fatal(err)
					}
				}
				b.StartTimer()
				q.CancelJob("job")
				for q.IsCancelling() {
					q.CancelStep(500)
				}
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*n), "ns/task")
		})
	}
}

func BenchmarkBatch(b *testing.B) {
	for _, n := range []int{1000, 100_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			q := job.NewQueue()
			for i := range n {
				id := fmt.Sprint(i)
				if err := q.Add(task(id, of(fmt.Sprint("t", i%120), fmt.Sprint("w", i%360)), priority(i%9))); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportAllocs()
			for b.Loop() {
				for _, t := range q.Batch(start, 10) {
					q.PutBack(start, t)
				}
			}
		})
	}
}
