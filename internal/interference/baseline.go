package interference

import "math"

const (
	// baselineQuantile is the low quantile of latencies that serves as the baseline of a service that never runs
	// without batch neighbours. It is used after minContendedSamples samples.
	baselineQuantile    = 0.1
	minContendedSamples = 30
	// quantileStep is the initial step by which a sample moves the quantile; it shrinks to a tenth.
	quantileStep = 0.1
	// minSampleWeight is the minimum weight of the newest sample, so that baselines follow new versions of a service.
	minSampleWeight = 0.05
	// minIsolatedSamples is the number of samples without batch neighbours after which their mean is the baseline.
	minIsolatedSamples = 3
)

// baseline estimates the latency of a service without batch neighbours at one load level. Latencies are logarithms of
// seconds.
type baseline struct {
	isolatedMean      float64
	isolatedSamples   int
	contendedQuantile float64
	contendedSamples  int
}

// addIsolated adds a sample that was taken without batch neighbours.
func (b *baseline) addIsolated(log float64) {
	b.isolatedSamples++
	b.isolatedMean += (log - b.isolatedMean) * max(minSampleWeight, 1/float64(b.isolatedSamples))
}

// addContended adds a sample that was taken with batch neighbours. It tracks the quantile by stochastic approximation.
func (b *baseline) addContended(log float64) {
	b.contendedSamples++
	if b.contendedSamples == 1 {
		b.contendedQuantile = log
		return
	}
	step := max(quantileStep/10, quantileStep/math.Sqrt(float64(b.contendedSamples)))
	if log < b.contendedQuantile {
		b.contendedQuantile -= step * (1 - baselineQuantile)
	} else {
		b.contendedQuantile += step * baselineQuantile
	}
}

// value returns the baseline, and whether there are enough samples for one.
func (b *baseline) value() (float64, bool) {
	switch {
	case b == nil:
		return 0, false
	case b.isolatedSamples >= minIsolatedSamples:
		return b.isolatedMean, true
	}
	return b.contendedQuantile, b.contendedSamples >= minContendedSamples
}
