package integration_test

import (
	"context"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	lr "github.com/laburnumridge/laburnumridge/pkg/laburnumridge"
)

// Guards against components that work separately but not together: publishing a note, requests, jobs, explain and
// in-force.
func TestEndToEnd(t *testing.T) {
	startParallel(t)
	c := startCluster(t, clusterConfig{zones: []zoneSize{{"wattala", 2, 2}, {"kadawatha", 1, 2}}})
	c.submit(c.entries[0], "job", 6)
	c.awaitDone(c.entries[1], "job", 6)

	ran := map[string]string{}
	for _, r := range c.journal.Runs() {
		if r.Work == "plan" {
			ran[r.Task] = r.Worker
		}
	}
	assert.Equal(t, len(ran), 6)
	client := c.entries[2].client(t)
	job, err := client.Job(context.Background(), "job")
	assert.NilError(t, err)
	assert.Equal(t, job.Phase, lr.PhaseDone)
	for _, task := range job.Tasks {
		explanation, err := client.Explain(context.Background(), task.ID)
		assert.NilError(t, err)
		assert.Assert(t, slices.ContainsFunc(explanation.Decisions, func(d lr.Decision) bool {
			return d.Worker == ran[task.ID] && d.Reason != ""
		}), "%s ran on %s: %v", task.ID, ran[task.ID], explanation.Decisions)
	}
	for _, e := range c.entries {
		eventually(t, "in-force at "+e.id, func() error {
			in, err := e.client(t).InForce(context.Background(), "orders")
			behind := func(h lr.HostRevision) bool { return !h.Reachable || h.Revision != in.Revision }
			return errorUnless(err == nil && len(in.Hosts) == len(c.entries) && in.Work.Note == "first" &&
				!slices.ContainsFunc(in.Hosts, behind), "%+v (%v)", in, err)
		})
	}
}
