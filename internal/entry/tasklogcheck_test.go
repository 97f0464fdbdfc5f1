package entry_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/laburnumridge/laburnumridge/internal/shard"
	"github.com/laburnumridge/laburnumridge/internal/workflow"
)

// Guards against simulations that miss a task that runs twice at once, again after an end that is acknowledged before or after that, or after
// as many failed ends as it may have, and against those that report a run that is repeated by a later lifetime, or after an end that need not
// count.
func TestTaskLogReportsRunsThatMustNotBe(t *testing.T) {
	lease := maxWorkerLease.Milliseconds()
	start := func(w *simulatedWorker, run int) {
		w.start(context.Background(), shard.Start{Order: shard.Order{Token: 1}, Job: "j", Run: run, Until: w.clock() + lease})
	}
	poll := func(w *simulatedWorker, lastSeen int64) {
		w.poll(context.Background(), shard.Poll{Order: shard.Order{Token: 1}, LastSeen: lastSeen, Until: w.clock() + lease})
	}
	restart := func(w *simulatedWorker) {
		w.crash()
		w.restart()
	}
	speculate := func(w *simulatedWorker) {
		w.tasks.addJob(workflow.Job{ID: "j", Steps: []workflow.Step{{Speculative: true}}})
	}
	limit := func(w *simulatedWorker, s workflow.Step) {
		w.tasks.addJob(workflow.Job{ID: "j", Steps: []workflow.Step{s}})
	}
	fails := func(w *simulatedWorker, runs ...int) {
		for _, run := range runs {
			start(w, run)
			w.failAll()
		}
	}
	runs := func(w *simulatedWorker, run int) {
		start(w, run)
		time.Sleep(2 * shortTaskDuration)
	}
	cases := map[string]struct {
		act     func(a, b *simulatedWorker)
		reports int
	}{
		"on two workers": {func(a, b *simulatedWorker) { start(a, 1); start(b, 2) }, 1},
		"on one worker":  {func(a, _ *simulatedWorker) { start(a, 1); start(a, 2) }, 1},
		"again after acknowledged end": {func(a, b *simulatedWorker) {
			start(a, 1)
			time.Sleep(2 * shortTaskDuration)
			poll(a, 1)
			start(b, 2)
		}, 1},
		"again by a later lifetime": {func(a, _ *simulatedWorker) {
			start(a, 1)
			time.Sleep(2 * shortTaskDuration)
			poll(a, 1)
			restart(a)
			start(a, 1)
		}, 1},
		"again after end without acknowledgement": {func(a, b *simulatedWorker) {
			start(a, 1)
			time.Sleep(2 * shortTaskDuration)
			start(b, 2)
		}, 0},
		"again after end that is acknowledged later":               {func(a, b *simulatedWorker) { runs(a, 1); runs(b, 2); poll(a, 1) }, 1},
		"again after end that is acknowledged while the next runs": {func(a, b *simulatedWorker) { runs(a, 1); start(b, 2); poll(a, 1) }, 1},
		"again on the same worker, both ends acknowledged later":   {func(a, _ *simulatedWorker) { runs(a, 1); runs(a, 2); poll(a, 2) }, 1},
		"the last end alone is acknowledged":                       {func(a, b *simulatedWorker) { runs(a, 1); runs(b, 2); poll(b, 1) }, 0},
		"again after failure that is acknowledged later": {func(a, b *simulatedWorker) {
			start(a, 1)
			a.failAll()
			runs(b, 2)
			poll(a, 1)
			poll(b, 1)
		}, 0},
		"again after end that is acknowledged once its lease has lapsed": {func(a, b *simulatedWorker) {
			runs(a, 1)
			runs(b, 2)
			time.Sleep(2 * maxWorkerLease)
			poll(a, 1)
		}, 0},
		"again after end that is lost with its lifetime": {func(a, b *simulatedWorker) {
			runs(a, 1)
			runs(b, 2)
			restart(a)
			poll(a, 1)
		}, 0},
		"speculative task again after end that is acknowledged later": {func(a, b *simulatedWorker) {
			speculate(a)
			runs(a, 1)
			runs(b, 2)
			poll(a, 1)
		}, 0},
		"speculative task again by a late start": {func(a, b *simulatedWorker) {
			speculate(a)
			runs(a, 1)
			poll(a, 1)
			b.callDelay = func(string) time.Duration { return longestCallDelay }
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			b.handleStart(ctx, shard.Start{Order: shard.Order{Token: 1}, Job: "j", Run: 2, Until: b.clock() + 2*lease})
			time.Sleep(longestCallDelay)
		}, 0},
		"speculative task again over a second after acknowledged end": {func(a, b *simulatedWorker) {
			speculate(a)
			runs(a, 1)
			poll(a, 1)
			time.Sleep(speculativeGrace + time.Millisecond)
			start(b, 2)
		}, 1},
		"after three failed ends": {func(a, b *simulatedWorker) {
			limit(a, workflow.Step{})
			fails(a, 1, 2)
			fails(b, 3)
			poll(a, 2)
			poll(b, 1)
			start(a, 4)
		}, 1},
		"after three failed ends that are acknowledged later": {func(a, b *simulatedWorker) {
			limit(a, workflow.Step{})
			fails(a, 1, 2)
			fails(b, 3)
			start(b, 4)
			poll(b, 1)
			poll(a, 2)
		}, 1},
		"after three failed ends, one of which is lost with its lifetime": {func(a, b *simulatedWorker) {
			limit(a, workflow.Step{})
			fails(a, 1, 2)
			fails(b, 3)
			poll(a, 2)
			restart(b)
			start(a, 4)
		}, 0},
		"before the third of four failed ends": {func(a, b *simulatedWorker) {
			limit(a, workflow.Step{})
			fails(a, 1, 2)
			start(a, 3)
			fails(b, 4)
			a.failAll()
			poll(a, 3)
			poll(b, 1)
		}, 1}, // the runs 3 and 4 are there at the same time
		"of a task that lasts after three failed ends": {func(a, _ *simulatedWorker) {
			limit(a, workflow.Step{LongRunning: true})
			fails(a, 1, 2, 3)
			poll(a, 3)
			start(a, 4)
		}, 0},
		"of a speculative task within a second after three failed ends": {func(a, _ *simulatedWorker) {
			limit(a, workflow.Step{Speculative: true})
			fails(a, 1, 2, 3)
			poll(a, 3)
			start(a, 4)
		}, 0},
		"of a speculative task over a second after three failed ends": {func(a, _ *simulatedWorker) {
			limit(a, workflow.Step{Speculative: true})
			fails(a, 1, 2, 3)
			poll(a, 3)
			time.Sleep(speculativeGrace + time.Millisecond)
			start(a, 4)
		}, 1},
		"again after end in a lease that has lapsed": {func(a, b *simulatedWorker) {
			start(a, 1)
			time.Sleep(2 * maxWorkerLease)
			poll(a, 1)
			start(b, 2)
		}, 0},
		"repeated after death with the lifetime": {func(a, _ *simulatedWorker) {
			start(a, 1)
			restart(a)
			start(a, 1)
		}, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				log := newTaskLog()
				c.act(newSimulatedWorker("a", "rack-0", log), newSimulatedWorker("b", "rack-0", log))
				assert.Equal(t, len(log.violations), c.reports, log.violations)
			})
		})
	}
}
