package metrics

import (
	"expvar"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Range and precision of a histogram: 10 µs to 10 minutes with two significant digits, which takes about 20 kB.
const (
	shortest = 10
	longest  = int64(10 * time.Minute / time.Microsecond)
	digits   = 2
)

// quantiles are published for each histogram, in percent.
var quantiles = map[string]float64{"p50": 50, "p90": 90, "p99": 99, "p999": 99.9}

// Histogram is a latency histogram. expvar has none, so it is published as its count, mean, maximum and quantiles.
type Histogram struct {
	h  *hdrhistogram.Histogram
	mu sync.Mutex
}

// NewHistogram returns a histogram that is published under the given name, in milliseconds.
func NewHistogram(name string) *Histogram {
	h := &Histogram{h: hdrhistogram.New(shortest, longest, digits)}
	expvar.Publish(name, expvar.Func(h.snapshot))
	return h
}

// Observe counts a duration; one out of range counts as the nearest bound.
func (h *Histogram) Observe(d time.Duration) {
	us := min(max(d.Microseconds(), shortest), longest)
	h.mu.Lock()
	defer h.mu.Unlock()
	if err := h.h.RecordValue(us); err != nil {
		panic(err) // the value is within the range
	}
}

func (h *Histogram) snapshot() any {
	h.mu.Lock()
	defer h.mu.Unlock()
	out := map[string]float64{"count": float64(h.h.TotalCount()), "max": ms(h.h.Max()), "mean": h.h.Mean() / 1000}
	for name, q := range quantiles {
		out[name] = ms(h.h.ValueAtPercentile(q))
	}
	return out
}

func ms(us int64) float64 { return float64(us) / 1000 }
