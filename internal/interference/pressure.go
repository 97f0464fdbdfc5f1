package interference

import (
	"math"
	"time"
)

const (
	// idleTailRatio is the ratio of tail latency to target of a serving task without load. Targets are set to four to
	// five times the idle tail latency.
	idleTailRatio = 0.222
	// maxUtilization is the highest utilization that is inferred from a tail latency. Above it the queue does not reach
	// a steady state within the half second over which tail latencies are measured.
	maxUtilization = 0.93
	// relativeTailNoise is the standard deviation of a measured tail latency relative to its value. It is large because
	// each value covers only half a second.
	relativeTailNoise = 0.11
	// minNoise and modelVariance account for effects that are not modelled: measured CPU usage is inexact as well, and
	// queues take time to build up and drain.
	minNoise      = 0.05
	modelVariance = 0.001
	// relativePressureNoise is the standard deviation of a pressure relative to its value. The effect of a task on its
	// neighbours changes within seconds.
	relativePressureNoise = 0.4
	// maxTailInnovation limits the correction by a single sample, in standard deviations. Tail latencies also rise for
	// other reasons, such as a worker that becomes slow.
	maxTailInnovation = 2.5
	// initialWeight and initialWeightVariance apply to unknown pairs. Most pairs measured between 0.05 and 0.3, the
	// harmful ones between 2.4 and 3.5.
	initialWeight         = 0.25
	initialWeightVariance = 1
	// weightProcessNoise is added to the variance of a pair per second, so that the weight follows changes of the work.
	weightProcessNoise = 1e-3
	// minUsage is the CPU usage below which a sample does not change a weight.
	minUsage = 1e-3
)

// CPUUsage maps each best-effort image to the fraction of the worker's CPU capacity that its tasks use.
type CPUUsage map[string]float64

// imagePair is the image of best-effort tasks and the image of the serving tasks that they slow down.
type imagePair struct{ bestEffort, serving string }

// weightEstimate is the estimated weight of a pair with its variance at a point in time.
type weightEstimate struct {
	at             time.Time
	mean, variance float64
}

// predict returns the estimate for a later time, at which its variance is larger.
func (w weightEstimate) predict(now time.Time) weightEstimate {
	if now.After(w.at) {
		w.variance = min(w.variance+weightProcessNoise*now.Sub(w.at).Seconds(), initialWeightVariance)
		w.at = now
	}
	return w
}

// PressureModel estimates how much the tasks of each best-effort image slow down the tasks of each serving image.
// Serving tasks have a tail latency target; best-effort tasks use the CPU time that is left.
//
// The model is that of a queue: tail latency = idle tail latency / (1 - utilization). The utilization is the load of
// the serving tasks themselves plus the pressure, which is the sum of weight * CPU usage over all best-effort images on
// the worker. A Kalman filter with a diagonal covariance distributes each prediction error over the load and the
// weights.
type PressureModel struct {
	weights map[imagePair]weightEstimate
}

// NewPressureModel returns a model without samples, which assumes that no pair is harmful.
func NewPressureModel() *PressureModel {
	return &PressureModel{weights: map[imagePair]weightEstimate{}}
}

// UtilizationFromTail returns the utilization that explains a tail latency, which is given as a ratio to its target.
func UtilizationFromTail(tail float64) float64 {
	if tail <= idleTailRatio {
		return 0
	}
	return 1 - idleTailRatio/tail
}

// Predict returns the predicted pressure of the given CPU usage on a serving image, as a utilization.
func (p *PressureModel) Predict(serving string, usage CPUUsage) float64 {
	total := 0.0
	for bestEffort, fraction := range usage {
		total += p.Weight(bestEffort, serving) * fraction
	}
	return total
}

// Weight returns the pressure on the serving image if the best-effort image used all CPUs of the worker.
func (p *PressureModel) Weight(bestEffort, serving string) float64 {
	return p.pair(bestEffort, serving).mean
}

// pair returns the estimate of a pair, or the initial one if the pair is unknown.
func (p *PressureModel) pair(bestEffort, serving string) weightEstimate {
	if w, ok := p.weights[imagePair{bestEffort, serving}]; ok {
		return w
	}
	return weightEstimate{mean: initialWeight, variance: initialWeightVariance}
}

// Residual returns the difference between the utilization inferred from a measured tail latency and the predicted one.
func (p *PressureModel) Residual(now time.Time, serving string, load *LoadEstimate, tail float64, usage CPUUsage) float64 {
	return min(UtilizationFromTail(tail), maxUtilization) - load.At(now) - p.Predict(serving, usage)
}

// Observe updates the load of the serving tasks and the weights from a measured tail latency. The tail latency is a
// ratio to the target; usage is the CPU usage over the same time. A tail of 0 means that there is no measurement.
func (p *PressureModel) Observe(now time.Time, serving string, load *LoadEstimate, tail float64, usage CPUUsage) {
	if tail <= 0 {
		return
	}
	load.advanceTo(now)
	pressure := p.Predict(serving, usage)
	expected := load.At(now) + pressure
	measured := min(UtilizationFromTail(tail), maxUtilization)
	if measured >= maxUtilization && expected >= maxUtilization {
		return // a saturated queue does not show by how much the prediction is wrong
	}
	innovation := measured - min(expected, maxUtilization)
	noise := max(relativeTailNoise*(1-measured), minNoise)
	innovationVariance := load.covariance[0][0] + noise*noise + modelVariance + relativePressureNoise*relativePressureNoise*pressure*pressure
	for bestEffort, fraction := range usage {
		innovationVariance += p.pair(bestEffort, serving).predict(now).variance * fraction * fraction
	}
	limit := maxTailInnovation * math.Sqrt(innovationVariance)
	innovation = min(max(innovation, -limit), limit)
	for bestEffort, fraction := range usage {
		if fraction < minUsage {
			continue
		}
		w := p.pair(bestEffort, serving).predict(now)
		gain := w.variance * fraction / innovationVariance
		w.mean = max(w.mean+gain*innovation, 0)
		w.variance = w.variance * (1 - gain*fraction)
		p.weights[imagePair{bestEffort, serving}] = w
	}
	load.update(innovation, innovationVariance)
}
