package interference

import (
	"cmp"
	"slices"
	"time"
)

const (
	// knownVariance is the variance below which a pair is worth telling others.
	knownVariance = 0.25
	// adoptFactor is how much better another owner has to know a pair: each has only part of the samples.
	adoptFactor = 2
)

// PairWeight is what an owner has learned of a pair of images.
type PairWeight struct {
	_       struct{} `cbor:",toarray"`
	Filling string
	Serving string
	// Mean is the pressure of a use of the whole worker, as a utilization; Variance is that of the estimate.
	Mean, Variance float64
}

// Known returns the pairs that are known well, in a fixed order.
func (p *Pressure) Known(now time.Time) []PairWeight {
	var out []PairWeight
	for pair, w := range p.weights {
		if w = w.drifted(now); w.variance < knownVariance {
			out = append(out, PairWeight{Filling: pair.filling, Serving: pair.serving, Mean: w.mean, Variance: w.variance})
		}
	}
	slices.SortFunc(out, func(a, b PairWeight) int {
		return cmp.Or(cmp.Compare(a.Filling, b.Filling), cmp.Compare(a.Serving, b.Serving))
	})
	return out
}

// Adopt takes over what another owner knows better, and counts it as less certain than there.
func (p *Pressure) Adopt(now time.Time, known []PairWeight) int {
	adopted := 0
	for _, k := range known {
		variance := adoptFactor * k.Variance
		if k.Mean < 0 || k.Variance <= 0 || variance >= p.pair(k.Filling, k.Serving).drifted(now).variance {
			continue
		}
		p.weights[imagePair{k.Filling, k.Serving}] = pairWeight{at: now, mean: k.Mean, variance: variance}
		adopted++
	}
	return adopted
}
