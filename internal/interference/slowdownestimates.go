package interference

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

const (
	maxPairs = 16384
	// minUpdates is the number of samples after which a pair is trusted.
	minUpdates = 3
	// noise is the variance of the logarithm of a latency sample, about 25%.
	noise = 0.06
	// drift is added to the variance of a pair with each sample, so that it follows changes of the work.
	drift = 5e-4
	// priorVariance lets the first samples of a pair move it most of the way.
	priorVariance = 0.25
	// maxSurprise bounds the effect of an outlier, in standard deviations.
	maxSurprise = 3
	// unknownSlowdown is assumed of a batch work of which nothing is known, as a logarithm.
	unknownSlowdown = 0.05
)

type pairKey struct {
	batch   string
	level   Level
	service string
}

// pair is the estimated logarithm of the slowdown by one task of a batch work.
type pair struct {
	mean     float64
	n        int
	seen     time.Time
	variance float64
}

// pairs estimates the contribution of each batch work beside a service. Contributions add up in the
// logarithm and grow with the square root of the number of tasks, since tasks of one work contend with
// each other, too. The estimate is a Kalman filter with a diagonal covariance: of several neighbours the
// least known one takes most of the difference.
type pairs struct {
	// works is the mean over all services and levels, used for pairs that are not known.
	works map[string]*pair
	known map[pairKey]*pair
}

func newPairs() pairs {
	return pairs{known: map[pairKey]*pair{}, works: map[string]*pair{}}
}

// learn moves the pairs of a service towards a measured slowdown.
func (p pairs) learn(service string, level Level, batch []Count, logSlowdown float64, at time.Time) {
	predicted, total := 0.0, noise
	members := make([]*pair, len(batch))
	for i, c := range batch {
		members[i] = p.member(pairKey{batch: c.Work, level: level, service: service}, at)
		x := weight(c.Tasks)
		predicted += members[i].mean * x
		total += members[i].variance * x * x
	}
	limit := maxSurprise * math.Sqrt(total)
	surprise := min(max(logSlowdown-predicted, -limit), limit)
	for i, c := range batch {
		m, x := members[i], weight(c.Tasks)
		gain := m.variance * x / total
		m.mean = max(0, m.mean+gain*surprise)
		m.variance = min(priorVariance, m.variance*(1-gain*x)+drift)
		m.n++
		m.seen = at
		p.learnWork(c.Work, m.mean, at)
	}
}

// log returns the predicted logarithm of the slowdown by the tasks of a work.
func (p pairs) log(service string, level Level, c Count) float64 {
	return p.mean(service, level, c.Work) * weight(c.Tasks)
}

func (p pairs) learnWork(work string, mean float64, at time.Time) {
	w, ok := p.works[work]
	if !ok {
		if len(p.works) >= maxPairs/8 {
			dropOldest(p.works)
		}
		w = &pair{}
		p.works[work] = w
	}
	w.n++
	w.mean += (mean - w.mean) * max(0.05, 1/float64(w.n))
	w.seen = at
}

// mean returns the estimate of a pair, else that at the nearest level, else that of the work.
func (p pairs) mean(service string, level Level, work string) float64 {
	for d := range Level(levels) {
		for _, l := range [2]Level{level + d, level - d} {
			if known, ok := p.known[pairKey{batch: work, level: l, service: service}]; ok && known.n >= minUpdates {
				return known.mean
			}
		}
	}
	if w, ok := p.works[work]; ok && w.n >= minUpdates {
		return w.mean
	}
	return unknownSlowdown
}

func (p pairs) member(key pairKey, at time.Time) *pair {
	m, ok := p.known[key]
	if !ok {
		if len(p.known) >= maxPairs {
			dropOldest(p.known)
		}
		m = &pair{mean: p.mean(key.service, key.level, key.batch), seen: at, variance: priorVariance}
		p.known[key] = m
	}
	return m
}

// dropOldest forgets an eighth of the pairs at once, so that the cost of sorting is paid rarely.
func dropOldest[K comparable](of map[K]*pair) {
	keys := slices.SortedFunc(maps.Keys(of), func(a, b K) int {
		return cmp.Compare(of[a].seen.UnixNano(), of[b].seen.UnixNano())
	})
	for _, k := range keys[:len(keys)/8] {
		delete(of, k)
	}
}

func weight(tasks int) float64 { return math.Sqrt(float64(tasks)) }
