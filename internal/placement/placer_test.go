package placement_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/laburnumridge/laburnumridge/internal/fleet"
	"github.com/laburnumridge/laburnumridge/internal/note"
	"github.com/laburnumridge/laburnumridge/internal/placement"
)

func worker(i int, change ...func(*placement.Worker)) placement.Worker {
	w := placement.Worker{Host: fleet.Host{
		Capacity: size(32, 125).Add(fleet.Resources{Slots: 8, Connections: 64}),
		ID:       fmt.Sprintf("w%03d", i), Kind: fleet.KindWorker,
		Rack: fmt.Sprintf("r%d", i/6), State: fleet.StateLive, Zone: "kelaniya",
	}}
	for _, f := range change {
		f(&w)
	}
	return w
}

func size(cores, gib int64) fleet.Resources {
	return fleet.Resources{CPUMilli: cores * 1000, MemoryMiB: gib * 1024}
}

func batch(id string, priority int, r fleet.Resources) placement.Task {
	return placement.Task{ID: id, Kind: note.KindBatch, Priority: priority, Resources: r, Team: "team", Work: "plan"}
}

func withTasks(tasks ...placement.PlacedTask) func(*placement.Worker) {
	return func(w *placement.Worker) {
		for _, h := range tasks {
			*w = *w.WithTask(h)
		}
	}
}

// Guards against placing a task on an excluded worker, and against reporting the wrong reason for waiting.
func TestPlaceFilters(t *testing.T) {
	full := withTasks(placement.PlacedTask{Task: batch("old", 9, size(32, 1))})
	for _, tc := range []struct {
		name   string
		worker placement.Worker
		task   placement.Task
		quota  fleet.Resources
		err    error
		want   placement.Rejection
	}{
		{"leaving", worker(0, func(w *placement.Worker) { w.State = fleet.StateLeaving }), batch("t", 0, size(1, 1)), fleet.Resources{}, placement.ErrNoRoom, placement.RejectedLeaving},
		{"quarantined", worker(0, func(w *placement.Worker) { w.Quarantined = true }), batch("t", 0, size(1, 1)), fleet.Resources{}, placement.ErrNoRoom, placement.RejectedQuarantine},
		{"closed", worker(0, func(w *placement.Worker) { w.ClosedToBatch = true }), batch("t", 0, size(1, 1)), fleet.Resources{}, placement.ErrNoRoom, placement.RejectedClosedToBatch},
		{"failed", worker(0), placement.Task{FailedOn: []string{"w000"}}, fleet.Resources{}, placement.ErrNoRoom, placement.RejectedFailedThere},
		{"full", worker(0, full), batch("t", 9, size(1, 1)), fleet.Resources{}, placement.ErrNoRoom, placement.RejectedCapacity},
		{"large", worker(0, full), batch("t", 9, size(33, 1)), fleet.Resources{}, placement.ErrNeverFits, placement.RejectedTooSmall},
		{"other zone", worker(0), placement.Task{Zone: "wattala"}, fleet.Resources{}, placement.ErrNoRoom, placement.RejectedZone},
		{"quota", worker(0), batch("t", 0, size(2, 1)), size(1, 0), placement.ErrQuota, placement.RejectedQuota},
	} {
		t.Run(tc.name, func(t *testing.T) {
			p := placement.New(placement.WithQuota(func(string) fleet.Resources { return tc.quota }))
			d, err := p.Place(placement.NewView(tc.worker), tc.task)
			assert.ErrorIs(t, err, tc.err)
			assert.Equal(t, d.Worker, "")
			assert.Equal(t, d.Candidates[0].Rejection, tc.want)
		})
	}
}

// Guards against placing replicas in the same rack, slowing down services and fragmenting large free blocks.
func TestPlacePrefersBetterWorker(t *testing.T) {
	service := placement.Task{ID: "s2", Kind: note.KindService, Work: "dosing", Resources: size(1, 1)}
	replica := withTasks(placement.PlacedTask{Task: placement.Task{ID: "s1", Kind: note.KindService, Work: "dosing", Resources: size(1, 1)}})
	used := withTasks(placement.PlacedTask{Task: batch("b", 0, size(16, 60))})
	for _, tc := range []struct {
		name    string
		task    placement.Task
		workers []placement.Worker
		want    string
	}{
		{"other rack", service, []placement.Worker{worker(0, replica), worker(1, used), worker(6)}, "w006"},
		{"no slowdown", batch("slow", 0, size(1, 1)), []placement.Worker{worker(0, replica), worker(1)}, "w001"},
		{"large block", batch("t", 0, size(1, 1)), []placement.Worker{worker(0), worker(1, used)}, "w001"},
		{"suspect last", batch("t", 0, size(1, 1)), []placement.Worker{worker(0, used, func(w *placement.Worker) { w.Suspect = true }), worker(1)}, "w001"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			p := placement.New(placement.WithSlowdown(func(w *placement.Worker, t *placement.Task) float64 {
				if t.ID == "slow" && len(w.Tasks) > 0 {
					return 2
				}
				return 1
			}))
			d, err := p.Place(placement.NewView(tc.workers...), tc.task)
			assert.NilError(t, err)
			assert.Equal(t, d.Worker, tc.want)
		})
	}
}

