package attribution_test

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/laburnumridge/laburnumridge/internal/attribution"
)

// fleet runs tasks on workers and jobs of which some fail everything.
type fleet struct {
	a          *attribution.Attributor
	badJobs    map[string]bool
	badWorkers map[string]bool
	now        time.Time
	decisions  []attribution.Decision
}

func newFleet(opts ...attribution.Option) *fleet {
	return &fleet{
		a: attribution.New(opts...), badJobs: map[string]bool{}, badWorkers: map[string]bool{},
		now: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC),
	}
}

func (f *fleet) run(worker, job string, ranFor time.Duration) {
	o := attribution.Outcome{
		At: f.now, Job: job, RanFor: ranFor, Result: attribution.ResultSucceeded,
		Task: job + "/0", Work: "work" + job[len(job)-1:], Worker: worker,
	}
	if f.badJobs[job] || f.badWorkers[worker] {
		o.Reason, o.Result = "exit status 1", attribution.ResultFailed
	}
	f.decisions = append(f.decisions, f.a.Observe(o)...)
	f.now = f.now.Add(ranFor + time.Second)
}

func (f *fleet) kinds() string {
	var out []string
	for _, d := range f.decisions {
		out = append(out, string(d.Kind)+" "+d.Worker+d.Job)
	}
	return strings.Join(out, ", ")
}

// Guards against a healthy worker that is quarantined for a job's fault, a good job that is parked for a
// worker's fault, and faults of either kind that are never found, with both present at once.
func TestObserveProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet()
		workers, jobs := rapid.IntRange(8, 20).Draw(t, "workers"), rapid.IntRange(10, 30).Draw(t, "jobs")
		for i := range rapid.IntRange(0, 4).Draw(t, "bad workers") {
			f.badWorkers[fmt.Sprint("w", i)] = true
		}
		for i := range rapid.IntRange(0, jobs-5).Draw(t, "bad jobs") {
			f.badJobs[fmt.Sprint("j", i)] = true
		}
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		for range 3000 {
			w, j := fmt.Sprint("w", rng.IntN(workers)), fmt.Sprint("j", rng.IntN(jobs))
			if _, parked := f.a.IsParked(j); parked || f.a.IsQuarantined(w) && !f.a.MayProbe(w, f.now) {
				continue
			}
			f.a.ProbeStarted(w, f.now)
			f.run(w, j, time.Duration(1+rng.IntN(20))*time.Second)
		}
		for i := range workers {
			w := fmt.Sprint("w", i)
			if f.a.IsQuarantined(w) != f.badWorkers[w] {
				t.Fatalf("worker %s: bad %t, decisions %s", w, f.badWorkers[w], f.kinds())
			}
		}
		for i := range jobs {
			j := fmt.Sprint("j", i)
			if _, parked := f.a.IsParked(j); parked != f.badJobs[j] {
				t.Fatalf("job %s: bad %t, decisions %s", j, f.badJobs[j], f.kinds())
			}
		}
		for _, d := range f.decisions {
			if d.Kind == attribution.KindQuarantine && !f.badWorkers[d.Worker] ||
				d.Kind == attribution.KindPark && !f.badJobs[d.Job] {
				t.Fatalf("blamed without fault: %+v", d)
			}
		}
	})
}

// Guards against a healthy worker that is quarantined because several jobs fail on it now and then.
func TestFlakyJobsQuarantineNoWorker(t *testing.T) {
	for seed := range uint64(50) {
		rng := rand.New(rand.NewPCG(seed, 2))
		f := newFleet()
		for range 3000 {
			j := fmt.Sprint("j", rng.IntN(30))
			f.badJobs[j] = rng.IntN(3) == 0
			f.run(fmt.Sprint("w", rng.IntN(10)), j, time.Second)
		}
		assert.Assert(t, !strings.Contains(f.kinds(), string(attribution.KindQuarantine)), "seed %d: %+v", seed, f.decisions[:1])
	}
}

func quarantine(f *fleet) {
	for i := range 6 {
		for range 8 {
			f.run("good", fmt.Sprint("j", i), time.Second)
		}
	}
	f.badWorkers["bad"] = true
	for i := 0; i < 6 && !f.a.IsQuarantined("bad"); i++ {
		f.run("bad", fmt.Sprint("j", i), time.Second)
	}
}

