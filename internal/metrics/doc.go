// Package metrics publishes latency histograms through expvar.
package metrics
