package routing

import (
	"math"
	"time"
)

// Result is how a request to a backend server ended.
type Result int

// Results of requests.
const (
	// ResultCancelled says that this host gave the request up, for example after a hedge won.
	ResultCancelled Result = iota
	// ResultFailed says that the backend server failed or stayed silent.
	ResultFailed
	// ResultOK says that a complete response arrived.
	ResultOK
	// ResultRefused says that the backend server refused before running, because of overload.
	ResultRefused
	// ResultUnreachable says that no connection could be opened, so nothing was sent.
	ResultUnreachable
)

const (
	// coldInFlight bounds the requests in flight on a backend server without a sample; each
	// sample raises the bound by one.
	coldInFlight = 2
	coldSamples  = 8

	// circuitFailures and circuitRate open the circuit; the minimum keeps one lost request of
	// a quiet service from opening it.
	circuitFailures = 3
	circuitRate     = 0.5
	circuitPause    = time.Second
	circuitPauseMax = 30 * time.Second
	// circuitStreak is the number of failures without a response between them that opens the circuit. The
	// rate alone lets a busy server that fails at once fail hundreds of requests, until they are half of
	// all those that faded little; that is longer than the restart of a worker.
	circuitStreak = 5
	// circuitProbes is the number of good probes in a row that close the circuit.
	circuitProbes = 3

	// refusalPause is a few service times; a refusing server is busy, not broken.
	refusalPause    = 50 * time.Millisecond
	refusalPauseMax = 2 * time.Second

	ewmaWeight = 0.2
	// ewmaFade returns an old estimate to the mean of the service. Without it a server that was
	// slow once would lose every comparison and never be measured again.
	ewmaFade = 10 * time.Second
	// probeTimeout lets another probe through when the last one was never reported as finished.
	probeTimeout = time.Second
	// rateFade is the time constant of the counts that the failure rate is taken from.
	rateFade = 10 * time.Second
)

// circuit is open until a time, then half open until enough probes have succeeded.
type circuit struct {
	failures, total float64
	countedAt       time.Time
	good            int
	isOpen          bool
	pause           time.Duration
	streak          int
	until           time.Time
}

func (c *circuit) failed(now time.Time, jitter float64) {
	c.fade(now)
	c.failures++
	c.total++
	c.streak++
	switch {
	case c.isOpen && now.Before(c.until):
		// Requests sent before the circuit opened do not prolong the pause.
	case c.isOpen, c.streak >= circuitStreak, c.failures >= circuitFailures && c.failures >= circuitRate*c.total:
		c.open(now, jitter)
	}
}

func (c *circuit) open(now time.Time, jitter float64) {
	c.pause = grow(c.pause, circuitPause, circuitPauseMax)
	c.isOpen, c.good, c.until = true, 0, now.Add(spread(c.pause, jitter))
}

// unreachable opens the circuit at once: a server that accepts no connection serves nobody, and its quick
// refusals would draw more requests to it than to the servers that work.
func (c *circuit) unreachable(now time.Time, jitter float64) {
	c.fade(now)
	c.failures++
	c.total++
	if !c.isOpen || !now.Before(c.until) {
		c.open(now, jitter)
	}
}

func (c *circuit) fade(now time.Time) {
	if !c.countedAt.IsZero() {
		f := math.Exp(-float64(now.Sub(c.countedAt)) / float64(rateFade))
		c.failures, c.total = c.failures*f, c.total*f
	}
	c.countedAt = now
}

func (c *circuit) succeeded(now time.Time) {
	c.fade(now)
	c.total++
	c.streak = 0
	if !c.isOpen || now.Before(c.until) {
		return
	}
	c.good++
	if c.good >= circuitProbes {
		*c = circuit{countedAt: now}
	}
}

// refusals pauses a backend server that refuses, longer each time a probe is refused again.
type refusals struct {
	pause time.Duration
	until time.Time
}

func (r *refusals) refused(now time.Time, jitter float64) {
	if now.Before(r.until) {
		return
	}
	r.pause = grow(r.pause, refusalPause, refusalPauseMax)
	r.until = now.Add(spread(r.pause, jitter))
}

func (r *refusals) succeeded(now time.Time) {
	if !now.Before(r.until) {
		*r = refusals{}
	}
}

// health is what a router has learned about one backend server.
type health struct {
	circuit    circuit
	inFlight   int
	isGone     bool
	latency    float64
	measuredAt time.Time
	probeUntil time.Time
	refusals   refusals
	samples    int
}

// check returns why the server may not take a request now, and when a pause ends.
func (h *health) check(now time.Time) (Reason, time.Time) {
	switch {
	case now.Before(h.circuit.until):
		return ReasonCircuitOpen, h.circuit.until
	case now.Before(h.refusals.until):
		return ReasonRefusing, h.refusals.until
	case h.isProbed() && now.Before(h.probeUntil):
		return ReasonProbing, h.probeUntil
	case h.samples < coldSamples && h.inFlight >= coldInFlight+h.samples:
		return ReasonCold, time.Time{}
	}
	return "", time.Time{}
}

// isProbed reports whether the server takes one request at a time until it has recovered.
func (h *health) isProbed() bool { return h.circuit.isOpen || h.refusals.pause > 0 }

func (h *health) finished(now time.Time, latency time.Duration, result Result, jitter float64) {
	h.inFlight = max(0, h.inFlight-1)
	h.probeUntil = time.Time{}
	switch result {
	case ResultOK:
		h.measure(now, latency.Seconds())
		h.circuit.succeeded(now)
		h.refusals.succeeded(now)
	case ResultRefused:
		h.refusals.refused(now, jitter)
	case ResultFailed:
		h.circuit.failed(now, jitter)
		h.measureAtLeast(now, latency.Seconds())
	case ResultUnreachable:
		h.circuit.unreachable(now, jitter)
	case ResultCancelled:
		h.measureAtLeast(now, latency.Seconds())
	}
}

func (h *health) measure(now time.Time, seconds float64) {
	if h.samples == 0 {
		h.latency = seconds
	} else {
		h.latency += ewmaWeight * (seconds - h.latency)
	}
	h.measuredAt = now
	h.samples++
}

// measureAtLeast counts a request without a response only if it was slow: a quick failure says
// nothing about the latency of responses.
func (h *health) measureAtLeast(now time.Time, seconds float64) {
	if h.samples > 0 && seconds > h.latency {
		h.measure(now, seconds)
	}
}

// score is the expected latency in seconds times the queue with this request in it.
func (h *health) score(now time.Time, mean float64) float64 {
	latency := mean
	if h.samples > 0 {
		f := math.Exp(-float64(now.Sub(h.measuredAt)) / float64(ewmaFade))
		latency += f * (h.latency - mean)
	}
	return latency * float64(h.inFlight+1)
}

func grow(pause, least, most time.Duration) time.Duration {
	return min(max(2*pause, least), most)
}

// spread varies a pause by a quarter, so that entry hosts do not probe a server in step.
func spread(pause time.Duration, jitter float64) time.Duration {
	return time.Duration(float64(pause) * (0.75 + jitter/2))
}
