package metrics

import (
	"expvar"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Range and precision of a histogram: 10 µs to 10 minutes with two significant digits, which takes about 20 kB.
const (
	minMicros         = 10
	maxMicros         = int64(10 * time.Minute / time.Microsecond)
	significantDigits = 2
)

// percentiles maps the published names to percentiles.
var percentiles = map[string]float64{"p50": 50, "p90": 90, "p99": 99, "p999": 99.9}

// Histogram is a latency histogram. As expvar has no histogram type, its count, mean, maximum and percentiles are
// published.
type Histogram struct {
	hist *hdrhistogram.Histogram
	mu   sync.Mutex
}

// NewHistogram returns a histogram that is published under the given name, in milliseconds.
func NewHistogram(name string) *Histogram {
	h := &Histogram{hist: hdrhistogram.New(minMicros, maxMicros, significantDigits)}
	expvar.Publish(name, expvar.Func(h.snapshot))
	return h
}

// Observe records a duration. A duration out of range is recorded as the nearest value in range.
func (h *Histogram) Observe(d time.Duration) {
	us := min(max(d.Microseconds(), minMicros), maxMicros)
	h.mu.Lock()
	defer h.mu.Unlock()
	if err := h.hist.RecordValue(us); err != nil {
		panic(err) // cannot happen: the value is within the range
	}
}

func (h *Histogram) snapshot() any {
	h.mu.Lock()
	defer h.mu.Unlock()
	out := map[string]float64{"count": float64(h.hist.TotalCount()), "max": millis(h.hist.Max()), "mean": h.hist.Mean() / 1000}
	for name, percentile := range percentiles {
		out[name] = millis(h.hist.ValueAtPercentile(percentile))
	}
	return out
}

func millis(us int64) float64 { return float64(us) / 1000 }
