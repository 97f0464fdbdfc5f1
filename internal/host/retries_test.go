package host_test

import (
	"net/http"
	"slices"
	"sync/atomic"
	"testing"

	"github.com/rotisserie/eris"
	"gotest.tools/v3/assert"

	"github.com/laburnumridge/laburnumridge/internal/fake"
	"github.com/laburnumridge/laburnumridge/internal/fleet"
	"github.com/laburnumridge/laburnumridge/internal/worker"
)

const twoReplicas = `id = "two-replicas"
[[changed]]
kind = "service"
name = "orders"
replicas_per_zone = 2
resources = { cpu_milli = 1000, memory_mib = 1000, slots = 1 }
`

// TestBrokenAttemptIsNotSentElsewhere guards against a request with a key that runs twice: the first worker breaks
// the connection after it may have run the request, and the request is sent to a second worker.
func TestBrokenAttemptIsNotSentElsewhere(t *testing.T) {
	var breaks atomic.Bool
	handler := fake.WithHandler(func(http.ResponseWriter, *http.Request) {
		if breaks.Load() {
			panic(http.ErrAbortHandler)
		}
	})
	c := newCluster(t, handler)
	second := fake.NewWorker(handler, fake.WithID("worker-2"), fake.WithJournal(c.journal))
	assert.NilError(t, second.Start())
	t.Cleanup(second.Kill)
	c.platform.SetHost(fleet.Host{
		Address: second.Address(), Capacity: fleet.Resources{Connections: 64, CPUMilli: 32_000, MemoryMiB: 125_000, Slots: 8},
		ID: "worker-2", Kind: fleet.KindWorker, Rack: "r2", State: fleet.StateLive, Zone: "z",
	})
	a := c.start("a", c.url)
	c.publishNote(a)
	_, err := a.client.Publish(t.Context(), []byte(twoReplicas))
	assert.NilError(t, err)
	waitUntil(t, "both workers answer", func() error {
		used := map[string]bool{}
		for range 20 {
			a.post("", "x")
		}
		for _, e := range c.journal.Executions() {
			used[e.Worker] = true
		}
		if len(used) < 2 || !slices.ContainsFunc(second.Tasks(), serves) {
			return eris.Errorf("requests ran on %v", used)
		}
		return nil
	})
	breaks.Store(true)
	for range 5 {
		k := newKey()
		assert.Equal(t, a.post(k, "x").outcome, "unknown")
		ran := 0
		for _, e := range c.journal.Executions() {
			if e.Key == k {
				ran++
			}
		}
		assert.Assert(t, ran <= 1, "key %s ran %d times", k, ran)
	}
}

func serves(task worker.Task) bool { return task.Work == "orders" && task.Phase == worker.PhaseRunning }
