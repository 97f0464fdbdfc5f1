package shard_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/sirupsen/logrus/hooks/test"
	"gotest.tools/v3/assert"

	"github.com/laburnumridge/laburnumridge/internal/fleet"
	"github.com/laburnumridge/laburnumridge/internal/shard"
	"github.com/laburnumridge/laburnumridge/internal/workflow"
)

// waitingJob is the job that waits in tests of its log line.
const waitingJob = "0000000000000009"

// waitCase is a reason for which a task waits, with the log field that counts the workers that are out for it.
type waitCase struct {
	queue   string
	step    workflow.Step
	prepare func(*fleetHarness)
	reasons map[string]int
}

// waitCases returns the main reasons for which a task that never ran waits on two workers of 8 cores and 8,000 MiB.
func waitCases() map[string]waitCase {
	one := fleet.Resources{CPUMilli: 1000, MemoryMiB: 10}
	whole := fleet.Resources{CPUMilli: 8000, MemoryMiB: 10}
	fill := func(s workflow.Step) func(*fleetHarness) {
		return func(c *fleetHarness) {
			c.add(workflow.Job{ID: "0000000000000001", Queue: "q", Steps: []workflow.Step{s}})
			c.run(time.Second)
		}
	}
	drain := func(c *fleetHarness) {
		for _, w := range c.workers {
			w.Draining, w.Remaining = true, time.Minute
		}
		c.register()
	}
	return map[string]waitCase{
		"long-running tasks": {step: workflow.Step{Count: 1, Resources: one}, prepare: fill(workflow.Step{Count: 2, Resources: whole, LongRunning: true}), reasons: map[string]int{"no_cpu": 2}},
		"short runs":         {step: workflow.Step{Count: 1, Resources: one}, prepare: fill(workflow.Step{Count: 2, Resources: whole}), reasons: map[string]int{"short_runs": 2}},
		"memory": {
			step:    workflow.Step{Count: 1, Resources: fleet.Resources{CPUMilli: 1000, MemoryMiB: 500}},
			prepare: fill(workflow.Step{Count: 2, Resources: fleet.Resources{CPUMilli: 5000, MemoryMiB: 7900}}), reasons: map[string]int{"no_memory": 2},
		},
		"too large": {step: workflow.Step{Count: 1, Resources: fleet.Resources{CPUMilli: 9000, MemoryMiB: 10}}, reasons: map[string]int{"no_cpu": 2}},
		"draining":  {step: workflow.Step{Count: 1, Resources: one}, prepare: drain, reasons: map[string]int{"leaving": 2}},
		"label":     {step: workflow.Step{Count: 1, Resources: one, Label: "absent"}, reasons: map[string]int{"no_label": 2}},
		"spread limit": {
			step: workflow.Step{Count: 4, Resources: one, PerWorker: 1}, reasons: map[string]int{"spread_limit": 2, "like": 1},
		},
		"advice": {
			queue: "advised", step: workflow.Step{Count: 1, Resources: one},
			prepare: func(c *fleetHarness) { c.refusesAdvice = true }, reasons: map[string]int{"advised_against": 2},
		},
		"held": {step: workflow.Step{Count: 1, Resources: one}, prepare: func(c *fleetHarness) {
			c.worker("b1").Draining = true
			c.register()
			fill(workflow.Step{Count: 1, Resources: fleet.Resources{CPUMilli: 4000, MemoryMiB: 10}})(c)
			c.worker("b1").Draining = false
			c.register()
			c.addWholeWorkerJob("0000000000000002", 0, 1)
			c.run(time.Second)
			c.worker("b1").Draining, c.worker("b1").Remaining = true, time.Minute
			c.register()
			c.run(time.Second)
		}, reasons: map[string]int{"leaving": 1, "held": 1}},
		"silent": {step: workflow.Step{Count: 1, Resources: one}, prepare: func(c *fleetHarness) {
			c.workers[1].Draining = true
			c.register()
			c.silent, c.pollTimeout = c.workers[0].ID, 900*time.Millisecond
			c.run(12 * time.Second) // an idle worker is polled shortly before its lease ends
		}, reasons: map[string]int{"leaving": 1, "unreachable": 1}},
		"quarantine": {step: workflow.Step{Count: 1, Resources: one}, prepare: func(c *fleetHarness) {
			c.endCause = func(shard.Start) shard.EndCause { return shard.EndFailed }
			for i := range 20 {
				c.add(workflow.Job{ID: fmt.Sprintf("f%015x", i), Queue: "q", Steps: []workflow.Step{{Count: 2, Resources: one}}})
				c.run(500 * time.Millisecond)
			}
		}, reasons: map[string]int{"quarantined": 2}},
	}
}

