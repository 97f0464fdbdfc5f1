package interference

import (
	"math"
	"time"
)

const (
	// MinAllowedPressure is the pressure that serving tasks are taken to tolerate whatever their own load is, so that tasks
	// which do little harm continue next to them.
	MinAllowedPressure = 0.04
	// paceEffect is the time from the decision on a pace until the task runs at it.
	paceEffect = 100 * time.Millisecond
	// tailWindow is the time that a measured tail latency covers.
	tailWindow = 500 * time.Millisecond
	// PaceShown is the time after which most of a measurement was taken at a new pace.
	PaceShown = paceEffect + tailWindow/2
	// pressureGrowth is the part of the present pressure by which it may grow per second: it swings by a factor of two
	// within seconds.
	pressureGrowth = 1.0
	// targetTail is the ratio of a tail latency to its target at which the target is reached.
	targetTail = 1.0
)

// Serving is what is known of a serving task beside best-effort tasks.
type Serving struct {
	// Allowed is the pressure that the task tolerates, and Pressure the one expected at the present paces. Uncertainty is
	// the standard deviation of Pressure.
	Allowed, Pressure, Uncertainty float64
	Image                          string
	// Load is the task's own load as a utilization, and Slope its change per second.
	Load, Slope float64
	// Tail is the tail latency measured last, as a ratio to its target; 0 if there is none.
	Tail float64
}

// NewServing describes a serving task by its load, which is nil before the first measurement, and the uses of the best-effort images
// beside it. factor is the ratio of the measured pressure to the one that the model expects.
func (p *PressureModel) NewServing(now time.Time, image string, load *LoadEstimate, uses CPUUsage, factor float64) Serving {
	s := Serving{
		Image: image, Load: InitialLoad, Pressure: factor * p.Predict(image, uses), Uncertainty: p.uncertainty(now, image, uses),
	}
	if load != nil {
		s.Load, s.Slope = load.At(now), load.slope
	}
	return s
}

// ToleratedFraction returns the part of a use by one more best-effort task that all of the serving tasks tolerate.
func (p *PressureModel) ToleratedFraction(bestEffort string, use float64, serving []Serving) float64 {
	fraction := 1.0
	for _, s := range serving {
		if cost := p.Weight(bestEffort, s.Image) * use; cost > 0 {
			fraction = min(fraction, max(s.Allowed-s.Pressure, 0)/cost)
		}
	}
	return fraction
}

// TimeToTarget returns the time until the predicted tail latency reaches its target if the paces stay as they are.
func (s Serving) TimeToTarget() time.Duration {
	pressure := s.Pressure + s.Uncertainty
	if pressure <= 0 {
		return math.MaxInt64 // the best-effort tasks do no harm, so no pace delays the time
	}
	margin := UtilizationFromTail(targetTail) - max(s.Load+pressure, UtilizationFromTail(s.Tail))
	growth := s.Slope + pressureGrowth*pressure
	switch {
	case margin <= 0:
		return 0
	case growth <= margin/time.Hour.Seconds():
		return math.MaxInt64
	}
	return time.Duration(margin / growth * float64(time.Second))
}

// PollWait returns how long the next report of a worker may be delayed so that a pace which follows from it still takes effect
// before any of the serving tasks exceeds its target. The result is between shortest and longest. Half of the window of a
// measurement is taken off, since that is the mean age of what a report shows.
func PollWait(serving []Serving, shortest, longest time.Duration) time.Duration {
	wait := longest
	for _, s := range serving {
		wait = min(wait, s.TimeToTarget()-PaceShown)
	}
	return max(wait, min(shortest, longest))
}