// Guards against evictions that lose more work than necessary, stop urgent tasks or exceed the budget.
func TestPlaceEvicts(t *testing.T) {
	held := func(id string, priority int, lost time.Duration) placement.PlacedTask {
		return placement.PlacedTask{Task: batch(id, priority, size(16, 10)), UnsavedRunTime: lost}
	}
	view := placement.NewView(
		worker(0, withTasks(held("a", 1, time.Hour), held("b", 9, 0))),
		worker(1, withTasks(held("c", 1, time.Minute), held("d", 0, time.Minute))),
	)
	budget := 1
	p := placement.New(placement.WithEvictionsLeft(func(*placement.Task) int { return budget }))
	d, err := p.Place(view, batch("urgent", 9, size(16, 10)))
	assert.NilError(t, err)
	assert.Equal(t, d.Worker, "w001")
	assert.DeepEqual(t, d.Victims, []string{"d"})
	_, err = p.Place(view, batch("ordinary", 8, size(16, 10)))
	assert.ErrorIs(t, err, placement.ErrNoRoom)
	budget = 2
	otherView := placement.NewView(worker(0, withTasks(
		placement.PlacedTask{Task: batch("small", 0, size(4, 1))}, placement.PlacedTask{Task: batch("large", 1, size(28, 1)), UnsavedRunTime: time.Hour})))
	d, err = p.Place(otherView, batch("urgent", 9, size(20, 10)))
	assert.NilError(t, err)
	assert.DeepEqual(t, d.Victims, []string{"large"})
	budget = 0
	d, err = p.Place(view, batch("urgent", 9, size(16, 10)))
	assert.ErrorIs(t, err, placement.ErrNoRoom)
	assert.Equal(t, d.Reason, placement.ReasonNoEvictionBudget)
}

// Guards against evicting tasks on another worker for an urgent task that can only be bound to one worker, as
// during a store outage.
func TestBoundTaskEvictsOnItsWorkerOnly(t *testing.T) {
	view := placement.NewView(
		worker(0, withTasks(placement.PlacedTask{Task: batch("a", 1, size(8, 10)), UnsavedRunTime: time.Hour})),
		worker(1, withTasks(placement.PlacedTask{Task: batch("b", 1, size(8, 10)), UnsavedRunTime: time.Second})),
		worker(2),
	)
	p := placement.New(placement.WithEvictionsLeft(func(*placement.Task) int { return 9 }))
	task := batch("urgent", 9, size(32, 10))
	task.OnlyWorker = "w000"
	d, err := p.Place(view, task)
	assert.NilError(t, err)
	assert.Equal(t, d.Worker, "w000")
	assert.DeepEqual(t, d.Victims, []string{"a"})
}

// Guards against a service that is not started because batch work occupies every worker, and against evicting
// services.
func TestServicesEvictBatchOnly(t *testing.T) {
	service := placement.Task{ID: "s", Kind: note.KindService, Work: "dosing", Resources: size(20, 1)}
	p := placement.New(placement.WithEvictionsLeft(func(*placement.Task) int { return 9 }))
	d, err := p.Place(placement.NewView(worker(0, withTasks(placement.PlacedTask{Task: batch("b", 8, size(20, 1))}))), service)
	assert.NilError(t, err)
	assert.DeepEqual(t, d.Victims, []string{"b"})
	service.ID = "other"
	_, err = p.Place(placement.NewView(worker(0, withTasks(placement.PlacedTask{Task: service}))), batch("u", 9, size(20, 1)))
	assert.ErrorIs(t, err, placement.ErrNoRoom)
}

// Guards against baseline policies that select the same worker as the scoring policy that they are compared with.
func TestBaselinePolicies(t *testing.T) {
	v := placement.NewView(
		worker(2, withTasks(placement.PlacedTask{Task: batch("x", 0, size(20, 1))})),
		worker(1), worker(0, withTasks(placement.PlacedTask{Task: batch("y", 0, size(4, 1))})))
	for policy, want := range map[placement.Policy]string{
		placement.PolicyFirstFit: "w000", placement.PolicyLeastLoaded: "w001", placement.PolicyScore: "w002",
	} {
		d, err := placement.New(placement.WithPolicy(policy)).Place(v, batch("t", 0, size(1, 1)))
		assert.NilError(t, err)
		assert.Equal(t, d.Worker, want, "%s", policy)
	}
}

