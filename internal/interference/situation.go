package interference

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/sirupsen/logrus"
)

// State says why a serving task beside best-effort tasks is above its latency target.
type State string

// States of serving tasks above their target. The first one that applies is given.
const (
	// StateAfterTakeover means that the owner has few samples of its own yet.
	StateAfterTakeover State = "after_takeover"
	// StateUnknownPair means that a best-effort image runs beside it whose effect has not been learned.
	StateUnknownPair State = "unknown_pair"
	// StateLatePace means that the present paces suffice by the model, but do not show in the measurements yet.
	StateLatePace State = "late_pace"
	// StateThrottledWithoutGain means that the best-effort tasks do no more harm at their present paces.
	StateThrottledWithoutGain State = "throttled_without_gain"
	// StateSaturated means that the own load of the serving task leaves no room for others.
	StateSaturated State = "saturated"
	// StateLoadChange means that the own load of the serving task rises.
	StateLoadChange State = "load_change"
	// StatePressureChange is the rest: best-effort tasks of known images do more harm than expected.
	StatePressureChange State = "pressure_change"
)

const (
	// takeoverTime is the time after a takeover in which owners had several times as many serving tasks over their targets.
	takeoverTime = 5 * time.Second
	// steepSlope is the change of a load per second that counts as a change. A sine wave as in initialSlopeVariance rises by up to
	// 0.13 per second.
	steepSlope = 0.05
)

// Neighbour is a best-effort image that runs beside a serving task.
type Neighbour struct {
	Image string
	// Pace is the mean pace of its runs in percent, and Use the fraction of the worker's CPU that they use.
	Pace int
	Use  float64
	// Weight is the learned weight of the pair, and Variance its variance. The pair is unknown if IsUnknown is set.
	Weight, Variance float64
	IsUnknown        bool
}

// Paces collects the paces of the best-effort runs on a worker by image.
type Paces map[string]paceSum

type paceSum struct {
	runs int
	sum  float64
}

// Add adds a run that goes at a fraction of its full speed.
func (p Paces) Add(image string, fraction float64) {
	s := p[image]
	p[image] = paceSum{runs: s.runs + 1, sum: s.sum + fraction}
}

// Neighbours returns the best-effort images beside a serving image with what has been learned of each pair, sorted by image.
func (p *PressureModel) Neighbours(now time.Time, serving string, paces Paces, uses CPUUsage) []Neighbour {
	out := make([]Neighbour, 0, len(paces))
	for _, image := range slices.Sorted(maps.Keys(paces)) {
		w := p.pair(image, serving).predict(now)
		out = append(out, Neighbour{
			Image: image, IsUnknown: w.variance > maxExportedVariance, Pace: int(100 * paces[image].sum / float64(paces[image].runs)),
			Use: uses[image], Variance: w.variance, Weight: w.mean,
		})
	}
	return out
}

// Situation describes a serving task above its target.
type Situation struct {
	Serving
	BestEffort []Neighbour
	// For is how long the task was above its target since the report before.
	For time.Duration
	// OwnerAge is the time since the takeover of the shard, PaceAge that since a pace on the worker was changed.
	OwnerAge, PaceAge time.Duration
}

// State returns why the task is above its target.
func (s Situation) State() State {
	if s.OwnerAge < takeoverTime {
		return StateAfterTakeover
	}
	for _, n := range s.BestEffort {
		if n.IsUnknown && n.Use > minUsage {
			return StateUnknownPair
		}
	}
	switch {
	case s.PaceAge < paceEffect+tailWindow && s.Pressure <= s.Allowed:
		return StateLatePace
	case s.Pressure < MinAllowedPressure:
		return StateThrottledWithoutGain
	case s.Allowed <= MinAllowedPressure:
		return StateSaturated
	case s.Slope >= steepSlope:
		return StateLoadChange
	}
	return StatePressureChange
}

// LogFields returns the fields of a log line about the situation.
func (s Situation) LogFields() logrus.Fields {
	neighbours := make([]string, 0, len(s.BestEffort))
	for _, n := range s.BestEffort {
		neighbours = append(neighbours, fmt.Sprintf("%s weight=%.2f variance=%.3f use=%.3f pace=%d", n.Image, n.Weight, n.Variance, n.Use, n.Pace))
	}
	return logrus.Fields{
		"allowed": round(s.Allowed), "decision": "interference", "fills": neighbours, "load": round(s.Load), "pressure": round(s.Pressure),
		"serving": s.Image, "slope": round(s.Slope), "state": string(s.State()), "tail": round(s.Tail),
	}
}

// round returns a number with three decimals.
func round(x float64) float64 { return math.Round(1000*x) / 1000 }
