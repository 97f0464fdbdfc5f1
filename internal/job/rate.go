package job

import (
	"math"
	"time"
)

const (
	// burst is the time for which a work may save up its kept rate.
	burst = 10 * time.Second
	// leastRate starts one task a minute of each work that waits, whatever its priority.
	leastRate = 1.0 / 60
	maxRates  = 4096
	// rateWindow is the time over which the rate of starts is averaged.
	rateWindow = 10 * time.Minute
)

// rate is the recent rate of starts of a work, and a token bucket filled at the rate that it keeps.
type rate struct {
	at        time.Time
	perSecond float64
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
	fill := max(leastRate, kept*r.perSecond)
	r.tokens = min(r.tokens+fill*passed, max(1, fill*burst.Seconds()))
	r.perSecond *= math.Exp(-passed / rateWindow.Seconds())
	r.at = now
}

func (q *Queue) rate(work string, now time.Time) *rate {
	r, ok := q.rates[work]
	if !ok {
		if len(q.rates) >= maxRates {
			q.dropIdleRates()
		}
		r = &rate{at: now}
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
