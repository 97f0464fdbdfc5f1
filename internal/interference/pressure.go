package interference

import (
	"math"
	"time"
)

const (
	// idleTail is the tail of a serving task without any load, as a part of its target. Targets are set at four to
	// five times the idle tail.
	idleTail = 0.222
	// maxUtilization bounds what a tail says: above it the queue has not settled within half a second.
	maxUtilization = 0.93
	// tailNoise is the deviation of a measured tail as a part of it: tails are rough figures of half a second.
	tailNoise = 0.11
	// minNoise and modelVariance cover what the model leaves out: uses are rough figures as well, and queues need time.
	minNoise      = 0.05
	modelVariance = 0.001
	// pressureNoise is the deviation of a pressure as a part of it: what a task does to its neighbours changes within
	// seconds.
	pressureNoise = 0.4
	// maxDeviations bounds what a single sample changes, in standard deviations: workers that turn slow have long tails for
	// other reasons.
	maxDeviations = 2.5
	// startWeight and startVariance describe a pair that is not known. Most pairs measured between 0.05 and 0.3, the
	// harmful ones between 2.4 and 3.5.
	startWeight   = 0.25
	startVariance = 1
	// weightDrift is added to a pair's variance each second, so that the weight follows changes of the work.
	weightDrift = 1e-3
	minUse      = 1e-3
)

// Uses is the share of a worker's processors that the tasks of each filling image use.
type Uses map[string]float64

type imagePair struct{ filling, serving string }

// pairWeight is the estimate of a pair with its variance at a time.
type pairWeight struct {
	at             time.Time
	mean, variance float64
}

// drifted returns the estimate at a later time.
func (w pairWeight) drifted(now time.Time) pairWeight {
	if now.After(w.at) {
		w.variance = min(w.variance+weightDrift*now.Sub(w.at).Seconds(), startVariance)
		w.at = now
	}
	return w
}

// Pressure learns how much the tasks of each filling image disturb the tasks of each serving image. A tail is
// idle / (1 - utilization), as in a queue; the utilization is the serving tasks' own load plus, for each filling image, a
// weight times its use of the worker. A Kalman filter with a diagonal covariance splits each error between the load and
// the weights.
type Pressure struct {
	weights map[imagePair]pairWeight
}

// NewPressure returns a model that knows nothing and takes all pairs for mild.
func NewPressure() *Pressure { return &Pressure{weights: map[imagePair]pairWeight{}} }

// Utilization returns what a tail, as a part of its target, says of the utilization behind it.
func Utilization(tail float64) float64 {
	if tail <= idleTail {
		return 0
	}
	return 1 - idleTail/tail
}

// Of returns the pressure that the uses are expected to put on a serving image, as a utilization.
func (p *Pressure) Of(serving string, uses Uses) float64 {
	x := 0.0
	for filling, use := range uses {
		x += p.Weight(filling, serving) * use
	}
	return x
}

// Weight returns the pressure of a use of the whole worker by the filling image.
func (p *Pressure) Weight(filling, serving string) float64 {
	return p.pair(filling, serving).mean
}

func (p *Pressure) pair(filling, serving string) pairWeight {
	if w, ok := p.weights[imagePair{filling, serving}]; ok {
		return w
	}
	return pairWeight{mean: startWeight, variance: startVariance}
}

// Residual returns by how much a measured tail exceeds the utilization that the model expects.
func (p *Pressure) Residual(now time.Time, serving string, load *Load, tail float64, uses Uses) float64 {
	return min(Utilization(tail), maxUtilization) - load.At(now) - p.Of(serving, uses)
}

// Observe takes the tail of a serving task that was measured up to now, as a part of its target, together with the uses of
// the time that it covers, and corrects the tasks' load and the weights.
func (p *Pressure) Observe(now time.Time, serving string, load *Load, tail float64, uses Uses) {
	if tail <= 0 {
		return
	}
	load.advance(now)
	pressure := p.Of(serving, uses)
	expected := load.At(now) + pressure
	measured := min(Utilization(tail), maxUtilization)
	if measured >= maxUtilization && expected >= maxUtilization {
		return // a saturated tail does not tell by how much
	}
	surprise := measured - min(expected, maxUtilization)
	noise := max(tailNoise*(1-measured), minNoise)
	total := load.covariance[0][0] + noise*noise + modelVariance + pressureNoise*pressureNoise*pressure*pressure
	for filling, use := range uses {
		total += p.pair(filling, serving).drifted(now).variance * use * use
	}
	most := maxDeviations * math.Sqrt(total)
	surprise = min(max(surprise, -most), most)
	for filling, use := range uses {
		if use < minUse {
			continue
		}
		w := p.pair(filling, serving).drifted(now)
		gain := w.variance * use / total
		w.mean = max(w.mean+gain*surprise, 0)
		w.variance = w.variance * (1 - gain*use)
		p.weights[imagePair{filling, serving}] = w
	}
	load.correct(surprise, total)
}
