package entry_test

import (
	"context"
	"flag"
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/laburnumridge/laburnumridge/internal/fleet"
	"github.com/laburnumridge/laburnumridge/internal/workflow"
)

var (
	gapSeeds = flag.Int("restart-gap-seeds", 1, "number of seeds of the test of the time until tasks of a restarted worker run again")
	gapFirst = flag.Uint64("restart-gap-first", 1, "first of these seeds")
	// gapSilent chooses how the owner learns of the restart: a closed port tells it sooner than calls without a response.
	gapSilent = flag.Bool("restart-gap-silent", false, "let calls to the worker get no response while it restarts, instead of failing at once")
)

const (
	// gapWorkers, gapTasks and gapPerWorker leave almost each worker with long-running tasks, and room for those of one worker.
	gapWorkers, gapTasks, gapPerWorker = 8, 20, 3
	// gapDown is how long a worker is away, and gapCut how long it is cut off after that.
	gapDown, gapCut = 600 * time.Millisecond, 9 * time.Second
	// gapTime is how long tasks are observed, and gapInterval how exactly.
	gapTime, gapInterval = 45 * time.Second, 10 * time.Millisecond
	// gapJob is the job of the long-running tasks, and lostJob that of one task whose first start gets no response.
	gapJob, lostJob = "f000000000000000", "f100000000000000"
)

// restartCase is what happens besides the restart of a worker.
type restartCase struct {
	name                         string
	isStartLost, isCut, isKilled bool
}

// restartGaps are the times from a crash to the next start of the long-running tasks that ran on the worker, the longest times that each
// of them had nothing running, and the same for the task whose start was lost.
type restartGaps struct {
	next, longest, lostNext []time.Duration
}

// Guards against long-running tasks that wait for too long, run twice or not at all after their worker has restarted under its id: with all
// calls answered, after a start without a response, before a cut, and with the loss of the owner besides. Logs the times.
func TestTasksOfRestartedWorkerRunAgain(t *testing.T) {
	t.Parallel()
	for _, c := range []restartCase{
		{name: "answered"},
		{name: "lost start", isStartLost: true},
		{name: "cut", isCut: true},
		{name: "answered, owner killed", isKilled: true},
		{name: "lost start, owner killed", isStartLost: true, isKilled: true},
		{name: "cut, owner killed", isCut: true, isKilled: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			var g restartGaps
			for i := range uint64(*gapSeeds) {
				synctest.Test(t, func(t *testing.T) { g.measure(t, *gapFirst+i, c) })
			}
			t.Logf("%s: next start %s; longest time without a run %s; task whose start was lost %s", c.name, describe(g.next),
				describe(g.longest), describe(g.lostNext))
		})
	}
}

// describe returns the median and the longest of some times, and their number.
func describe(times []time.Duration) string {
	if len(times) == 0 {
		return "-"
	}
	slices.Sort(times)
	return fmt.Sprintf("median %.2f s, worst %.2f s of %d", times[len(times)/2].Seconds(), times[len(times)-1].Seconds(), len(times))
}

func (g *restartGaps) measure(t *testing.T, seed uint64, c restartCase) {
	f := newSimulatedFleet(t, seed, 1, gapWorkers)
	f.callCost /= 10
	for _, w := range f.workers {
		w.closesPort = !*gapSilent
	}
	addLasting := func(id string, tasks, perWorker int) {
		f.tasks.expect(id, tasks)
		f.addJob(0, workflow.Job{ID: id, Queue: "q", Steps: []workflow.Step{{
			Count: tasks, LongRunning: true, PerWorker: perWorker, Resources: fleet.Resources{CPUMilli: 500, MemoryMiB: 10},
		}}})
	}
	addLasting(gapJob, gapTasks, gapPerWorker)
	ctx, stopLoad := context.WithCancel(t.Context())
	defer stopLoad()
	go f.runLoad(ctx, 2, 4)
	f.startMixed(3, 0)
	time.Sleep(12*time.Second + time.Duration(f.int(3000))*time.Millisecond)
	w, tasks, lostTask := f.worker(0, f.int(gapWorkers)), []string{}, workflow.TaskKey{}.Name(lostJob)
	if c.isStartLost {
		lost := f.loseStart(lostJob, f.drawCallDelay())
		addLasting(lostJob, 1, 0)
		for lost() == nil {
			time.Sleep(time.Millisecond)
		}
		w = lost()
		time.Sleep(time.Duration(100+f.int(900)) * time.Millisecond)
	}
	for task, worker := range f.tasks.workers() {
		if worker == w.ID && strings.HasPrefix(task, gapJob) {
			tasks = append(tasks, task)
		}
	}
	crashed := time.Now()
	w.crash()
	go func() {
		time.Sleep(gapDown)
		w.restart()
		f.register(w.ID)
		if c.isCut {
			time.Sleep(time.Duration(f.int(2000)) * time.Millisecond)
			w.setCut(true)
			time.Sleep(gapCut)
			w.setCut(false)
		}
	}()
	if c.isKilled {
		owner, after := f.ownerOf(0), gapDown+time.Duration(f.int(1000))*time.Millisecond
		time.AfterFunc(after, func() { f.kill(owner) })
	}
	next, longest := f.observeGaps(crashed, append(tasks, lostTask))
	for _, task := range tasks {
		assert.Check(t, next[task] > 0, "seed %d: %s does not run again", seed, task)
		g.next, g.longest = append(g.next, next[task]), append(g.longest, longest[task])
	}
	if c.isStartLost {
		assert.Check(t, next[lostTask] > 0, "seed %d: the task whose start was lost does not run", seed)
		g.lostNext = append(g.lostNext, next[lostTask])
	}
	stopLoad()
	f.end()
}

// observeGaps returns after what time each of some tasks runs next, and for how long it has nothing running at most.
func (f *simulatedFleet) observeGaps(since time.Time, tasks []string) (next, longest map[string]time.Duration) {
	next, longest = map[string]time.Duration{}, map[string]time.Duration{}
	lastRun := map[string]time.Time{}
	for ; time.Since(since) < gapTime; time.Sleep(gapInterval) {
		running := f.tasks.workers()
		for _, task := range tasks {
			if lastRun[task].IsZero() {
				lastRun[task] = since
			}
			if running[task] == "" {
				longest[task] = max(longest[task], time.Since(lastRun[task]))
				continue
			}
			lastRun[task] = time.Now()
			if next[task] == 0 {
				next[task] = time.Since(since)
			}
		}
	}
	return next, longest
}

// workers returns the worker of each task that runs.
func (l *taskLog) workers() map[string]string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return maps.Clone(l.running)
}
