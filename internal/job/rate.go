package job

import (
	"math"
	"time"
)

const (
	// burstPeriod is the time for which a workload accumulates tokens of its kept rate. Workers have room for its tasks
	// only when other tasks end, which takes minutes; with 10 s workloads lost a third of their rate in a flood.
	burstPeriod = 2 * time.Minute
	// minKeptRate is one task a minute for each workload with waiting tasks, whatever its priority.
	minKeptRate = 1.0 / 60
	maxRates    = 4096
	// minAveragingTime is the minimum time over which the starts of a new workload are averaged.
	minAveragingTime = 2 * time.Minute
	// rateWindow is the time constant of the moving average of starts.
	rateWindow = 10 * time.Minute
)

// startRate is the recent rate of starts of a workload, and a token bucket that is filled at its kept rate.
type startRate struct {
	updatedAt       time.Time
	startsPerSecond float64
	firstSeen       time.Time
	tokens          float64
}

func (r *startRate) recordStart(now time.Time) {
	r.update(now, 0)
	r.startsPerSecond += 1 / rateWindow.Seconds()
}

// update refills the bucket and decays the moving average for the time since the last update.
func (r *startRate) update(now time.Time, keptFraction float64) {
	passed := now.Sub(r.updatedAt).Seconds()
	if passed <= 0 {
		return
	}
	fill := max(minKeptRate, keptFraction*r.meanPerSecond(now))
	r.tokens = min(r.tokens+fill*passed, max(1, fill*burstPeriod.Seconds()))
	r.startsPerSecond *= math.Exp(-passed / rateWindow.Seconds())
	r.updatedAt = now
}

// meanPerSecond returns the moving average of starts, corrected for the age of the workload. The average starts at zero,
// so without the correction a workload that was first seen four minutes ago would keep only a third of its rate. The
// correction is limited by minAveragingTime, because the first starts of a workload come in a burst.
func (r *startRate) meanPerSecond(now time.Time) float64 {
	age := max(now.Sub(r.firstSeen), minAveragingTime)
	return r.startsPerSecond / (1 - math.Exp(-float64(age)/float64(rateWindow)))
}

func (q *Queue) rate(work string, now time.Time) *startRate {
	r, ok := q.rates[work]
	if !ok {
		if len(q.rates) >= maxRates {
			q.dropIdleRates()
		}
		r = &startRate{updatedAt: now, firstSeen: now}
		q.rates[work] = r
	}
	r.update(now, q.keptFraction)
	return r
}

// dropIdleRates deletes the rates of workloads that have started nothing for several windows.
func (q *Queue) dropIdleRates() {
	for work, r := range q.rates {
		if r.startsPerSecond < minKeptRate/10 {
			delete(q.rates, work)
		}
	}
}
