package integration_test

import (
	"context"
	"slices"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/laburnumridge/laburnumridge/internal/fake"
	"github.com/laburnumridge/laburnumridge/internal/worker"
	lr "github.com/laburnumridge/laburnumridge/pkg/laburnumridge"
)

const jobTasks = 8

// Guards against a task that runs in two places at once, an attempt that runs twice and work that starts anew
// instead of from its checkpoint; startFleet checks these in the journal at the end.
func TestSingleRun(t *testing.T) {
	begin(t)
	for name, fail := range map[string]func(c *cluster, owner, other *entry){
		"owner paused past its lease": func(c *cluster, owner, other *entry) {
			c.submit(owner, "job", jobTasks)
			c.awaitRunning(owner, "job", jobTasks)
			owner.signal(c.t, syscall.SIGSTOP)
			c.awaitTakeover(owner, other)
			c.awaitJob(other, "job", "resumed", func(n lr.PhaseCounts) bool { return n.Running+n.Done > 0 })
			owner.signal(c.t, syscall.SIGCONT)
			c.awaitServices(owner)
		},
		"owner killed": func(c *cluster, owner, other *entry) {
			c.submit(owner, "job", jobTasks)
			c.awaitRunning(owner, "job", jobTasks)
			before := len(slices.DeleteFunc(c.journal.Runs(), isBatch))
			owner.kill(c.t)
			c.awaitTakeover(owner, other)
			c.awaitServices(other)
			// Leases outlast a takeover, so a crash of the owner restarts no replica.
			assert.Equal(c.t, len(slices.DeleteFunc(c.journal.Runs(), isBatch)), before)
		},
		"start delayed past the takeover": func(c *cluster, owner, other *entry) {
			for _, link := range c.links {
				link.Delay(fake.ToTarget, 25*time.Second, 0)
			}
			c.submit(owner, "job", jobTasks)
			eventually(c.t, "starts under way", func() error {
				said, err := owner.client(c.t).Explain(context.Background(), "job")
				return want(slices.ContainsFunc(said.Decisions, isUnanswered), "%d decisions (%v)", len(said.Decisions), err)
			})
			owner.kill(c.t)
			for _, link := range c.links {
				link.Delay(fake.ToTarget, 0, 0)
			}
			c.awaitTakeover(owner, other)
			refused := c.refused(worker.ReasonStaleEpoch)
			eventually(c.t, "arrival of the delayed starts", func() error {
				return want(c.refused(worker.ReasonStaleEpoch) > refused, "none refused")
			})
		},
		"worker cut off and back": func(c *cluster, owner, _ *entry) {
			c.submit(owner, "job", jobTasks)
			c.awaitRunning(owner, "job", jobTasks)
			busy := c.journal.Runs()[slices.IndexFunc(c.journal.Runs(), isBatch)].Worker
			assert.NilError(c.t, c.links[busy].Cut(true))
			eventually(c.t, "end of the leases of "+busy, func() error {
				runs := func(task worker.Task) bool { return !task.Phase.IsEnd() }
				return want(!slices.ContainsFunc(c.workers[busy].Tasks(), runs), "a task runs")
			})
			c.restore(c.links[busy])
		},
		"answers of the platform lost": func(c *cluster, owner, other *entry) {
			c.platform.SetFaults(fake.PlatformFaults{LoseAnswers: 5})
			c.submit(owner, "job", jobTasks)
			c.platform.SetFaults(fake.PlatformFaults{LoseAnswers: 10})
			c.submit(other, "job", jobTasks) // a repeat creates no second job
			c.awaitRunning(owner, "job", jobTasks)
			c.platform.SetFaults(fake.PlatformFaults{LoseAnswers: 10})
			owner.kill(c.t)
		},
	} {
		t.Run(name, func(t *testing.T) {
			begin(t)
			c := startFleet(t, fleet{zones: []zone{{"wattala", 2, 3}}, runTime: 6 * time.Second})
			owner, other := c.roles("wattala")
			fail(c, owner, other)
			c.awaitDone(other, "job", jobTasks)
			c.awaitServices(c.live()...)
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

func isUnanswered(d lr.Decision) bool { return d.Decision == "start_unanswered" }

func isBatch(r fake.Run) bool { return r.Work == "plan" }

func (c *cluster) refused(reason worker.Reason) int {
	n := 0
	for _, w := range c.workers {
		n += w.Refusals(reason)
	}
	return n
}
