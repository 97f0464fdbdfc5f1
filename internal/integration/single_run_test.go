package integration_test

import (
	"context"
	"slices"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/laburnumridge/laburnumridge/internal/fake"
	"github.com/laburnumridge/laburnumridge/internal/knownred"
	"github.com/laburnumridge/laburnumridge/internal/worker"
	lr "github.com/laburnumridge/laburnumridge/pkg/laburnumridge"
)

// jobTasks is the number of tasks of the submitted job.
const jobTasks = 8

// Guards against a task that runs on two workers at once, an attempt that runs twice and a task that starts from the
// beginning instead of from its checkpoint. They are checked in the journal, when the cluster of startCluster stops.
func TestSingleRun(t *testing.T) {
	startParallel(t)
	for name, fail := range map[string]func(c *cluster, owner, other *entryHost){
		"owner paused past its lease": func(c *cluster, owner, other *entryHost) {
			c.submit(owner, "job", jobTasks)
			c.awaitRunning(owner, "job", jobTasks)
			owner.signal(c.t, syscall.SIGSTOP)
			c.awaitTakeover(owner, other)
			c.awaitJob(other, "job", "resumed", func(n lr.PhaseCounts) bool { return n.Running+n.Done > 0 })
			owner.signal(c.t, syscall.SIGCONT)
			c.awaitServices(owner)
		},
		"owner killed": func(c *cluster, owner, other *entryHost) {
			c.submit(owner, "job", jobTasks)
			c.awaitRunning(owner, "job", jobTasks)
			before := len(slices.DeleteFunc(c.journal.Runs(), isBatch))
			owner.kill(c.t)
			c.awaitTakeover(owner, other)
			c.awaitServices(other)
			// Worker leases are longer than a takeover takes, so a crash of the owner must restart no replica.
			assert.Equal(c.t, len(slices.DeleteFunc(c.journal.Runs(), isBatch)), before)
		},
		"start delayed past the takeover": func(c *cluster, owner, other *entryHost) {
			for _, proxy := range c.workerProxies {
				proxy.SetDelay(fake.ToTarget, 25*time.Second, 0)
			}
			c.submit(owner, "job", jobTasks)
			eventually(c.t, "start requests sent and unanswered", func() error {
				explanation, err := owner.client(c.t).Explain(context.Background(), "job")
				return errorUnless(slices.ContainsFunc(explanation.Decisions, isStartUnanswered), "%d decisions (%v)", len(explanation.Decisions), err)
			})
			owner.kill(c.t)
			for _, proxy := range c.workerProxies {
				proxy.SetDelay(fake.ToTarget, 0, 0)
			}
			c.awaitTakeover(owner, other)
			refusedBefore := c.refusals(worker.ReasonStaleEpoch)
			eventually(c.t, "refusal of the delayed starts", func() error {
				return errorUnless(c.refusals(worker.ReasonStaleEpoch) > refusedBefore, "none refused")
			})
		},
		"worker disconnected past its leases": func(c *cluster, owner, _ *entryHost) {
			c.submit(owner, "job", jobTasks)
			c.awaitRunning(owner, "job", jobTasks)
			// The owner counts a task as running before its worker has begun, if the worker is short of processor time.
			var busy string
			eventually(c.t, "run of the job on a worker", func() error {
				runs := c.journal.Runs()
				i := slices.IndexFunc(runs, isBatch)
				if i >= 0 {
					busy = runs[i].Worker
				}
				return errorUnless(i >= 0, "%d runs, none of the job", len(runs))
			})
			assert.NilError(c.t, c.workerProxies[busy].SetPartitioned(true))
			eventually(c.t, "end of the leases of "+busy, func() error {
				runs := func(task worker.Task) bool { return !task.Phase.IsEnd() }
				return errorUnless(!slices.ContainsFunc(c.workers[busy].Tasks(), runs), "a task still runs")
			})
			c.reconnect(c.workerProxies[busy])
		},
		"responses of the platform lost": func(c *cluster, owner, other *entryHost) {
			c.platform.SetFaults(fake.PlatformFaults{LostResponses: 5})
			c.submit(owner, "job", jobTasks)
			c.platform.SetFaults(fake.PlatformFaults{LostResponses: 10})
			c.submit(other, "job", jobTasks) // a repeated submission must create no second job
			c.awaitRunning(owner, "job", jobTasks)
			c.platform.SetFaults(fake.PlatformFaults{LostResponses: 10})
			owner.kill(c.t)
		},
	} {
		t.Run(name, func(t *testing.T) {
			knownred.Skip(t)
			startParallel(t)
			c := startCluster(t, clusterConfig{zones: []zoneSize{{"wattala", 2, 3}}, runTime: 6 * time.Second})
			owner, other := c.ownerAndOther("wattala")
			fail(c, owner, other)
			c.awaitDone(other, "job", jobTasks)
			c.awaitServices(c.runningEntries()...)
			ran := map[string]bool{}
			for _, r := range c.journal.Runs() {
				if isBatch(r) {
					ran[r.Task] = true
				}
			}
			assert.Equal(t, len(ran), jobTasks)
		})
	}
}

// isStartUnanswered reports whether the decision is a start request to which the worker has not answered.
func isStartUnanswered(d lr.Decision) bool { return d.Decision == "start_unanswered" }

// isBatch reports whether the run is of the batch workload of initialNote.
func isBatch(r fake.Run) bool { return r.Work == "plan" }

// refusals returns how many calls and requests all workers together refused for a reason.
func (c *cluster) refusals(reason worker.Reason) int {
	total := 0
	for _, w := range c.workers {
		total += w.Refusals(reason)
	}
	return total
}
