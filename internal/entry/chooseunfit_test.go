package entry_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/laburnumridge/laburnumridge/internal/entry"
	"github.com/laburnumridge/laburnumridge/internal/fleet"
	"github.com/laburnumridge/laburnumridge/internal/workflow"
)

// Guards against jobs that are accepted into a shard without a worker that could ever hold one of their tasks, while another shard has
// some: they never start.
func TestJobGoesToShardWhoseWorkersCanHoldIt(t *testing.T) {
	const shards, suitableShard, jobs = 5, 3, 20
	step := func(change func(*workflow.Step)) workflow.Step {
		s := workflow.Step{Count: 2, Estimate: time.Second, Resources: fleet.Resources{CPUMilli: 500, MemoryMiB: 10}}
		change(&s)
		return s
	}
	for name, s := range map[string]workflow.Step{
		"label": step(func(s *workflow.Step) { s.Label = "special" }),
		"label beside affinity to a rack without it": step(func(s *workflow.Step) { s.Label, s.Rack = "special", rackName(0) }),
		"size of a task": step(func(s *workflow.Step) { s.Resources.CPUMilli = 12_000 }),
		"size of a gang": step(func(s *workflow.Step) { s.Gang, s.Count, s.Resources.CPUMilli = true, 18, 6000 }),
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newSimulatedFleet(t, 1, shards, simulatedWorkers)
				for i := range 2 {
					w := f.workers[fmt.Sprintf("servers/w%d-%d", suitableShard, i)]
					w.Labels, w.Capacity.CPUMilli = []string{"special"}, 16_000
				}
				var hosts []*entry.Host
				for i := range 3 {
					hosts = append(hosts, f.start(fmt.Sprintf("strong-%d", i), strongHost).daemon)
				}
				time.Sleep(4 * time.Second)
				for i := range jobs {
					j := workflow.Job{ID: fmt.Sprintf("%016x", i), Queue: "q", Steps: []workflow.Step{s}}
					n, ok := hosts[i%len(hosts)].ChooseShard(t.Context(), j)
					assert.Assert(t, ok)
					assert.Equal(t, n, suitableShard)
				}
			})
		})
	}
}
