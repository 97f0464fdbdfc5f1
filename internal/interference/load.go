package interference

import (
	"math"
	"time"
)

const (
	// InitialLoad is the utilization by serving tasks themselves that is assumed before the first sample.
	InitialLoad = 0.42
	minLoad     = 0.1
	maxLoad     = 0.7
	// initialLoadVariance and initialSlopeVariance apply to tasks whose load is unknown. They suit a load that follows
	// a sine wave around InitialLoad with an amplitude of half its mean and a period of ten seconds, whose slope is at
	// most 0.13 per second.
	initialLoadVariance  = 0.02
	initialSlopeVariance = 0.01
	// slopeProcessNoise is the variance that is added to the slope per second, for the same sine wave.
	slopeProcessNoise = 0.01
	maxCorrelation    = 0.9
	// maxForecast is how far ahead the slope is extrapolated. It is well below the five seconds after which the sine wave
	// reverses.
	maxForecast = 1500 * time.Millisecond
)

// LoadEstimate estimates the utilization that the serving tasks of a workflow step cause themselves, without pressure
// by other tasks. The tasks of a step answer the same users and thus have the same load, so the tail latency of each
// gives a sample of it. A Kalman filter estimates the level and its slope.
type LoadEstimate struct {
	// at is the time to which the estimate applies.
	at time.Time
	// covariance is the covariance matrix of level and slope.
	covariance [2][2]float64
	// level is a utilization, slope its change per second.
	level, slope float64
}

// NewLoadEstimate returns an estimate without samples.
func NewLoadEstimate(now time.Time) *LoadEstimate {
	return &LoadEstimate{at: now, covariance: [2][2]float64{{initialLoadVariance, 0}, {0, initialSlopeVariance}}, level: InitialLoad}
}

// At returns the predicted load at time t, as a utilization.
func (l *LoadEstimate) At(t time.Time) float64 {
	ahead := min(max(t.Sub(l.at), 0), maxForecast)
	return min(max(l.level+l.slope*ahead.Seconds(), minLoad), maxLoad)
}

// advanceTo advances the estimate to time t. An earlier t changes nothing, since samples of different workers may arrive
// slightly out of order.
func (l *LoadEstimate) advanceTo(t time.Time) {
	if !t.After(l.at) {
		return
	}
	dt := t.Sub(l.at).Seconds()
	level := l.At(t)
	if t.Sub(l.at) > maxForecast {
		l.slope = 0
	}
	l.at, l.level = t, level
	c := &l.covariance
	c[0][0] += dt*(c[0][1]+c[1][0]) + dt*dt*c[1][1] + slopeProcessNoise*dt*dt*dt/3
	c[0][1] += dt*c[1][1] + slopeProcessNoise*dt*dt/2
	c[1][1] += slopeProcessNoise * dt
	c[0][0] = min(c[0][0], initialLoadVariance)
	c[1][1] = min(c[1][1], initialSlopeVariance)
	// Limiting the variances alone could make the covariance matrix invalid.
	limit := maxCorrelation * math.Sqrt(c[0][0]*c[1][1])
	c[0][1] = min(max(c[0][1], -limit), limit)
	c[1][0] = c[0][1]
}

// update corrects the estimate by the innovation, which is the difference between a sample and its prediction.
// innovationVariance is the expected variance of that difference, from the uncertainty of the estimates and the noise of the
// sample.
func (l *LoadEstimate) update(innovation, innovationVariance float64) {
	c := &l.covariance
	gainLevel, gainSlope := c[0][0]/innovationVariance, c[1][0]/innovationVariance
	l.level = min(max(l.level+gainLevel*innovation, minLoad), maxLoad)
	l.slope += gainSlope * innovation
	c00, c01 := c[0][0], c[0][1]
	c[0][0] -= gainLevel * c00
	c[0][1] -= gainLevel * c01
	c[1][1] -= gainSlope * c01
	c[1][0] = c[0][1]
}
