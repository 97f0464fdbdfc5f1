package interference

import "math"

const (
	// pressureRate is the part of an error that one sample corrects; figures of half a second are noisy.
	pressureRate = 0.25
	// startBase is the part of its target that a serving task's tail is taken to have by itself, until it is known.
	startBase = 0.42
	baseRate  = 0.02
	// maxExcess bounds the part of a tail that is caused by others, which keeps saturated tails comparable.
	maxExcess = 0.93
	// quietExcess is the predicted excess below which a sample shows the tail of the task by itself.
	quietExcess = 0.04
	minUse      = 1e-3
)

// Uses is the share of a worker's processors that the tasks of each filling image use.
type Uses map[string]float64

type imagePair struct{ filling, serving string }

// Pressure learns how much the tasks of each filling image lengthen the tails of each serving image. A tail is
// base / (1 - excess), as in a queue, and the excess is the sum of a weight times the use of each image. The weights
// follow the samples by normalized least mean squares.
type Pressure struct {
	base    map[string]float64
	weights map[imagePair]float64
}

// NewPressure returns a model that knows nothing: unknown pairs do no harm.
func NewPressure() *Pressure {
	return &Pressure{base: map[string]float64{}, weights: map[imagePair]float64{}}
}

// Excess returns the part of the serving image's tail that the uses are expected to cause, 0 to below 1.
func (p *Pressure) Excess(serving string, uses Uses) float64 {
	x := 0.0
	for filling, use := range uses {
		x += p.weights[imagePair{filling, serving}] * use
	}
	return min(x, maxExcess)
}

// Weight returns the excess that a use of the whole worker by the filling image would cause.
func (p *Pressure) Weight(filling, serving string) float64 {
	return p.weights[imagePair{filling, serving}]
}

// Tail returns the expected tail as a part of the target.
func (p *Pressure) Tail(serving string, uses Uses) float64 {
	return p.baseOf(serving) / (1 - p.Excess(serving, uses))
}

// Observe takes a measured tail, as a part of its target, together with the uses at that time.
func (p *Pressure) Observe(serving string, tail float64, uses Uses) {
	if tail <= 0 {
		return
	}
	base := p.baseOf(serving)
	predicted, power := p.Excess(serving, uses), 0.0
	for _, use := range uses {
		power += use * use
	}
	if predicted < quietExcess && tail < 1 {
		p.base[serving] = base + baseRate*(tail-base)
	}
	if power < minUse*minUse {
		return
	}
	excess := min(max(1-base/tail, 0), maxExcess)
	step := pressureRate * (excess - predicted) / (power + minUse)
	for filling, use := range uses {
		k := imagePair{filling, serving}
		p.weights[k] = math.Max(p.weights[k]+step*use, 0)
	}
}

func (p *Pressure) baseOf(serving string) float64 {
	if b, ok := p.base[serving]; ok {
		return b
	}
	return startBase
}
