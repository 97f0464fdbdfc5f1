package shard_test

import (
	"time"

	"github.com/laburnumridge/laburnumridge/internal/fleet"
	"github.com/laburnumridge/laburnumridge/internal/workflow"
)

// longRunningStep is a step with one long-running task that leaves room for others on its worker.
var longRunningStep = workflow.Step{
	Count: 1, Resources: fleet.Resources{CPUMilli: 1000, MemoryMiB: 10}, LongRunning: true, TailTarget: time.Second, Image: "i",
}

// takeOver replaces the owner by one that reads the records which the owner has written.
func (c *fleetHarness) takeOver() {
	for _, commit := range c.store.received {
		c.storeWrites(commit)
	}
	c.ids = nil
	for id := range c.jobs {
		c.ids = append(c.ids, id)
	}
	c.replaceOwner()
}
