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

func withPriority(p int) func(*job.Task) { return func(t *job.Task) { t.Priority = p } }

func withDeadline(d time.Duration) func(*job.Task) {
	return func(t *job.Task) { t.Deadline = start.Add(d) }
}

func withTeam(team, work string) func(*job.Task) {
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

// startNext starts the next task and puts the others back, as when room for one task becomes free on a full fleet.
func startNext(q *job.Queue, now time.Time) job.Task {
	batch := q.Take(now, 100)
	if len(batch) == 0 {
		return job.Task{}
	}
	q.Started(now, batch[0].ID)
	for _, t := range batch[1:] {
		q.PutBack(now, t)
	}
	return batch[0]
}

// Guards against urgent tasks that are queued behind others, late deadlines before early ones, starvation of tasks
// without a deadline, and starts before a backoff has passed.
func TestTakeOrder(t *testing.T) {
	q := job.NewQueue()
	add(t, q,
		task("late", withDeadline(3*time.Hour)), task("none"), task("soon", withDeadline(time.Minute)),
		task("urgent", withPriority(9)), task("held", func(t *job.Task) { t.NotBefore = start.Add(time.Minute) }))
	assert.Equal(t, ids(q.Take(start, 10)), "urgent soon none late ")
	assert.Equal(t, ids(q.Take(start.Add(time.Minute), 10)), "held ")
	assert.ErrorIs(t, q.Add(task("late")), job.ErrDuplicate)
	assert.ErrorIs(t, job.NewQueue(job.WithLimit(0)).Add(task("t")), job.ErrFull)
}

// Guards against a team that gets more than its share because it has more tasks or sorts first by name. All but one
// task of each batch are put back.
func TestTeamShares(t *testing.T) {
	q := job.NewQueue(job.WithWeight(func(team string) float64 { return map[string]float64{"a": 1, "b": 3, "c": 1, "d": 1}[team] }))
	for i := range 400 {
		add(t, q, task(fmt.Sprint("a", i), withTeam("a", "wa")), task(fmt.Sprint("b", i), withTeam("b", "wb")))
	}
	add(t, q, task("c0", withTeam("c", "wc")), task("c1", withTeam("c", "wc")))
	starts := map[string]int{}
	for range 202 {
		starts[startNext(q, start).Team]++
	}
	assert.DeepEqual(t, starts, map[string]int{"a": 50, "b": 150, "c": 2})
	// A team gets no credit for the time in which it was idle.
	for i := range 50 {
		add(t, q, task(fmt.Sprint("d", i), withTeam("d", "wd")))
	}
	clear(starts)
	for range 50 {
		starts[startNext(q, start).Team]++
	}
	assert.DeepEqual(t, starts, map[string]int{"a": 10, "b": 30, "d": 10})
}

// Guards against starvation of low priorities without a kept rate, and against workloads that a flood of urgent tasks
// pushes below their kept rate.
func TestFloodOfUrgentTasks(t *testing.T) {
	for _, tc := range []struct {
		kept     float64
		min, max int
	}{{0, 9, 11}, {1, 540, 620}} {
		q := job.NewQueue(job.WithKeptRate(tc.kept))
		now, n, low := start, 0, 0
		runSecond := func(flood bool) {
			n++
			now = now.Add(time.Second)
			add(t, q, task(fmt.Sprint("low", n), withTeam("a", "low"), withPriority(1)))
			if flood {
				for i := range 3 {
					add(t, q, task(fmt.Sprint("high", n, "-", i), withTeam("b", "high"), withPriority(9)))
				}
			}
			for range 2 {
				if startNext(q, now).Work == "low" && flood {
					low++
				}
			}
		}
		for range 3600 {
			runSecond(false)
		}
		for range 600 {
			runSecond(true)
		}
		assert.Assert(t, low >= tc.min && low <= tc.max, "kept %g: %d starts in 600 s", tc.kept, low)
	}
}

// Guards against a workload that keeps only a part of its rate because it was first seen shortly before a flood, when the
// moving average of its starts is still too low.
func TestKeptRateOfNewWorkload(t *testing.T) {
	q := job.NewQueue(job.WithKeptRate(1))
	now, low := start, 0
	for n := range 600 {
		now = now.Add(time.Second)
		add(t, q, task(fmt.Sprint("low", n), withTeam("a", "low")))
		if n >= 240 {
			add(t, q, task(fmt.Sprint("high", n), withTeam("b", "high"), withPriority(9)))
		}
		started := startNext(q, now)
		if n >= 240 && started.Work == "low" {
			low++
		}
	}
	assert.Assert(t, low >= 324, "%d of 360 starts kept", low)
	add(t, q, task("burst1", withTeam("b", "high"), withPriority(9)), task("burst2", withTeam("b", "high"), withPriority(9)))
	var beyond bool
	for _, b := range q.Take(now, 100) {
		beyond = beyond || b.Work == "high" && b.BeyondRate
	}
	assert.Assert(t, beyond, "BeyondRate is not set for tasks beyond the kept rate")
}

// Guards against a large cancellation that blocks other starts, against cancelled tasks that start, and against tasks
// that are lost or removed twice.
func TestCancelInSteps(t *testing.T) {
	q := job.NewQueue()
	for i := range 5000 {
		add(t, q, task(fmt.Sprint("x", i), withTeam("a", "cancelled")))
	}
	for i := range 50 {
		add(t, q, task(fmt.Sprint("y", i), withTeam("a", "other")))
	}
	q.CancelJob("cancelled")
	q.CancelTasks([]string{"y9", "running"})
	removed, started := map[string]bool{}, 0
	for q.IsCancelling() {
		tasks, notQueued := q.CancelStep(200)
		assert.Assert(t, len(tasks) <= 200)
		for _, task := range tasks {
			assert.Assert(t, !removed[task.ID], "%s twice", task.ID)
			removed[task.ID] = true
		}
		if len(notQueued) > 0 {
			assert.DeepEqual(t, notQueued, []string{"running"})
		}
		if next := startNext(q, start); next.ID != "" {
			assert.Equal(t, next.Job, "other")
			started++
		}
	}
	assert.Equal(t, len(removed), 5001)
	assert.Assert(t, started >= 25)
	assert.Equal(t, q.Len(), 50-1-started)
}

// Guards against lost and duplicate tasks, when tasks are added, taken, started, put back and cancelled at random.
func TestQueueKeepsEachTaskOnce(t *testing.T) {
	for seed := range uint64(20) {
		rng := rand.New(rand.NewPCG(seed, 1))
		q := job.NewQueue()
		waiting := map[string]bool{}
		now := start
		for i := range 3000 {
			now = now.Add(time.Second)
			id := fmt.Sprint(i)
			add(t, q, task(id, withTeam(fmt.Sprint("t", rng.IntN(3)), fmt.Sprint("j", i/100)), withPriority(rng.IntN(10))))
			waiting[id] = true
			if rng.IntN(100) == 0 {
				q.CancelJob(fmt.Sprint("j", rng.IntN(30)))
			}
			for _, b := range q.Take(now, rng.IntN(5)) {
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
		assert.Equal(t, len(q.Take(now.Add(time.Hour), 10_000)), len(waiting), "seed %d", seed)
	}
}

// Guards against runs that are created twice, runs that are never created, and a burst of missed runs after an outage.
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

// Guards against estimates that stay at a declared run time that is ten times too long, and against late usage reports
// that lower a peak.
func TestEstimates(t *testing.T) {
	e := job.NewEstimates()
	assert.Equal(t, e.RunTime("w", time.Hour), time.Hour)
	for range 50 {
		e.RecordRunTime("w", 6*time.Minute, start)
	}
	got := e.RunTime("w", time.Hour)
	assert.Assert(t, got > 5*time.Minute && got < 7*time.Minute, got)
	reserved := fleet.Resources{Accelerators: 1, CPUMilli: 8000, MemoryMiB: 8000}
	assert.Equal(t, e.Usage("w", reserved), reserved)
	e.RecordUsage("w", fleet.Resources{CPUMilli: 900, MemoryMiB: 500}, start, start)
	e.RecordUsage("w", fleet.Resources{CPUMilli: 100, MemoryMiB: 600}, start.Add(-time.Minute), start)
	assert.Equal(t, e.Usage("w", reserved), fleet.Resources{Accelerators: 1, CPUMilli: 900, MemoryMiB: 600})
}

// BenchmarkCancel measures the cost of a cancelled task, which must not grow with the number of cancelled tasks.
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

func BenchmarkTake(b *testing.B) {
	for _, n := range []int{1000, 100_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			q := job.NewQueue()
			for i := range n {
				id := fmt.Sprint(i)
				if err := q.Add(task(id, withTeam(fmt.Sprint("t", i%120), fmt.Sprint("w", i%360)), withPriority(i%9))); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportAllocs()
			for b.Loop() {
				for _, t := range q.Take(start, 10) {
					q.PutBack(start, t)
				}
			}
		})
	}
}