// Guards against a task that never ran and waits without a sign in the log of what it waits for.
func TestWaitOfFirstRunIsLoggedWithReasons(t *testing.T) {
	counted := []string{
		"leaving", "unreachable", "unknown_runs", "quarantined", "no_label", "spread_limit", "advised_against", "no_cpu", "short_runs",
		"no_memory", "held", "headroom", "no_ticket", "avoided", "disturbed", "suitable", "like",
	}
	for name, c := range waitCases() {
		t.Run(name, func(t *testing.T) {
			h := newFleetHarness(t, 2)
			h.run(time.Second)
			if c.prepare != nil {
				c.prepare(h)
			}
			queue := "q"
			if c.queue != "" {
				queue = c.queue
			}
			h.add(workflow.Job{ID: waitingJob, Queue: queue, AcceptedAt: h.now.UnixMilli(), Steps: []workflow.Step{c.step}})
			seen := map[string]int{}
			for _, e := range h.collectWaits(7*time.Second, "wait") {
				if e.Data["job"] != waitingJob {
					continue
				}
				waited, err := time.ParseDuration(e.Data["waited"].(string))
				assert.NilError(t, err)
				assert.Check(t, waited >= 5*time.Second && waited < 6*time.Second, "logged after %s", waited)
				for _, reason := range counted {
					if n, ok := e.Data[reason].(int); ok {
						seen[reason] = n
					}
				}
				break
			}
			assert.DeepEqual(t, seen, c.reasons)
		})
	}
}

// Guards against a log that does not tell that a long-running task waits for room that is kept free for short tasks.
func TestWaitBehindHeadroomIsTold(t *testing.T) {
	c := newFleetHarness(t, 10)
	heldBack := c.fillWithLongRunning(t, workflow.Step{Count: 4, Resources: fleet.Resources{CPUMilli: 2000, MemoryMiB: 100}, LongRunning: true})
	for _, e := range c.collectWaits(7*time.Second, "wait") {
		if n, _ := e.Data["headroom"].(int); e.Data["job"] == heldBack && n > 0 {
			return
		}
	}
	t.Errorf("no line of job %s says that it waits for headroom", heldBack)
}

// Guards against log lines that take the processor time of an owner with many waiting tasks, and against tasks that are never named
// beside others that wait as well.
func TestWaitingTasksAreNamedInTurn(t *testing.T) {
	const jobs = 30
	c := newFleetHarness(t, 2)
	for i := range jobs {
		c.add(workflow.Job{ID: fmt.Sprintf("%016x", i), Queue: "q", Steps: []workflow.Step{{
			Count: 5, Label: "absent", Resources: fleet.Resources{CPUMilli: 1000, MemoryMiB: 10},
		}}})
	}
	lastNamed := map[string]time.Time{}
	for range 20 {
		hook := test.NewLocal(c.log)
		c.run(time.Second)
		c.owner.ReportWaits(c.now)
		named := 0
		for _, e := range hook.AllEntries() {
			if e.Data["decision"] != "wait" {
				continue
			}
			named++
			job := e.Data["job"].(string)
			last, ok := lastNamed[job]
			assert.Check(t, !ok || c.now.Sub(last) >= 5*time.Second, "%s was named twice within %s", job, c.now.Sub(last))
			lastNamed[job] = c.now
		}
		assert.Check(t, named <= 4, "%d lines in a round", named)
	}
	assert.Equal(t, len(lastNamed), jobs)
}
