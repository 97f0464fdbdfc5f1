package shard

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a worker whose runs all last and which is never trusted again after its quarantine.
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
	assert.Assert(t, !h.accepts(now), "one run at a time on probation")
	now = now.Add(probeInterval)
	assert.Assert(t, h.accepts(now))
	now = now.Add(firstQuarantine)
	h.assigned(now)
	assert.Assert(t, h.accepts(now), "as long as its quarantine without a failure")
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
