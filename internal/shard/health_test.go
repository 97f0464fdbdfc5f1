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
