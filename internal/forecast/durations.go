package forecast

import (
	"math"
	"time"
)

const (
	// durationMemory is the number of samples after which older ones lose weight: about 10 jobs of a queue with 40 tasks each.
	durationMemory = 400
	// minSamples is the number of samples from which durations count as learned: one step of 20 tasks.
	minSamples = 20
	// maxSampleRatio bounds the ratio of a duration to its estimate, either way. Estimates are off by up to 0.9 and tasks far from their
	// data take up to 3 times as long, which together is a factor of 30; what is further off is a fault of a clock or of a record.
	maxSampleRatio = 50
	// minVariance is the variance of the logarithms of the estimates below which they are taken for equal.
	minVariance = 1e-6
)

// Durations is what was learned of the durations of similar tasks: sums for a linear regression of the logarithm of the duration on that
// of the estimate, in which older samples lose weight. It is immutable, and its zero value has learned nothing.
type Durations struct {
	n, share, x, xx, xy, y, yy float64
}

// With returns the durations with one more sample: the estimate of a task, how long it took, and which share of its CPU demand it got
// meanwhile. Samples that can't be right are ignored.
func (d Durations) With(estimate, actual time.Duration, share float64) Durations {
	if estimate <= 0 || actual <= 0 || actual > estimate*maxSampleRatio || estimate > actual*maxSampleRatio {
		return d
	}
	if d.n >= durationMemory {
		keep := (durationMemory - 1) / d.n
		d = Durations{n: d.n * keep, share: d.share * keep, x: d.x * keep, xx: d.xx * keep, xy: d.xy * keep, y: d.y * keep, yy: d.yy * keep}
	}
	x, y := math.Log(estimate.Seconds()), math.Log(actual.Seconds())
	return Durations{
		n: d.n + 1, share: d.share + min(max(share, 0), 1), x: d.x + x, xx: d.xx + x*x, xy: d.xy + x*y, y: d.y + y, yy: d.yy + y*y,
	}
}

// Fit returns the regression.
func (d Durations) Fit() Fit {
	if d.n < minSamples {
		return Fit{}
	}
	mx, my := d.x/d.n, d.y/d.n
	vx, vy, cov := d.xx/d.n-mx*mx, d.yy/d.n-my*my, d.xy/d.n-mx*my
	f := Fit{Samples: int(d.n), Share: d.share / d.n}
	if vx > minVariance {
		f.Slope = min(max(cov/vx, 0), 1)
	}
	f.Offset = my - f.Slope*mx
	f.Spread = math.Sqrt(max(vy-2*f.Slope*cov+f.Slope*f.Slope*vx, 0))
	return f
}

// Fit is the regression of learned durations. Its zero value has learned nothing and takes estimates unchanged.
type Fit struct {
	// Offset and Slope are those of the logarithm of the duration in seconds.
	Offset  float64 `json:"offset,omitempty"`
	Samples int     `json:"samples,omitempty"`
	// Share is the mean share of its CPU demand that a task got.
	Share float64 `json:"share,omitempty"`
	Slope float64 `json:"slope,omitempty"`
	// Spread is the standard deviation of the logarithm of the duration.
	Spread float64 `json:"spread,omitempty"`
}

// IsLearned reports whether there were enough samples.
func (f Fit) IsLearned() bool { return f.Samples >= minSamples }

// Expect returns the typical duration of a task with an estimate.
func (f Fit) Expect(estimate time.Duration) time.Duration {
	if !f.IsLearned() || estimate <= 0 {
		return estimate
	}
	seconds := math.Exp(f.Offset + f.Slope*math.Log(estimate.Seconds()))
	return min(max(time.Duration(seconds*float64(time.Second)), estimate/maxSampleRatio), estimate*maxSampleRatio)
}

// cpuShare returns the share of its CPU demand that a task uses while it runs.
func (f Fit) cpuShare() float64 {
	if !f.IsLearned() {
		return 1
	}
	return f.Share
}
