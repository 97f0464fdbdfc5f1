package interference

import "math"

const (
	// floorQuantile is the low quantile that stands in for the baseline of a service that never runs
	// without batch neighbours; floorSamples is the number of samples that it needs.
	floorQuantile = 0.1
	floorSamples  = 30
	floorStep     = 0.1
	// newestBaseline is the least weight of the newest sample, so that baselines follow new versions.
	newestBaseline = 0.05
	minBaseline    = 3
)

// baseline is the latency of a service at one load level, as a logarithm of seconds.
type baseline struct {
	clean   float64
	cleanN  int
	floor   float64
	crowded int
}

// addClean takes a sample without batch neighbours into account.
func (b *baseline) addClean(log float64) {
	b.cleanN++
	b.clean += (log - b.clean) * max(newestBaseline, 1/float64(b.cleanN))
}

// addCrowded takes a sample with batch neighbours into account by stochastic approximation of a quantile.
func (b *baseline) addCrowded(log float64) {
	b.crowded++
	if b.crowded == 1 {
		b.floor = log
		return
	}
	step := max(floorStep/10, floorStep/math.Sqrt(float64(b.crowded)))
	if log < b.floor {
		b.floor -= step * (1 - floorQuantile)
	} else {
		b.floor += step * floorQuantile
	}
}

func (b *baseline) value() (float64, bool) {
	switch {
	case b == nil:
		return 0, false
	case b.cleanN >= minBaseline:
		return b.clean, true
	}
	return b.floor, b.crowded >= floorSamples
}
