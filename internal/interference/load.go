package interference

import (
	"math"
	"time"
)

const (
	// StartLoad is the utilization by serving tasks themselves that is assumed until it is measured.
	StartLoad = 0.42
	minLoad   = 0.1
	maxLoad   = 0.7
	// initialLoadVariance and initialSlopeVariance apply to tasks whose load is unknown. Such a load varies by half of
	// its mean within about ten seconds, which is up to 0.13 per second.
	initialLoadVariance  = 0.02
	initialSlopeVariance = 0.01
	// slopeProcessNoise is the variance that is added to the slope per second for a load that varies by that much.
	slopeProcessNoise = 0.01
	maxCorrelation    = 0.9
	// maxForecast is how far ahead the slope is extrapolated, a fraction of the time in which the load reverses.
	maxForecast = 1500 * time.Millisecond
)

// Load estimates the utilization that the serving tasks of a workflow step cause themselves, without pressure by
// other tasks. The tasks of a step answer the same users and thus have the same load, so the tail latency of each is a
// sample of it. A Kalman filter estimates the level and its slope.
type Load struct {
	at time.Time
	// covariance is the covariance matrix of level and slope.
	covariance   [2][2]float64
	level, slope float64
}

// NewLoad returns an estimate without samples.
func NewLoad(now time.Time) *Load {
	return &Load{at: now, covariance: [2][2]float64{{initialLoadVariance, 0}, {0, initialSlopeVariance}}, level: StartLoad}
}

// At returns the predicted load at time t, as a utilization.
func (l *Load) At(t time.Time) float64 {
	ahead := min(max(t.Sub(l.at), 0), maxForecast)
	return min(max(l.level+l.slope*ahead.Seconds(), minLoad), maxLoad)
}

// predict advances the estimate to time t. An earlier t changes nothing, since samples of different workers may arrive
// slightly out of order.
func (l *Load) predict(t time.Time) {
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
func (l *Load) update(innovation, innovationVariance float64) {
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
