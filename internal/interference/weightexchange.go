package interference

import (
	"cmp"
	"slices"
	"time"
)

const (
	// maxExportedVariance is the variance below which an estimate is certain enough to be shared with other owners.
	maxExportedVariance = 0.25
	// mergedVarianceFactor increases the variance of an estimate from another owner, since each owner has only part of
	// the samples. The estimate replaces the local one only if its variance is lower even then.
	mergedVarianceFactor = 2
)

// PairWeight is an owner's estimate for a best-effort and a serving image, as it is stored for other owners.
type PairWeight struct {
	_          struct{} `cbor:",toarray"`
	BestEffort string
	Serving    string
	// Mean is the pressure if the best-effort image used all CPUs of the worker, as a utilization. Variance is the
	// variance of that estimate.
	Mean, Variance float64
}

// ExportWeights returns the estimates that are certain enough to be shared, sorted by image.
func (p *PressureModel) ExportWeights(now time.Time) []PairWeight {
	var out []PairWeight
	for pair, w := range p.weights {
		if w = w.predict(now); w.variance < maxExportedVariance {
			out = append(out, PairWeight{BestEffort: pair.bestEffort, Serving: pair.serving, Mean: w.mean, Variance: w.variance})
		}
	}
	slices.SortFunc(out, func(a, b PairWeight) int {
		return cmp.Or(cmp.Compare(a.BestEffort, b.BestEffort), cmp.Compare(a.Serving, b.Serving))
	})
	return out
}

// ImportWeights replaces local estimates by those of the owner of another shard that are more certain even with the increased
// variance, and returns their number.
func (p *PressureModel) ImportWeights(now time.Time, known []PairWeight) int {
	return p.adopt(now, known, mergedVarianceFactor)
}

// RestoreWeights replaces local estimates by more certain ones of the last owner of the same shard, and returns their number. That
// owner had the samples that this one would have had, so their variance is not increased.
func (p *PressureModel) RestoreWeights(now time.Time, known []PairWeight) int {
	return p.adopt(now, known, 1)
}

func (p *PressureModel) adopt(now time.Time, known []PairWeight, varianceFactor float64) int {
	adopted := 0
	for _, k := range known {
		variance := varianceFactor * k.Variance
		if k.Mean < 0 || k.Variance <= 0 || variance >= p.pair(k.BestEffort, k.Serving).predict(now).variance {
			continue
		}
		p.weights[imagePair{k.BestEffort, k.Serving}] = weightEstimate{at: now, mean: k.Mean, variance: variance}
		adopted++
	}
	return adopted
}
