// Package metrics publishes counters and latency histograms through expvar.
package metrics
