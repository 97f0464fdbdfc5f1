package routing

import (
	"math"
	"time"
)

// Result is how a request to a backend server ended.
type Result int

// Results of requests.
const (
	// ResultCancelled says that this host cancelled the request, for example because a hedge was answered first.
	ResultCancelled Result = iota
	// ResultFailed says that the backend server failed the request or did not respond.
	ResultFailed
	// ResultOK says that a complete response arrived.
	ResultOK
	// ResultRefused says that the backend server refused the request before running it, because of overload.
	ResultRefused
	// ResultUnreachable says that no connection could be opened, so nothing was sent.
	ResultUnreachable
)

const (
	// coldStartInFlight bounds the requests in flight on a backend server without latency samples. Each
	// sample raises the bound by one, and after coldStartSamples it no longer applies.
	coldStartInFlight = 2
	coldStartSamples  = 8

	// The circuit opens after minCircuitFailures, if they are at least circuitFailureRate of recent
	// requests. The minimum keeps a single lost request of a quiet service from opening it.
	minCircuitFailures = 3
	circuitFailureRate = 0.5
	minCircuitPause    = time.Second
	maxCircuitPause    = 30 * time.Second
	// circuitConsecutiveFailures is the number of failures without a response in between that opens the
	// circuit. With the failure rate alone, a busy server that suddenly fails would fail hundreds of requests
	// before they are half of the recent ones, which takes longer than the restart of a worker.
	circuitConsecutiveFailures = 5
	// circuitProbes is the number of successful probes in a row that closes the circuit.
	circuitProbes = 3

	// minRefusalPause is a few service times, because a server that refuses is busy, not broken.
	minRefusalPause = 50 * time.Millisecond
	maxRefusalPause = 2 * time.Second

	// ewmaWeight is the weight of the newest sample in the moving average of a server's latency.
	ewmaWeight = 0.2
	// ewmaDecay is the time constant with which an old latency estimate returns to the mean of the service.
	// Without it, a server that was slow once would lose every comparison and never be measured again.
	ewmaDecay = 10 * time.Second
	// probeTimeout is the time after which another probe is sent if the end of the last one was not reported.
	probeTimeout = time.Second
	// failureRateDecay is the time constant with which the counts behind the failure rate decay.
	failureRateDecay = 10 * time.Second
)

// circuit is a circuit breaker. Once opened it is open until openUntil, then half open until enough probes
// have succeeded.
type circuit struct {
	// failures and total count recent requests; they decay with the time constant failureRateDecay.
	failures, total float64
	decayedAt       time.Time
	goodProbes      int
	// isOpen is set while the circuit is open or half open.
	isOpen bool
	// pause is the length of the last pause without jitter.
	pause               time.Duration
	consecutiveFailures int
	openUntil           time.Time
}

func (c *circuit) recordFailure(now time.Time, jitter float64) {
	c.decay(now)
	c.failures++
	c.total++
	c.consecutiveFailures++
	switch {
	case c.isOpen && now.Before(c.openUntil):
		// The request was sent before the circuit opened, so its failure does not prolong the pause.
	case c.isOpen, c.consecutiveFailures >= circuitConsecutiveFailures,
		c.failures >= minCircuitFailures && c.failures >= circuitFailureRate*c.total:
		c.open(now, jitter)
	}
}

func (c *circuit) open(now time.Time, jitter float64) {
	c.pause = nextPause(c.pause, minCircuitPause, maxCircuitPause)
	c.isOpen, c.goodProbes, c.openUntil = true, 0, now.Add(withJitter(c.pause, jitter))
}

// recordUnreachable opens the circuit immediately. A server that accepts no connections fails fast, so it would
// otherwise attract more requests than the healthy servers.
func (c *circuit) recordUnreachable(now time.Time, jitter float64) {
	c.decay(now)
	c.failures++
	c.total++
	if !c.isOpen || !now.Before(c.openUntil) {
		c.open(now, jitter)
	}
}

// decay reduces the counts by the time since their last update.
func (c *circuit) decay(now time.Time) {
	if !c.decayedAt.IsZero() {
		f := math.Exp(-float64(now.Sub(c.decayedAt)) / float64(failureRateDecay))
		c.failures, c.total = c.failures*f, c.total*f
	}
	c.decayedAt = now
}

