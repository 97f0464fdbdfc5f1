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

// simulation runs tasks of jobs on workers. Every task of a bad job or on a bad worker fails.
type simulation struct {
	a          *attribution.Attributor
	badJobs    map[string]bool
	badWorkers map[string]bool
	now        time.Time
	decisions  []attribution.Decision
}

func newSimulation(opts ...attribution.Option) *simulation {
	return &simulation{
		a: attribution.New(opts...), badJobs: map[string]bool{}, badWorkers: map[string]bool{},
		now: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC),
	}
}

func (s *simulation) run(worker, job string, ranFor time.Duration) {
	o := attribution.Outcome{
		At: s.now, Job: job, RanFor: ranFor, Result: attribution.ResultSucceeded,
		Task: job + "/0", Work: "work" + job[len(job)-1:], Worker: worker,
	}
	if s.badJobs[job] || s.badWorkers[worker] {
		o.Reason, o.Result = "exit status 1", attribution.ResultFailed
	}
	s.decisions = append(s.decisions, s.a.Observe(o)...)
	s.now = s.now.Add(ranFor + time.Second)
}

func (s *simulation) decisionSummary() string {
	var out []string
	for _, d := range s.decisions {
		out = append(out, string(d.Kind)+" "+d.Worker+d.Job)
	}
	return strings.Join(out, ", ")
}

// Guards against quarantining a healthy worker because of bad jobs, parking a good job because of bad workers, and never
// detecting either, while both are present.
func TestObserveProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation()
		workers, jobs := rapid.IntRange(8, 20).Draw(t, "workers"), rapid.IntRange(10, 30).Draw(t, "jobs")
		for i := range rapid.IntRange(0, 4).Draw(t, "bad workers") {
			s.badWorkers[fmt.Sprint("w", i)] = true
		}
		for i := range rapid.IntRange(0, jobs-5).Draw(t, "bad jobs") {
			s.badJobs[fmt.Sprint("j", i)] = true
		}
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		for range 3000 {
			w, j := fmt.Sprint("w", rng.IntN(workers)), fmt.Sprint("j", rng.IntN(jobs))
			if _, parked := s.a.IsParked(j); parked || s.a.IsQuarantined(w) && !s.a.MayProbe(w, s.now) {
				continue
			}
			s.a.ProbeStarted(w, s.now)
			s.run(w, j, time.Duration(1+rng.IntN(20))*time.Second)
		}
		for i := range workers {
			w := fmt.Sprint("w", i)
			if s.a.IsQuarantined(w) != s.badWorkers[w] {
				t.Fatalf("worker %s: bad %t, decisions %s", w, s.badWorkers[w], s.decisionSummary())
			}
		}
		for i := range jobs {
			j := fmt.Sprint("j", i)
			if _, parked := s.a.IsParked(j); parked != s.badJobs[j] {
				t.Fatalf("job %s: bad %t, decisions %s", j, s.badJobs[j], s.decisionSummary())
			}
		}
		for _, d := range s.decisions {
			if d.Kind == attribution.KindQuarantine && !s.badWorkers[d.Worker] ||
				d.Kind == attribution.KindPark && !s.badJobs[d.Job] {
				t.Fatalf("healthy worker quarantined or good job parked: %+v", d)
			}
		}
	})
}

// Guards against quarantining a healthy worker because several jobs fail on it occasionally.
func TestFlakyJobsQuarantineNoWorker(t *testing.T) {
	for seed := range uint64(50) {
		rng := rand.New(rand.NewPCG(seed, 2))
		s := newSimulation()
		for range 3000 {
			j := fmt.Sprint("j", rng.IntN(30))
			s.badJobs[j] = rng.IntN(3) == 0
			s.run(fmt.Sprint("w", rng.IntN(10)), j, time.Second)
		}
		assert.Assert(t, !strings.Contains(s.decisionSummary(), string(attribution.KindQuarantine)), "seed %d: %+v", seed, s.decisions[:1])
	}
}

func quarantineBadWorker(s *simulation) {
	for i := range 6 {
		for range 8 {
			s.run("good", fmt.Sprint("j", i), time.Second)
		}
	}
	s.badWorkers["bad"] = true
	for i := 0; i < 6 && !s.a.IsQuarantined("bad"); i++ {
		s.run("bad", fmt.Sprint("j", i), time.Second)
	}
}