// Guards against a stale decision that exceeds the capacity of a worker without an invariant violation.
func TestReserveReportsCapacityViolation(t *testing.T) {
	var name string
	p := placement.New(placement.WithViolationHandler(func(n, _ string) { name = n }))
	v := placement.NewView(worker(0))
	d, err := p.Place(v, batch("t1", 0, size(20, 1)))
	assert.NilError(t, err)
	v, ok := p.Reserve(v, batch("t1", 0, size(20, 1)), d)
	assert.Assert(t, ok)
	_, ok = p.Reserve(v, batch("t2", 0, size(20, 1)), d)
	assert.Assert(t, !ok)
	assert.Equal(t, name, "placement_capacity")
}

// Guards against exceeding a team's quota by two decisions that were made on the same view.
func TestReserveKeepsQuota(t *testing.T) {
	p := placement.New(placement.WithQuota(func(string) fleet.Resources { return size(3, 0) }))
	v := placement.NewView(worker(0)).WithOtherShardReservation("team", "kelaniya", size(1, 0))
	first, err := p.Place(v, batch("t1", 0, size(2, 1)))
	assert.NilError(t, err)
	second, err := p.Place(v, batch("t2", 0, size(2, 1)))
	assert.NilError(t, err)
	v, ok := p.Reserve(v, batch("t1", 0, size(2, 1)), first)
	assert.Assert(t, ok)
	_, ok = p.Reserve(v, batch("t2", 0, size(2, 1)), second)
	assert.Assert(t, !ok)
}

// Guards against exceeding the capacity of a worker or the quota of a team after any sequence of placements and
// task ends, under each policy.
func TestPlaceProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		quota := size(40, 0)
		policy := rapid.SampledFrom([]placement.Policy{
			placement.PolicyScore, placement.PolicyFirstFit, placement.PolicyLeastLoaded,
		}).Draw(t, "policy")
		p := placement.New(
			placement.WithEvictionsLeft(func(*placement.Task) int { return 3 }), placement.WithPolicy(policy),
			placement.WithQuota(func(string) fleet.Resources { return quota }),
			placement.WithViolationHandler(func(n, d string) { t.Fatalf("%s: %s", n, d) }))
		v := placement.NewView(worker(0), worker(1), worker(7))
		placedOn := map[string]string{}
		for i := range rapid.IntRange(1, 60).Draw(t, "steps") {
			for id, w := range placedOn {
				if rapid.IntRange(0, 9).Draw(t, "end") == 0 {
					v = v.WithoutTask(w, id)
					delete(placedOn, id)
				}
			}
			task := batch(fmt.Sprint(i), rapid.IntRange(0, 9).Draw(t, "priority"),
				size(rapid.Int64Range(0, 33).Draw(t, "cores"), rapid.Int64Range(0, 126).Draw(t, "memory")))
			task.Team = rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "team")
			d, err := p.Place(v, task)
			if err != nil {
				continue
			}
			v, _ = p.Reserve(v, task, d)
			placedOn[task.ID] = d.Worker
			for _, id := range d.Victims {
				delete(placedOn, id)
			}
			requireConsistentReservations(t, v, quota)
		}
	})
}

func requireConsistentReservations(t *rapid.T, v placement.View, quota fleet.Resources) {
	teams := map[string]int64{}
	for _, w := range v.Workers() {
		var sum fleet.Resources
		for _, h := range w.Tasks {
			sum = sum.Add(h.Resources)
			teams[h.Team] += h.Resources.CPUMilli
		}
		if sum != w.Reserved || !sum.FitsIn(w.Capacity) {
			t.Fatalf("worker %s: tasks %s, reserved %s, capacity %s", w.ID, sum, w.Reserved, w.Capacity)
		}
	}
	for team, used := range teams {
		if used > quota.CPUMilli || used != v.TeamReserved(team, "kelaniya").CPUMilli {
			t.Fatalf("team %s uses %d, quota %d, view says %s", team, used, quota.CPUMilli, v.TeamReserved(team, "kelaniya"))
		}
	}
}

func BenchmarkPlace(b *testing.B) {
	for _, n := range []int{40, 75, 150, 300, 600} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			rng := rand.New(rand.NewPCG(1, uint64(n)))
			workers := make([]placement.Worker, n)
			for i := range workers {
				workers[i] = worker(i)
				for j := range 43*(i+1)/6 - 43*i/6 {
					t := batch(fmt.Sprintf("t%d-%d", i, j), rng.IntN(9), size(1+rng.Int64N(3), 4))
					t.Team = fmt.Sprint("team", rng.IntN(120))
					workers[i] = *workers[i].WithTask(placement.PlacedTask{Task: t})
				}
			}
			v := placement.NewView(workers...)
			p := placement.New(placement.WithSlowdown(func(*placement.Worker, *placement.Task) float64 { return 1 }))
			t := batch("new", 5, size(2, 4))
			b.ReportAllocs()
			for b.Loop() {
				d, err := p.Place(v, t)
				if err != nil {
					b.Fatal(err)
				}
				p.Reserve(v, t, d)
			}
		})
	}
}