func (c *circuit) recordSuccess(now time.Time) {
	c.decay(now)
	c.total++
	c.consecutiveFailures = 0
	if !c.isOpen || now.Before(c.openUntil) {
		return
	}
	c.goodProbes++
	if c.goodProbes >= circuitProbes {
		*c = circuit{decayedAt: now}
	}
}

// refusalBackoff pauses requests to a backend server that refuses them. The pause grows each time that a
// probe is refused as well.
type refusalBackoff struct {
	pause time.Duration
	until time.Time
}

func (r *refusalBackoff) recordRefusal(now time.Time, jitter float64) {
	if now.Before(r.until) {
		return
	}
	r.pause = nextPause(r.pause, minRefusalPause, maxRefusalPause)
	r.until = now.Add(withJitter(r.pause, jitter))
}

func (r *refusalBackoff) recordSuccess(now time.Time) {
	if !now.Before(r.until) {
		*r = refusalBackoff{}
	}
}

// health is a router's record of one backend server.
type health struct {
	circuit  circuit
	inFlight int
	// removeWhenIdle is set if the worker was not in the list of the last call of Retain.
	removeWhenIdle bool
	// latency is the moving average in seconds.
	latency    float64
	measuredAt time.Time
	// probeUntil is when another probe may be sent although the end of the last one was not reported.
	probeUntil time.Time
	refusals   refusalBackoff
	samples    int
}

// unavailableReason returns why the server can't take a request now and until when, if that is known. The
// reason is empty if it can.
func (h *health) unavailableReason(now time.Time) (Reason, time.Time) {
	switch {
	case now.Before(h.circuit.openUntil):
		return ReasonCircuitOpen, h.circuit.openUntil
	case now.Before(h.refusals.until):
		return ReasonRefusing, h.refusals.until
	case h.isRecovering() && now.Before(h.probeUntil):
		return ReasonProbing, h.probeUntil
	case h.samples < coldStartSamples && h.inFlight >= coldStartInFlight+h.samples:
		return ReasonCold, time.Time{}
	}
	return "", time.Time{}
}

// isRecovering reports whether the server is limited to one request at a time, as a probe, until it has
// recovered.
func (h *health) isRecovering() bool { return h.circuit.isOpen || h.refusals.pause > 0 }

func (h *health) recordResult(now time.Time, latency time.Duration, result Result, jitter float64) {
	h.inFlight = max(0, h.inFlight-1)
	h.probeUntil = time.Time{}
	switch result {
	case ResultOK:
		h.addSample(now, latency.Seconds())
		h.circuit.recordSuccess(now)
		h.refusals.recordSuccess(now)
	case ResultRefused:
		h.refusals.recordRefusal(now, jitter)
	case ResultFailed:
		h.circuit.recordFailure(now, jitter)
		h.addSampleIfSlower(now, latency.Seconds())
	case ResultUnreachable:
		h.circuit.recordUnreachable(now, jitter)
	case ResultCancelled:
		h.addSampleIfSlower(now, latency.Seconds())
	}
}

func (h *health) addSample(now time.Time, seconds float64) {
	if h.samples == 0 {
		h.latency = seconds
	} else {
		h.latency += ewmaWeight * (seconds - h.latency)
	}
	h.measuredAt = now
	h.samples++
}

// addSampleIfSlower records the time of a request without a response only if it exceeds the latency estimate: a
// fast failure says nothing about the latency of responses.
func (h *health) addSampleIfSlower(now time.Time, seconds float64) {
	if h.samples > 0 && seconds > h.latency {
		h.addSample(now, seconds)
	}
}

// score returns the expected latency in seconds times the number of requests in flight including this one.
func (h *health) score(now time.Time, mean float64) float64 {
	latency := mean
	if h.samples > 0 {
		f := math.Exp(-float64(now.Sub(h.measuredAt)) / float64(ewmaDecay))
		latency += f * (h.latency - mean)
	}
	return latency * float64(h.inFlight+1)
}

// nextPause doubles a pause within the bounds least and most.
func nextPause(pause, least, most time.Duration) time.Duration {
	return min(max(2*pause, least), most)
}

// withJitter varies a pause by up to a quarter, so that entry hosts do not probe a server at the same time.
func withJitter(pause time.Duration, jitter float64) time.Duration {
	return time.Duration(float64(pause) * (0.75 + jitter/2))
}
