package retry

import (
	"slices"
	"sync"
	"time"
)

const (
	// hedgeQuantile is chosen so that hedges of a healthy service about use up HedgeRatio.
	hedgeQuantile = 0.95
	// latencyWindow is the number of latest responses that the quantile is taken from.
	latencyWindow = 256
	// latencyRefresh is the number of responses after which the quantile is taken again; sorting
	// for each response would cost more than the routing decision.
	latencyRefresh = 32
	// minLatencies is the least number of responses that a quantile is taken from.
	minLatencies = 20
)

// Latency observes one service's response times and says when to hedge; it is safe for concurrent use.
type Latency struct {
	fallback time.Duration
	mu       sync.Mutex
	next     int
	p95      time.Duration
	sorted   []time.Duration
	window   []time.Duration
	seen     int
}

// NewLatency returns an observer that yields the fallback until it has seen enough responses.
func NewLatency(fallback time.Duration) *Latency { return &Latency{fallback: fallback} }

// HedgeDelay returns how long to wait for a response before hedging: the observed 95th percentile.
func (l *Latency) HedgeDelay() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.p95 == 0 {
		return l.fallback
	}
	return l.p95
}

// Observe records the response time of an attempt that was answered.
func (l *Latency) Observe(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.window) < latencyWindow {
		l.window = append(l.window, d)
	} else {
		l.window[l.next] = d
		l.next = (l.next + 1) % latencyWindow
	}
	l.seen++
	if len(l.window) < minLatencies || l.p95 != 0 && l.seen%latencyRefresh != 0 {
		return
	}
	l.sorted = append(l.sorted[:0], l.window...)
	slices.Sort(l.sorted)
	l.p95 = max(1, l.sorted[int(hedgeQuantile*float64(len(l.sorted)))])
}
