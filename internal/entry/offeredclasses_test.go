package entry_test

import (
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/laburnumridge/laburnumridge/internal/fleet"
	"github.com/laburnumridge/laburnumridge/internal/peer"
	"github.com/laburnumridge/laburnumridge/internal/workflow"
)

// addSizes hands in long-running jobs of one task each, which require a label. Their sizes differ, and none is smaller than another one in
// both dimensions.
func (f *simulatedFleet) addSizes(shard, first, count int, label string) []string {
	var ids []string
	for i := range count {
		id := fmt.Sprintf("e%015d", first+i)
		f.tasks.expect(id, 1)
		f.addJob(shard, workflow.Job{ID: id, Queue: "q", Steps: []workflow.Step{{
			Count: 1, Label: label, LongRunning: true,
			Resources: fleet.Resources{CPUMilli: int64(100 + 10*i), MemoryMiB: int64(10 + count - i)},
		}}})
		ids = append(ids, id)
	}
	return ids
}

// newLabelledFleet returns a fleet of two shards. In the first one, worker 0 has label "b", and the others have label "a"; in the second
// one, worker 0 has the given labels and the others have label "a".
func newLabelledFleet(t *testing.T, labels ...string) *simulatedFleet {
	f := newSimulatedFleet(t, 1, 2, exchangeWorkers)
	f.logHook = &decisionCounter{counts: map[string]int{}}
	f.callCost /= 10
	f.maxLease = seriesMaxLease
	for n := range 2 {
		for i := range exchangeWorkers {
			w := f.worker(n, i)
			w.maxRuns, w.Labels = runsPerWorker, []string{"a"}
		}
	}
	f.worker(0, 0).maxRuns, f.worker(0, 0).Labels = 100, []string{"b"}
	f.worker(1, 0).Labels = labels
	for i := range 3 {
		f.start(fmt.Sprintf("strong-%d", i), strongHost)
	}
	time.Sleep(3 * time.Second)
	return f
}

// loseWorkers loses the worker of label "b" of the first shard, and 10 s later one of label "a", whose tasks must run again in time.
func (f *simulatedFleet) loseWorkers(rare, plain int) {
	f.t.Helper()
	f.addSizes(0, 500, rare, "b")
	id := f.addLasting(0, 1, plain, "a")
	time.Sleep(4 * time.Second)
	assert.Equal(f.t, f.runsOf(id), plain)
	f.leave("servers/w0-0")
	time.Sleep(10 * time.Second)
	for n := range rare {
		f.tasks.forget(fmt.Sprintf("e%015d", 500+n))
	}
	f.leave("servers/w0-1")
	f.checkExchanged(id, plain)
	f.end()
}

// Guards against tasks that wait in a full shard beside room in another one, because more classes that no shard could hold than fit in a
// question have waited for longer.
func TestTasksMoveBesideThoseThatNoShardCouldHold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newLabelledFleet(t, "a")
		f.loseWorkers(24, 3*runsPerWorker)
	})
}

// Guards against the same wait if the other shard could hold the older classes, but has no room for them.
func TestTasksMoveBesideThoseThatFindNoRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newLabelledFleet(t, "b")
		id := f.addLasting(1, 2, runsPerWorker, "b")
		time.Sleep(2 * time.Second)
		assert.Equal(t, f.runsOf(id), runsPerWorker)
		f.loseWorkers(24, 3*runsPerWorker)
	})
}

// Guards against tasks that wait beside room for longer in a large fleet, and against more questions between owners: the home of the tasks is full,
// and hundreds of classes of a lost kind wait in it for longer than they do.
func TestTasksLeaveFullShardOfLargeFleet(t *testing.T) {
	const (
		shards, rare, moving = 44, 300, 60
		// maxQuestions is what the design page allows an owner with waiting tasks, each second.
		maxQuestions = 4
	)
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		f := newSimulatedFleet(t, 1, shards, exchangeWorkers)
		f.callCost /= 10
		f.maxLease = seriesMaxLease
		for n := range shards {
			for i := range exchangeWorkers {
				f.worker(n, i).maxRuns, f.worker(n, i).Labels = rare, []string{"a"}
			}
		}
		f.worker(0, 0).Labels, f.worker(0, 0).Capacity.CPUMilli, f.worker(0, 0).Capacity.MemoryMiB = []string{"b"}, 1_000_000, 1_000_000
		for i := range shards {
			f.start(fmt.Sprintf("strong-%d", i), strongHost)
		}
		time.Sleep(5 * time.Second)
		f.addSizes(0, 1000, rare, "b")
		moved := f.addSizes(0, 100, moving, "a")
		time.Sleep(8 * time.Second)
		f.leave("servers/w0-0")
		time.Sleep(10 * time.Second)
		for n := range rare {
			f.tasks.forget(fmt.Sprintf("e%015d", 1000+n))
		}
		var questions atomic.Int64
		f.setPeerDelay(func(_ string, m peer.Message) time.Duration {
			if m.RoomQuery != nil {
				questions.Add(1)
			}
			return 0
		})
		f.tasks.calm()
		began := time.Now()
		for i := 1; i < exchangeWorkers; i++ {
			f.leave(fmt.Sprintf("servers/w0-%d", i))
		}
		waiting := func() (n int) {
			for _, id := range moved {
				n += 1 - f.runsOf(id)
			}
			return n
		}
		time.Sleep(time.Second)
		for waiting() > 0 && time.Since(began) < time.Minute {
			time.Sleep(100 * time.Millisecond)
		}
		took, left := time.Since(began), waiting()
		t.Logf("%d of %d tasks run again in another shard, the last one after %s; %.1f questions a second", moving-left, moving, took,
			float64(questions.Load())/took.Seconds())
		assert.Check(t, left == 0 && took <= restartGrace+restartWindow, "%d tasks wait after %s", left, took)
		assert.Check(t, float64(questions.Load()) <= maxQuestions*took.Seconds()+2)
		f.end()
	})
}
