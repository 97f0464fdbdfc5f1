package retry

import (
	"slices"
	"sync"
	"time"
)

const (
	// hedgeDelayQuantile matches HedgeRatio: a healthy service hedges about as often as the budget allows.
	hedgeDelayQuantile = 0.95
	// latencyWindow is the number of latest responses from which the quantile is computed.
	latencyWindow = 256
	// quantileRefresh is the number of responses after which the quantile is recomputed. Sorting for each
	// response would cost more than the routing decision.
	quantileRefresh = 32
	// minSamples is the minimum number of responses for computing the quantile.
	minSamples = 20
)

// Latency tracks the response times of one service and derives the hedge delay from them. It is safe for
// concurrent use.
type Latency struct {
	fallback time.Duration
	mu       sync.Mutex
	// next is the index of the oldest response time in a full window.
	next int
	p95  time.Duration
	// sorted is the buffer in which the window is sorted.
	sorted   []time.Duration
	window   []time.Duration
	observed int
}

// NewLatency returns a tracker whose hedge delay is the fallback until it has observed enough responses.
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

// Observe records the time from the start of an attempt to its response.
func (l *Latency) Observe(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.window) < latencyWindow {
		l.window = append(l.window, d)
	} else {
		l.window[l.next] = d
		l.next = (l.next + 1) % latencyWindow
	}
	l.observed++
	if len(l.window) < minSamples || l.p95 != 0 && l.observed%quantileRefresh != 0 {
		return
	}
	l.sorted = append(l.sorted[:0], l.window...)
	slices.Sort(l.sorted)
	l.p95 = max(1, l.sorted[int(hedgeDelayQuantile*float64(len(l.sorted)))])
}
