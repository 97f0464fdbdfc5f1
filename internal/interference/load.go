package interference

import (
	"math"
	"time"
)

const (
	// StartLoad is the load that serving tasks are taken to have by themselves until it is known.
	StartLoad = 0.42
	minLoad   = 0.1
	maxLoad   = 0.7
	// startLoadVariance and startSlopeVariance describe tasks whose load is not known: it swings by half of its mean within
	// some ten seconds, and so by up to 0.13 a second.
	startLoadVariance  = 0.02
	startSlopeVariance = 0.01
	// slopeDrift is the variance that a second adds to the slope of a load that swings like that.
	slopeDrift     = 0.01
	maxCorrelation = 0.9
	// maxForecast bounds how far a slope is trusted: a fraction of the time in which the load turns.
	maxForecast = 1500 * time.Millisecond
)

// Load follows the load that the tasks of a serving step have by themselves. They answer the same users, so it is the same
// for all of them, and the tails of all are samples of it. A Kalman filter follows the level and its slope.
type Load struct {
	at time.Time
	// covariance is that of level and slope.
	covariance   [2][2]float64
	level, slope float64
}

// NewLoad returns a load that is not known yet.
func NewLoad(now time.Time) *Load {
	return &Load{at: now, covariance: [2][2]float64{{startLoadVariance, 0}, {0, startSlopeVariance}}, level: StartLoad}
}

// At returns the load that is expected at a time, as a utilization.
func (l *Load) At(t time.Time) float64 {
	ahead := min(max(t.Sub(l.at), 0), maxForecast)
	return min(max(l.level+l.slope*ahead.Seconds(), minLoad), maxLoad)
}

// advance moves the estimate to a time; samples of several workers come out of order by little.
func (l *Load) advance(t time.Time) {
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
	c[0][0] += dt*(c[0][1]+c[1][0]) + dt*dt*c[1][1] + slopeDrift*dt*dt*dt/3
	c[0][1] += dt*c[1][1] + slopeDrift*dt*dt/2
	c[1][1] += slopeDrift * dt
	c[0][0] = min(c[0][0], startLoadVariance)
	c[1][1] = min(c[1][1], startSlopeVariance)
	// The bounds of the variances would leave a covariance that no two variables have.
	most := maxCorrelation * math.Sqrt(c[0][0]*c[1][1])
	c[0][1] = min(max(c[0][1], -most), most)
	c[1][0] = c[0][1]
}

// correct takes a sample that differs from the expectation by surprise; total is the variance of that difference.
func (l *Load) correct(surprise, total float64) {
	c := &l.covariance
	gainLevel, gainSlope := c[0][0]/total, c[1][0]/total
	l.level = min(max(l.level+gainLevel*surprise, minLoad), maxLoad)
	l.slope += gainSlope * surprise
	c00, c01 := c[0][0], c[0][1]
	c[0][0] -= gainLevel * c00
	c[0][1] -= gainLevel * c01
	c[1][1] -= gainSlope * c01
	c[1][0] = c[0][1]
}
