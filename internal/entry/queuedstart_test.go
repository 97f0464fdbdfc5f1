package entry_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/laburnumridge/laburnumridge/internal/entry"
	"github.com/laburnumridge/laburnumridge/internal/fleet"
	"github.com/laburnumridge/laburnumridge/internal/shard"
	"github.com/laburnumridge/laburnumridge/internal/workflow"
)

// Guards against starts that wait behind unanswered calls to their worker and are sent although their task has ended or been cancelled
// meanwhile.
func TestQueuedStartIsNotSentOnceItsRunIsStopped(t *testing.T) {
	const job, callsPerWorker = "00000000000000c5", 2
	synctest.Test(t, func(t *testing.T) {
		f := newSimulatedFleet(t, 1, 1, 1)
		f.callCost = time.Millisecond
		var mu sync.Mutex
		var sent []time.Time
		f.changePlatform = func(p *entry.Platform) {
			p.Start = func(ctx context.Context, _ shard.Start) shard.Reply {
				mu.Lock()
				sent = append(sent, time.Now())
				mu.Unlock()
				<-ctx.Done()
				return shard.Reply{Outcome: shard.OutcomeUnknown}
			}
		}
		h := f.start("one", strongHost)
		time.Sleep(2 * time.Second)
		f.addJob(0, workflow.Job{ID: job, Queue: "q", Steps: []workflow.Step{{
			Count: 8, Estimate: time.Second, Resources: fleet.Resources{CPUMilli: 500, MemoryMiB: 10},
		}}})
		time.Sleep(300 * time.Millisecond)
		assert.Equal(t, h.daemon.Cancel(t.Context(), earlyQueue, job).Outcome, entry.OutcomeAccepted)
		cancelled := time.Now()
		time.Sleep(10 * time.Second)
		mu.Lock()
		defer mu.Unlock()
		assert.Equal(t, len(sent), callsPerWorker)
		for _, at := range sent {
			assert.Check(t, at.Before(cancelled), "a start was sent %s after the cancellation", at.Sub(cancelled))
		}
	})
}