// Guards against probes in too quick succession, parallel probes, and probes that never end a quarantine.
func TestProbeDelayAndRelease(t *testing.T) {
	s := newSimulation()
	quarantineBadWorker(s)
	assert.Assert(t, s.a.IsQuarantined("bad"), s.decisionSummary())
	var last time.Duration
	for range 3 {
		since := s.now
		for !s.a.MayProbe("bad", s.now) {
			s.now = s.now.Add(time.Second)
		}
		assert.Assert(t, s.now.Sub(since) > last, "probe delay %s after %s", s.now.Sub(since), last)
		last = s.now.Sub(since)
		s.a.ProbeStarted("bad", s.now)
		assert.Assert(t, !s.a.MayProbe("bad", s.now))
		s.now = s.now.Add(2 * time.Second)
		s.run("bad", "j0", time.Second)
	}
	s.badWorkers["bad"] = false
	s.now = s.now.Add(time.Hour)
	s.run("bad", "j0", time.Second)
	assert.Assert(t, !s.a.IsQuarantined("bad"))
}

// Guards against quarantining a healthy worker because it is the first to receive many bad jobs of works that otherwise
// succeed.
func TestManyBadJobsQuarantineNoWorker(t *testing.T) {
	s := newSimulation()
	for range 100 {
		s.run("good", "other0", time.Second)
	}
	for i := range 20 {
		job := fmt.Sprintf("bad%d0", i)
		s.badJobs[job] = true
		s.run("first", job, time.Second)
	}
	assert.Equal(t, s.decisionSummary(), "")
}

// Guards against regarding a worker as healthy because tasks succeed that started before it became faulty.
func TestTasksStartedBeforeFailureAreNoEvidence(t *testing.T) {
	s := newSimulation()
	s.badWorkers["w"] = true
	s.run("w", "j0", time.Second)
	s.run("w", "j1", time.Second)
	assert.Assert(t, s.a.IsSuspect("w"))
	s.badWorkers["w"] = false
	s.run("w", "j2", time.Hour)
	assert.Assert(t, s.a.IsSuspect("w"))
	s.run("w", "j2", time.Second)
	assert.Assert(t, !s.a.IsSuspect("w"))
}

// Guards against parking a job because of failures on workers that were quarantined at the time and later repaired.
func TestFailuresOnQuarantinedWorkersParkNoJob(t *testing.T) {
	s := newSimulation()
	bad := []string{"b0", "b1", "b2"}
	for i := range 6 {
		for range 8 {
			s.run("good", fmt.Sprint("j", i), time.Second)
		}
	}
	for _, w := range bad {
		s.badWorkers[w] = true
		for _, job := range []string{"j6", "j0", "j1", "j2", "j3", "j4", "j5"} {
			s.run(w, job, time.Second)
		}
		assert.Assert(t, s.a.IsQuarantined(w), s.decisionSummary())
	}
	clear(s.badWorkers)
	for _, w := range bad {
		s.now = s.now.Add(time.Hour)
		s.run(w, "j0", time.Second)
		assert.Assert(t, !s.a.IsQuarantined(w))
	}
	s.badJobs["j6"] = true
	s.run("good", "j6", time.Second)
	s.run("good", "j0", time.Second)
	_, parked := s.a.IsParked("j6")
	assert.Assert(t, !parked)
}

// Guards against detecting a bad worker only after long tasks have ended on other workers.
func TestRunningElsewhereIsEvidence(t *testing.T) {
	s := newSimulation()
	quarantinedAfter := 0
	for range 20 {
		s.run("good", "other0", time.Minute)
	}
	s.badWorkers["bad"] = true
	for i := range 8 {
		job := fmt.Sprintf("j%d0", i)
		s.run("bad", job, time.Second)
		s.now = s.now.Add(time.Minute)
		s.decisions = append(s.decisions, s.a.Observe(attribution.Outcome{
			At: s.now, Job: job, RanFor: time.Minute, Result: attribution.ResultRunning, Work: "work0", Worker: "good",
		})...)
		if s.a.IsQuarantined("bad") {
			quarantinedAfter = i + 1
			break
		}
		assert.Equal(t, s.a.IsSuspect("bad"), i >= 1)
	}
	assert.Assert(t, quarantinedAfter > 2, s.decisionSummary())
}

// Guards against parking a job because the host list is delayed, and against a job that waits forever although it is too
// large for every worker.
func TestNeverFits(t *testing.T) {
	s := newSimulation()
	_, parked := s.a.RecordNeverFits("j", "cpu_milli=99000", s.now)
	assert.Assert(t, !parked)
	d, parked := s.a.RecordNeverFits("j", "cpu_milli=99000", s.now.Add(time.Minute))
	assert.Assert(t, parked)
	assert.Equal(t, d.Reason, "fits no worker: cpu_milli=99000")
}

// Guards against a baseline policy that lifts a quarantine, which would improve its results in comparisons.
func TestFixedBlacklistNeverReleases(t *testing.T) {
	s := newSimulation(attribution.WithPolicy(attribution.PolicyFixedBlacklist))
	s.badJobs["j"] = true
	for range 3 {
		s.run("w", "j", time.Second)
	}
	assert.Assert(t, s.a.IsQuarantined("w"))
	assert.Assert(t, !s.a.MayProbe("w", s.now.Add(24*time.Hour)))
}
