package shard_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/laburnumridge/laburnumridge/internal/fleet"
	"github.com/laburnumridge/laburnumridge/internal/shard"
	"github.com/laburnumridge/laburnumridge/internal/workflow"
)

// Guards against jobs that pile up in one shard while another one has free capacity.
func TestLoadCountsWaitingTasks(t *testing.T) {
	sim := newSimulation(t, 1, 2)
	empty := sim.owner.Load("s")
	assert.Equal(t, empty.Room, int64(16000))
	job := func(id string, bestEffort bool) workflow.Job {
		return workflow.Job{ID: id, Queue: "q", Steps: []workflow.Step{{
			Count: 3, BestEffort: bestEffort, Image: "i", Resources: fleet.Resources{CPUMilli: 4000},
		}}}
	}
	reserving, bestEffortJob := job("0000000000000001", false), job("0000000000000002", true)
	sim.owner.Add(sim.now, reserving)
	sim.owner.Add(sim.now, bestEffortJob)
	loaded := sim.owner.Load("s")
	assert.Equal(t, loaded.Free, empty.Free-12000)
	assert.Equal(t, loaded.Fill, int64(12000))
	assert.Assert(t, empty.Suitability(reserving) > loaded.Suitability(reserving))
	assert.Assert(t, empty.Suitability(bestEffortJob) > loaded.Suitability(bestEffortJob))
	assert.Assert(t, shard.Load{}.Suitability(reserving) < loaded.Suitability(reserving), "a shard without workers suits nothing")
	assert.Equal(t, sim.owner.Load("other").Room, int64(0))
	// Best-effort tasks use what other tasks leave unused, so a shard full of other tasks suits them less than one with
	// a small best-effort backlog.
	busy, backlogged := shard.Load{Left: 2000, Room: 16000}, shard.Load{Fill: 3000, Left: 16000, Room: 16000}
	assert.Assert(t, backlogged.Suitability(bestEffortJob) > busy.Suitability(bestEffortJob))
}
