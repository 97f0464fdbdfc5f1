package shard

import (
	"time"

	"github.com/laburnumridge/laburnumridge/internal/fleet"
	"github.com/laburnumridge/laburnumridge/internal/workflow"
)

// gangRoom tells which waiting gangs would have room for all their members if the tasks that end had ended.
type gangRoom struct {
	// free is what workers would have left then.
	free  map[*worker]fleet.Resources
	known map[gangStep]bool
	now   time.Time
	*Owner
}

// gangStep identifies a gang.
type gangStep struct {
	occurrence *occurrence
	step       *workflow.Step
}

func (o *Owner) newGangRoom(now time.Time) *gangRoom {
	return &gangRoom{free: map[*worker]fleet.Resources{}, known: map[gangStep]bool{}, now: now, Owner: o}
}

// mayRun reports whether a waiting task is no member of a gang, or one of a gang that would have room if the tasks that end had ended. Any
// other gang may wait for good: it is larger than the shard, or long-running tasks take its room.
func (g *gangRoom) mayRun(t *task) bool {
	if !t.step.Gang {
		return true
	}
	key := gangStep{t.occurrence, t.step}
	fits, ok := g.known[key]
	if !ok {
		fits = g.holdsGang(t)
		g.known[key] = fits
	}
	return fits
}

// holdsGang reports whether all members of a task's gang would have room at the same time.
func (g *gangRoom) holdsGang(t *task) bool {
	gang, n := requirement(t.step, t.job.queue.Service), 0
	for _, w := range g.sortedWorkers() {
		if n < gang.Count && w.takesTasks(g.now) && !t.isAdvisedAgainst(w) {
			n += gang.fit(w, g.freeOn(w), gang.Count-n)
		}
	}
	return n >= gang.Count
}

// freeOn returns what a worker would have left, which is computed once.
func (g *gangRoom) freeOn(w *worker) fleet.Resources {
	free, ok := g.free[w]
	if !ok {
		free = w.freeWithoutBatch()
		g.free[w] = free
	}
	return free
}
