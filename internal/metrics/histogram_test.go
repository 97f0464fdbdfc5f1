package metrics_test

import (
	"encoding/json"
	"expvar"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/laburnumridge/laburnumridge/internal/metrics"
)

// Guards against percentiles that are not published or are wrong, and against durations out of range that are not
// counted.
func TestHistogramPublishesQuantiles(t *testing.T) {
	h := metrics.NewHistogram("test_latency_ms")
	for i := range 100 {
		h.Observe(time.Duration(i+1) * time.Millisecond)
	}
	h.Observe(time.Hour)
	h.Observe(-time.Second)
	var published map[string]float64
	assert.NilError(t, json.Unmarshal([]byte(expvar.Get("test_latency_ms").String()), &published))
	assert.Equal(t, published["count"], 102.0)
	assert.Assert(t, published["p50"] > 48 && published["p50"] < 53, "p50 is %f", published["p50"])
	assert.Assert(t, published["max"] > 590_000, "max is %f", published["max"])
}
