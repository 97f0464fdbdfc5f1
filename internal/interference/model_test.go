package interference_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/laburnumridge/laburnumridge/internal/interference"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// trueSlowdown is the slowdown factor by one task of each work at low and at high load.
var trueSlowdown = map[string][2]float64{"calm": {1, 1}, "noisy": {1.3, 2.5}, "other": {1.1, 1.4}}

func latency(rng *rand.Rand, batch map[string]int, load float64) time.Duration {
	log := math.Log(0.020*(1+load)) + 0.15*rng.NormFloat64()
	high := 0
	if load >= 0.5 {
		high = 1
	}
	for work, n := range batch {
		log += math.Log(trueSlowdown[work][high]) * math.Sqrt(float64(n))
	}
	return time.Duration(math.Exp(log) * float64(time.Second))
}

func sample(worker string, taken time.Time, l time.Duration, load float64) interference.Sample {
	return interference.Sample{Latency: l, Load: load, Service: "dosing", Taken: taken, Worker: worker}
}

// train returns a model with samples of simulated workers, whose tasks change every 20 s and whose samples arrive 7 s
// late.
func train(seed uint64) *interference.Model {
	m := interference.NewModel()
	rng := rand.New(rand.NewPCG(seed, 1))
	works := []string{"calm", "noisy", "other"}
	type report struct {
		at time.Time
		s  interference.Sample
	}
	var delayed []report
	sets := make([]map[string]int, 6)
	for second := range 3000 {
		now := start.Add(time.Duration(second) * time.Second)
		for i := range sets {
			w := fmt.Sprint("w", i)
			if (second+3*i)%20 == 0 || sets[i] == nil {
				sets[i] = map[string]int{}
				for range rng.IntN(4) {
					sets[i][works[rng.IntN(3)]]++
				}
				m.Record(w, now, interference.TaskSet{Batch: sets[i], Services: []string{"dosing"}})
			}
			load := 0.1
			if second/100%2 == 1 {
				load = 0.9
			}
			delayed = append(delayed, report{now.Add(7 * time.Second), sample(w, now, latency(rng, sets[i], load), load)})
		}
		for len(delayed) > 0 && !delayed[0].at.After(now) {
			m.Observe(delayed[0].s)
			delayed = delayed[1:]
		}
	}
	return m
}

// Guards against slowdowns that are estimated from the wrong set of tasks or at the wrong load, or that are attributed
// to a neighbour that does not cause them.
func TestModelLearnsPairs(t *testing.T) {
	for seed := range uint64(5) {
		m := train(seed)
		for work, want := range trueSlowdown {
			for level, load := range []float64{0.1, 0.9} {
				m.Record("new", start, interference.TaskSet{Services: []string{"dosing"}})
				m.Observe(sample("new", start, 20*time.Millisecond, load))
				got := m.Predict("new", work)
				assert.Assert(t, got > want[level]/1.15 && got < want[level]*1.15,
					"seed %d, %s at load %g: predicted %.2f, true %.2f", seed, work, load, got, want[level])
			}
		}
	}
}

// Guards against matching samples to tasks that ran earlier or later.
func TestObserveMatchesSamplesToTasks(t *testing.T) {
	at := func(s int) time.Time { return start.Add(time.Duration(s) * time.Second) }
	m := interference.NewModel()
	for i := range 100 {
		m.Record("w", at(2*i), interference.TaskSet{Batch: map[string]int{fmt.Sprint("b", i): 1}, Services: []string{"dosing"}})
	}
	for _, tc := range []struct {
		taken  int
		window time.Duration
		status interference.Status
		work   string
	}{
		{197, 0, interference.StatusNoBaseline, "b98"},
		{198, 0, interference.StatusNoBaseline, "b99"},
		{198, time.Second, interference.StatusTasksChanged, ""},
		{199, time.Second, interference.StatusNoBaseline, "b99"},
		{20, 0, interference.StatusUnmatched, ""},
	} {
		s := sample("w", at(tc.taken), time.Millisecond, 0)
		s.Window = tc.window
		o := m.Observe(s)
		assert.Equal(t, o.Status, tc.status, "taken at %d", tc.taken)
		if tc.work != "" {
			assert.Equal(t, o.Batch[0].Work, tc.work)
		}
	}
	assert.Equal(t, m.Observe(sample("unknown", start, time.Millisecond, 0)).Status, interference.StatusUnmatched)
}

// Guards against a baseline policy that uses the model it is compared with.
func TestPolicyNone(t *testing.T) {
	m := interference.NewModel(interference.WithPolicy(interference.PolicyNone))
	m.Record("w", start, interference.TaskSet{Services: []string{"dosing"}})
	assert.Equal(t, m.Observe(sample("w", start, time.Second, 0)).Status, interference.StatusNoModel)
	assert.Equal(t, m.Predict("w", "noisy"), 1.0)
}

func BenchmarkPredict(b *testing.B) {
	m := train(1)
	for i := range 600 {
		m.Record(fmt.Sprint("p", i), start, interference.TaskSet{
			Batch: map[string]int{"calm": 2, "noisy": 1, "other": 2}, Services: []string{"dosing", "plans"},
		})
	}
	b.ReportAllocs()
	for b.Loop() {
		m.Predict("p7", "noisy")
	}
}
