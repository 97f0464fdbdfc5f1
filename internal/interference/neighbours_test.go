package interference_test

import (
	"bytes"
	"math"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"github.com/laburnumridge/laburnumridge/internal/interference"
)

// Guards against reports that come too late for a pace beside tasks near their target, and against polls that a task with slack, one
// without harmful neighbours or a falling load does not need.
func TestPollWaitFollowsTimeToTarget(t *testing.T) {
	const shortest, longest = 200 * time.Millisecond, 700 * time.Millisecond
	for _, c := range []struct {
		name     string
		serving  interference.Serving
		min, max time.Duration
	}{
		{"over its target", interference.Serving{Tail: 1.1, Load: 0.6, Pressure: 0.1}, shortest, shortest},
		{"at the allowed pressure", interference.Serving{Tail: 0.9, Load: 0.6, Pressure: 0.16}, shortest, shortest},
		{"a rising load", interference.Serving{Tail: 0.55, Load: 0.45, Slope: 0.13, Pressure: 0.12}, 300 * time.Millisecond, 600 * time.Millisecond},
		{"the same with an unknown pair", interference.Serving{Tail: 0.55, Load: 0.45, Slope: 0.13, Pressure: 0.12, Uncertainty: 0.15}, shortest, shortest},
		{"slack", interference.Serving{Tail: 0.4, Load: 0.42, Pressure: 0.03, Slope: 0.05}, longest, longest},
		{"no harmful neighbour", interference.Serving{Tail: 1.5, Load: 0.85, Slope: 0.1}, longest, longest},
		{"a falling load", interference.Serving{Tail: 0.6, Load: 0.5, Slope: -0.13, Pressure: 0.1}, longest, longest},
	} {
		wait := interference.PollWait([]interference.Serving{{Tail: 0.3, Load: 0.3}, c.serving}, shortest, longest)
		assert.Check(t, wait >= c.min && wait <= c.max, "%s: %s", c.name, wait)
	}
}

// Guards against halts by reports that cannot show the paces set before them, and against ones that wait longer than the bounds for
// workers with late reports.
func TestHaltFollowsReportsThatShowThePaces(t *testing.T) {
	for _, c := range []struct {
		interval, repace time.Duration
		harmful, all     time.Duration
	}{
		{interval: 220 * time.Millisecond, harmful: 880 * time.Millisecond, all: 1320 * time.Millisecond},
		{interval: 220 * time.Millisecond, repace: 440 * time.Millisecond, harmful: 880 * time.Millisecond, all: 1320 * time.Millisecond},
		// The paces never take effect before they change again, so the bounds apply.
		{interval: 220 * time.Millisecond, repace: 220 * time.Millisecond, harmful: 1320 * time.Millisecond, all: 1760 * time.Millisecond},
		{interval: 720 * time.Millisecond, harmful: 1440 * time.Millisecond, all: 2160 * time.Millisecond},
	} {
		var e interference.Excursion
		var pacedAt time.Time
		harmful, all := time.Duration(0), time.Duration(0)
		for at := time.Duration(0); all == 0; at += c.interval {
			now := time.Unix(1000, 0).Add(at)
			e = e.WithReport(now, pacedAt, 1.2)
			switch weight := e.HaltedWeight(now); {
			case weight == 0:
				all = at
			case !math.IsInf(weight, 1) && harmful == 0:
				harmful = at
			}
			if c.repace > 0 && at%c.repace == 0 {
				pacedAt = now
			}
		}
		assert.Check(t, harmful == c.harmful && all == c.all, "%+v: %s, %s", c, harmful, all)
		assert.Check(t, !e.WithReport(time.Unix(1005, 0), pacedAt, 0.9).IsOver())
	}
}

// Guards against a state that hides the cause: paces that do not show yet, and tasks that are throttled although that no longer helps.
func TestStateNamesCauseOfExcursion(t *testing.T) {
	known := []interference.Neighbour{{Use: 0.1}}
	settled := interference.Situation{BestEffort: known, OwnerAge: time.Minute, PaceAge: time.Minute}
	settled.Serving = interference.Serving{Allowed: 0.1, Pressure: 0.2, Load: 0.6}
	for want, change := range map[interference.State]func(*interference.Situation){
		interference.StateAfterTakeover:        func(s *interference.Situation) { s.OwnerAge = time.Second },
		interference.StateUnknownPair:          func(s *interference.Situation) { s.BestEffort = []interference.Neighbour{{Use: 0.1, IsUnknown: true}} },
		interference.StateLatePace:             func(s *interference.Situation) { s.PaceAge, s.Pressure = 300*time.Millisecond, 0.1 },
		interference.StateThrottledWithoutGain: func(s *interference.Situation) { s.Pressure = 0.01 },
		interference.StateSaturated:            func(s *interference.Situation) { s.Allowed = interference.MinAllowedPressure },
		interference.StateLoadChange:           func(s *interference.Situation) { s.Slope = 0.1 },
		interference.StatePressureChange:       func(*interference.Situation) {},
	} {
		s := settled
		change(&s)
		assert.Check(t, s.State() == want, "%s, not %s", s.State(), want)
	}
}

// Guards against a volume of log lines that grows with the number of workers, and against lines that are left out without a trace.
func TestLinesAreBounded(t *testing.T) {
	var logged bytes.Buffer
	log := logrus.New()
	log.SetOutput(&logged)
	var o interference.Observer
	lastLines := map[int]time.Time{}
	situations := []interference.Situation{{Serving: interference.Serving{Image: "s", Tail: 1.2}}}
	now := time.Unix(1000, 0)
	for range 15 { // three seconds of reports each 0.2 s
		for worker := range 30 {
			if o.Report(now, logrus.NewEntry(log), lastLines[worker], situations) {
				lastLines[worker] = now
			}
		}
		now = now.Add(200 * time.Millisecond)
	}
	assert.Equal(t, strings.Count(logged.String(), "decision=interference"), 30)
	assert.Assert(t, strings.Contains(logged.String(), "skipped=100"))
}

// Guards against a successor that takes a pair for unknown because the variance that its predecessor recorded is doubled.
func TestRestoredWeightsStayKnown(t *testing.T) {
	now := time.Unix(0, 0)
	recorded := []interference.PairWeight{{BestEffort: "f", Serving: "s", Mean: 2.8, Variance: 0.2}}
	successor, other := interference.NewPressureModel(), interference.NewPressureModel()
	assert.Equal(t, successor.RestoreWeights(now, recorded), 1)
	assert.Equal(t, other.ImportWeights(now, recorded), 1)
	_, upper := successor.Bounds(now, "f", "s")
	assert.Equal(t, upper, 2.8)
	_, upper = other.Bounds(now, "f", "s")
	assert.Assert(t, upper > 2.8)
}
