package shard

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a worker that stays on probation forever after its quarantine because all its runs are long-running
// and therefore never complete.
func TestProbationEndsWithoutCompletedRun(t *testing.T) {
	now := time.Unix(1000, 0)
	var h health
	for range quarantineAfter {
		h.failed(now)
	}
	assert.Assert(t, !h.accepts(now))
	now = now.Add(firstQuarantine)
	assert.Assert(t, h.accepts(now))
	h.assigned(now)
	assert.Assert(t, !h.accepts(now), "a worker on probation gets one run per probeInterval")
	now = now.Add(probeInterval)
	assert.Assert(t, h.accepts(now))
	now = now.Add(firstQuarantine)
	h.assigned(now)
	assert.Assert(t, h.accepts(now), "no failure for longer than the quarantine ends the probation")
}

func TestFailureOnProbationLengthensTheQuarantine(t *testing.T) {
	now := time.Unix(1000, 0)
	var h health
	for range quarantineAfter {
		h.failed(now)
	}
	now = now.Add(firstQuarantine)
	assert.Assert(t, h.failed(now))
	assert.Assert(t, !h.accepts(now.Add(firstQuarantine)))
	assert.Assert(t, h.accepts(now.Add(2*firstQuarantine)))
}

// Guards against the quarantine of a worker on which only runs of one job failed, together.
func TestJointFailuresOfOneJobDoNotQuarantine(t *testing.T) {
	now := time.Unix(1000, 0)
	sent := now.Add(-time.Second)
	var h health
	for i := range 2 * quarantineAfter {
		assert.Assert(t, !h.runFailed(now.Add(time.Duration(i)*100*time.Millisecond), "a", sent))
	}
	assert.Assert(t, h.accepts(now.Add(jointFailureTime)))
}

// Guards against a failing worker that is quarantined later since some of its failures are joint.
func TestJointFailuresCountBesideOthers(t *testing.T) {
	type failure struct {
		job string
		// sent and at are when the run was sent, and when its failure became known.
		sent, at time.Duration
	}
	const ms = time.Millisecond
	for name, failures := range map[string][]failure{
		"another job last":        {{"a", 0, 500 * ms}, {"a", 0, 500 * ms}, {"b", 0, 500 * ms}},
		"another job between":     {{"a", 0, 500 * ms}, {"b", 0, 500 * ms}, {"a", 0, 500 * ms}},
		"after a placement":       {{"a", 0, 500 * ms}, {"a", 0, 500 * ms}, {"a", 0, 500 * ms}, {"a", 0, 500 * ms}, {"a", 600 * ms, 700 * ms}},
		"one by one":              {{"a", 0, 500 * ms}, {"a", 600 * ms, 700 * ms}, {"a", 800 * ms, 900 * ms}},
		"runs that end far apart": {{"a", 0, 500 * ms}, {"a", 0, 5 * time.Second}, {"a", 0, 10 * time.Second}},
	} {
		t.Run(name, func(t *testing.T) {
			start := time.Unix(1000, 0)
			var h health
			for i, f := range failures {
				quarantined := h.runFailed(start.Add(f.at), f.job, start.Add(f.sent))
				assert.Equal(t, quarantined, i == len(failures)-1, "after failure %d", i+1)
			}
		})
	}
}
