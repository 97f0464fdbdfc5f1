package interference

import (
	"math"
	"time"
)

const (
	// MaxTrials is the number of runs of a best-effort image in a shard that may at the same time be next to a serving image of
	// an unknown pair where much is at stake. With one run, 1.6% and 3.8% less best-effort work was done in virtual time.
	MaxTrials = 2
	// trialDeviations is the number of standard deviations that a weight is taken to exceed its mean by. Two put an unknown pair
	// at 2.25; harmful ones measured between 2.4 and 3.5.
	trialDeviations = 2
)

// Trials counts the best-effort runs beside serving images in one round, by pair. The zero value belongs to no round.
type Trials struct {
	at   time.Time
	runs map[imagePair]int
}

// Begin reports whether the runs have to be counted, which they have once for each round.
func (t *Trials) Begin(round time.Time) bool {
	if t.IsCurrent(round) {
		return false
	}
	t.at, t.runs = round, map[imagePair]int{}
	return true
}

// IsCurrent reports whether the runs were counted in this round.
func (t *Trials) IsCurrent(round time.Time) bool { return t.runs != nil && t.at.Equal(round) }

// Add counts a run of a best-effort image beside a serving one.
func (t *Trials) Add(bestEffort, serving string) { t.runs[imagePair{bestEffort, serving}]++ }

// IsFull reports whether no further run of an unknown pair may start.
func (t *Trials) IsFull(bestEffort, serving string) bool {
	return t.runs[imagePair{bestEffort, serving}] >= MaxTrials
}

// Bounds returns the mean weight of a pair, and a weight that the pair rarely exceeds. The latter is the mean as well for a pair that
// is known well enough to be shared with other owners, which takes samples of about a second.
func (p *PressureModel) Bounds(now time.Time, bestEffort, serving string) (mean, upper float64) {
	w := p.pair(bestEffort, serving).predict(now)
	if w.variance <= maxExportedVariance {
		return w.mean, w.mean
	}
	return w.mean, w.mean + trialDeviations*math.Sqrt(w.variance)
}

// uncertainty returns the standard deviation of the predicted pressure on a serving image.
func (p *PressureModel) uncertainty(now time.Time, serving string, usage CPUUsage) float64 {
	variance := 0.0
	for bestEffort, fraction := range usage {
		variance += p.pair(bestEffort, serving).predict(now).variance * fraction * fraction
	}
	return math.Sqrt(variance)
}

// Stake returns what a trial puts at risk, between 0 and 1: more with more serving tasks, and with a pressure that exceeds the
// allowed one by more.
func Stake(servingTasks int, pressure, allowed float64) float64 {
	risk := float64(servingTasks) * pressure / allowed
	return risk / (risk + 1)
}
