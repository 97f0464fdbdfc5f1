package interference

const (
	// idleTail is the tail of a serving task without any load, as a part of its target. Targets are set at four to
	// five times the idle tail.
	idleTail = 0.222
	// maxUtilization bounds what a saturated tail says.
	maxUtilization = 0.98
	// StartLoad is the load that a serving task is taken to have by itself until it is known.
	StartLoad = 0.42
	minLoad   = 0.1
	maxLoad   = 0.75
	// loadVariance is that of a task's own load, which swings by half of its mean within some ten seconds.
	loadVariance = 0.02
	// tailVariance is that of a measured utilization: tails are rough figures of half a second.
	tailVariance = 0.015
	// startWeight and startVariance describe a pair that is not known. Most pairs measured between 0.1 and 0.7, the
	// harmful ones between 2 and 3.
	startWeight   = 0.4
	startVariance = 1.5
	// weightDrift is added to a pair's variance with each sample, so that the weight follows changes of the work.
	weightDrift = 2e-4
	minUse      = 1e-3
)

// Uses is the share of a worker's processors that the tasks of each filling image use.
type Uses map[string]float64

type imagePair struct{ filling, serving string }

// pairWeight is the estimate of a pair with its variance.
type pairWeight struct{ mean, variance float64 }

// Pressure learns how much the tasks of each filling image disturb the tasks of each serving image. A tail is
// idle / (1 - utilization), as in a queue; the utilization is the serving task's own load plus, for each filling image, a
// weight times its use of the worker. A Kalman filter with a diagonal covariance splits each error between the load,
// which belongs to a single task and swings, and the weights.
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
	return min(1-idleTail/tail, maxUtilization)
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
	return pairWeight{startWeight, startVariance}
}

// Observe takes the measured tail of a task, as a part of its target, together with the uses of the time that it
// covers, and returns the task's own load, which was load so far.
func (p *Pressure) Observe(serving string, load, tail float64, uses Uses) float64 {
	if tail <= 0 {
		return load
	}
	expected := load + p.Of(serving, uses)
	measured := Utilization(tail)
	if measured >= maxUtilization && expected >= maxUtilization {
		return load // a saturated tail does not tell by how much
	}
	surprise := measured - min(expected, maxUtilization)
	total := loadVariance + tailVariance
	for filling, use := range uses {
		total += p.pair(filling, serving).variance * use * use
	}
	for filling, use := range uses {
		if use < minUse {
			continue
		}
		w := p.pair(filling, serving)
		gain := w.variance * use / total
		w.mean = max(w.mean+gain*surprise, 0)
		w.variance = min(w.variance*(1-gain*use)+weightDrift, startVariance)
		p.weights[imagePair{filling, serving}] = w
	}
	return min(max(load+loadVariance/total*surprise/2, minLoad), maxLoad)
}