// Guards against probes that follow each other too fast, come in parallel, or never end a quarantine.
func TestProbes(t *testing.T) {
	f := newFleet()
	quarantine(f)
	assert.Assert(t, f.a.IsQuarantined("bad"), f.kinds())
	var last time.Duration
	for range 3 {
		since := f.now
		for !f.a.MayProbe("bad", f.now) {
			f.now = f.now.Add(time.Second)
		}
		assert.Assert(t, f.now.Sub(since) > last, "pause %s after %s", f.now.Sub(since), last)
		last = f.now.Sub(since)
		f.a.ProbeStarted("bad", f.now)
		assert.Assert(t, !f.a.MayProbe("bad", f.now))
		f.now = f.now.Add(2 * time.Second)
		f.run("bad", "j0", time.Second)
	}
	f.badWorkers["bad"] = false
	f.now = f.now.Add(time.Hour)
	f.run("bad", "j0", time.Second)
	assert.Assert(t, !f.a.IsQuarantined("bad"))
}

// Guards against a healthy worker that is quarantined because a wave of bad jobs of good works reaches it
// first.
func TestWaveOfBadJobs(t *testing.T) {
	f := newFleet()
	for range 100 {
		f.run("good", "other0", time.Second)
	}
	for i := range 20 {
		job := fmt.Sprintf("bad%d0", i)
		f.badJobs[job] = true
		f.run("first", job, time.Second)
	}
	assert.Equal(t, f.kinds(), "")
}

// Guards against a worker that looks healthy because tasks end well that started before it went bad.
func TestOldTasksProveNothing(t *testing.T) {
	f := newFleet()
	f.badWorkers["w"] = true
	f.run("w", "j0", time.Second)
	f.run("w", "j1", time.Second)
	assert.Assert(t, f.a.IsSuspect("w"))
	f.badWorkers["w"] = false
	f.run("w", "j2", time.Hour)
	assert.Assert(t, f.a.IsSuspect("w"))
	f.run("w", "j2", time.Second)
	assert.Assert(t, !f.a.IsSuspect("w"))
}

// Guards against a good job that is parked for failures on workers that were quarantined and repaired.
func TestRepairedWorkersClearJobs(t *testing.T) {
	f := newFleet()
	bad := []string{"b0", "b1", "b2"}
	for i := range 6 {
		for range 8 {
			f.run("good", fmt.Sprint("j", i), time.Second)
		}
	}
	for _, w := range bad {
		f.badWorkers[w] = true
		for _, job := range []string{"j6", "j0", "j1", "j2", "j3", "j4", "j5"} {
			f.run(w, job, time.Second)
		}
		assert.Assert(t, f.a.IsQuarantined(w), f.kinds())
	}
	clear(f.badWorkers)
	for _, w := range bad {
		f.now = f.now.Add(time.Hour)
		f.run(w, "j0", time.Second)
		assert.Assert(t, !f.a.IsQuarantined(w))
	}
	f.badJobs["j6"] = true
	f.run("good", "j6", time.Second)
	f.run("good", "j0", time.Second)
	_, parked := f.a.IsParked("j6")
	assert.Assert(t, !parked)
}

// Guards against a bad worker that is found only after long tasks have ended elsewhere.
func TestRunningElsewhereIsEvidence(t *testing.T) {
	f := newFleet()
	quarantineAfter := 0
	for range 20 {
		f.run("good", "other0", time.Minute)
	}
	f.badWorkers["bad"] = true
	for i := range 8 {
		job := fmt.Sprintf("j%d0", i)
		f.run("bad", job, time.Second)
		f.now = f.now.Add(time.Minute)
		f.decisions = append(f.decisions, f.a.Observe(attribution.Outcome{
			At: f.now, Job: job, RanFor: time.Minute, Result: attribution.ResultRunning, Work: "work0", Worker: "good",
		})...)
		if f.a.IsQuarantined("bad") {
			quarantineAfter = i + 1
			break
		}
		assert.Equal(t, f.a.IsSuspect("bad"), i >= 1)
	}
	assert.Assert(t, quarantineAfter > 2, f.kinds())
}

// Guards against a job that is parked while the host list lags, and one that waits for ever.
func TestNeverFits(t *testing.T) {
	f := newFleet()
	_, parked := f.a.NeverFits("j", "cpu_milli=99000", f.now)
	assert.Assert(t, !parked)
	d, parked := f.a.NeverFits("j", "cpu_milli=99000", f.now.Add(time.Minute))
	assert.Assert(t, parked)
	assert.Equal(t, d.Reason, "fits no worker: cpu_milli=99000")
}

// Guards against a baseline that forgives, which would flatter it in comparisons.
func TestFixedBlacklist(t *testing.T) {
	f := newFleet(attribution.WithPolicy(attribution.PolicyFixedBlacklist))
	f.badJobs["j"] = true
	for range 3 {
		f.run("w", "j", time.Second)
	}
	assert.Assert(t, f.a.IsQuarantined("w"))
	assert.Assert(t, !f.a.MayProbe("w", f.now.Add(24*time.Hour)))
}
