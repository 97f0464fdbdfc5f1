package shard_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/laburnumridge/laburnumridge/internal/fleet"
	"github.com/laburnumridge/laburnumridge/internal/workflow"
)

// Guards against alarms for a gang that waits since the shard has room for some of its members only.
func TestGangThatDoesNotFitAsAWholeIsNotCounted(t *testing.T) {
	c := newFleetHarness(t, 3)
	c.run(time.Second)
	whole := fleet.Resources{CPUMilli: 8000, MemoryMiB: 100}
	c.add(workflow.Job{ID: crowdedJob(1), Queue: "q", Steps: []workflow.Step{{Count: 1, Resources: whole, LongRunning: true}}})
	c.run(time.Second)
	assert.Equal(t, len(c.running), 1)
	assert.Equal(t, c.besideRoom("q", workflow.Step{Count: 3, Gang: true, Resources: whole}, 20*time.Second), 0)
}
