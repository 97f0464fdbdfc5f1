package interference

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// maxPairs bounds the number of estimates for pairs; that of estimates for works is bounded by an eighth of it.
	maxPairs = 16384
	// minUpdates is the number of samples after which an estimate is used.
	minUpdates = 3
	// sampleVariance is the variance of the logarithm of a latency sample. It corresponds to a standard deviation of
	// about 25%.
	sampleVariance = 0.06
	// pairProcessNoise is added to the variance of a pair with each sample, so that its mean follows changes of the work.
	pairProcessNoise = 5e-4
	// initialPairVariance is large compared with sampleVariance, so that the first samples determine most of the mean.
	initialPairVariance = 0.25
	// maxSlowdownInnovation limits the effect of an outlier, in standard deviations.
	maxSlowdownInnovation = 3
	// defaultLogSlowdown is the logarithm of the slowdown that is assumed for an unknown batch work.
	defaultLogSlowdown = 0.05
)

type pairKey struct {
	work    string
	level   Level
	service string
}

// slowdownEstimate is the estimated logarithm of the slowdown by one task of a batch work, with its variance.
type slowdownEstimate struct {
	mean      float64
	samples   int
	updatedAt time.Time
	variance  float64
}

// slowdownEstimates estimates by how much each batch work slows down each service on the same worker. The logarithms of
// the slowdowns add up, and that of a work grows with the square root of its number of tasks, since tasks of the same
// work also contend with each other. The estimator is a Kalman filter with a diagonal covariance: of several
// neighbours, the one with the least certain estimate is corrected most.
type slowdownEstimates struct {
	// byWork holds the mean over all services and load levels, which is used for unknown pairs.
	byWork map[string]*slowdownEstimate
	byPair map[pairKey]*slowdownEstimate
}

func newSlowdownEstimates() slowdownEstimates {
	return slowdownEstimates{byPair: map[pairKey]*slowdownEstimate{}, byWork: map[string]*slowdownEstimate{}}
}

// update corrects the estimates of a service and the given batch tasks by a measured slowdown.
func (p slowdownEstimates) update(service string, level Level, batch []TaskCount, logSlowdown float64, at time.Time) {
	predicted, innovationVariance := 0.0, sampleVariance
	estimates := make([]*slowdownEstimate, len(batch))
	for i, c := range batch {
		estimates[i] = p.getOrCreate(pairKey{work: c.Work, level: level, service: service}, at)
		x := taskFactor(c.Tasks)
		predicted += estimates[i].mean * x
		innovationVariance += estimates[i].variance * x * x
	}
	limit := maxSlowdownInnovation * math.Sqrt(innovationVariance)
	innovation := min(max(logSlowdown-predicted, -limit), limit)
	for i, c := range batch {
		m, x := estimates[i], taskFactor(c.Tasks)
		gain := m.variance * x / innovationVariance
		m.mean = max(0, m.mean+gain*innovation)
		m.variance = min(initialPairVariance, m.variance*(1-gain*x)+pairProcessNoise)
		m.samples++
		m.updatedAt = at
		p.updateWork(c.Work, m.mean, at)
	}
}

// logSlowdown returns the predicted logarithm of the slowdown by all tasks of a work.
func (p slowdownEstimates) logSlowdown(service string, level Level, c TaskCount) float64 {
	return p.perTask(service, level, c.Work) * taskFactor(c.Tasks)
}

func (p slowdownEstimates) updateWork(work string, mean float64, at time.Time) {
	w, ok := p.byWork[work]
	if !ok {
		if len(p.byWork) >= maxPairs/8 {
			dropOldest(p.byWork)
		}
		w = &slowdownEstimate{}
		p.byWork[work] = w
	}
	w.samples++
	w.mean += (mean - w.mean) * max(0.05, 1/float64(w.samples))
	w.updatedAt = at
}

// perTask returns the predicted logarithm of the slowdown by one task: the estimate of the pair at this load level or
// the nearest one with enough samples, otherwise that of the work, otherwise the default.
func (p slowdownEstimates) perTask(service string, level Level, work string) float64 {
	for distance := range Level(levels) {
		for _, l := range [2]Level{level + distance, level - distance} {
			if estimate, ok := p.byPair[pairKey{work: work, level: l, service: service}]; ok && estimate.samples >= minUpdates {
				return estimate.mean
			}
		}
	}
	if w, ok := p.byWork[work]; ok && w.samples >= minUpdates {
		return w.mean
	}
	return defaultLogSlowdown
}

func (p slowdownEstimates) getOrCreate(key pairKey, at time.Time) *slowdownEstimate {
	m, ok := p.byPair[key]
	if !ok {
		if len(p.byPair) >= maxPairs {
			dropOldest(p.byPair)
		}
		m = &slowdownEstimate{mean: p.perTask(key.service, key.level, key.work), updatedAt: at, variance: initialPairVariance}
		p.byPair[key] = m
	}
	return m
}

// dropOldest removes an eighth of the estimates at once, so that sorting is rarely needed.
func dropOldest[K comparable](of map[K]*slowdownEstimate) {
	keys := slices.SortedFunc(maps.Keys(of), func(a, b K) int {
		return cmp.Compare(of[a].updatedAt.UnixNano(), of[b].updatedAt.UnixNano())
	})
	for _, k := range keys[:len(keys)/8] {
		delete(of, k)
	}
}

// taskFactor returns the ratio of the logarithm of the slowdown by several tasks of a work to that by one task.
func taskFactor(tasks int) float64 { return math.Sqrt(float64(tasks)) }
