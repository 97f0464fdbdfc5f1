package job

import (
	"math"
	"time"
)

const (
	// burst is the time for which a work may save up its kept rate. Room for it becomes free only as
	// other tasks end, which takes minutes; with 10 s the works lost a third of the rate in a flood.
	burst = 2 * time.Minute
	// leastRate starts one task a minute of each work that waits, whatever its priority.
	leastRate = 1.0 / 60
	maxRates  = 4096
	// shortestAge is the least time over which the starts of a new work are averaged.
	shortestAge = 2 * time.Minute
	// rateWindow is the time over which the rate of starts is averaged.
	rateWindow = 10 * time.Minute
)

// rate is the recent rate of starts of a work, and a token bucket filled at the rate that it keeps.
type rate struct {
	at        time.Time
	perSecond float64
	since     time.Time
	tokens    float64
}

func (r *rate) started(now time.Time) {
	r.decay(now, 0)
	r.perSecond += 1 / rateWindow.Seconds()
}

func (r *rate) decay(now time.Time, kept float64) {
	passed := now.Sub(r.at).Seconds()
	if passed <= 0 {
		return
	}
	fill := max(leastRate, kept*r.mean(now))
	r.tokens = min(r.tokens+fill*passed, max(1, fill*burst.Seconds()))
	r.perSecond *= math.Exp(-passed / rateWindow.Seconds())
	r.at = now
}

// mean returns the rate of starts since the work was first seen. The moving average starts at zero, so a
// work that is four minutes old would keep only a third of its rate without the correction. It is bounded,
// because the first starts of a work come in a burst.
func (r *rate) mean(now time.Time) float64 {
	age := max(now.Sub(r.since), shortestAge)
	return r.perSecond / (1 - math.Exp(-float64(age)/float64(rateWindow)))
}

func (q *Queue) rate(work string, now time.Time) *rate {
	r, ok := q.rates[work]
	if !ok {
		if len(q.rates) >= maxRates {
			q.dropIdleRates()
		}
		r = &rate{at: now, since: now}
		q.rates[work] = r
	}
	r.decay(now, q.kept)
	return r
}

// dropIdleRates forgets the works that have started nothing for several windows.
func (q *Queue) dropIdleRates() {
	for work, r := range q.rates {
		if r.perSecond < leastRate/10 {
			delete(q.rates, work)
		}
	}
}
