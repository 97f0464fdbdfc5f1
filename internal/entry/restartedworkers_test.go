package entry_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/laburnumridge/laburnumridge/internal/fleet"
	"github.com/laburnumridge/laburnumridge/internal/workflow"
)

var (
	restartedSeeds = flag.Int("restarted-seeds", 3, "number of seeds of the test of restarted workers while owners change")
	restartedFirst = flag.Uint64("restarted-first", 1, "first of these seeds")
)

// restartedTime is how long workers restart and owners change.
const restartedTime = 30 * time.Second

// Guards against tasks that run twice at once, or again after an acknowledged end, after workers have restarted under their ids and carry
// out calls to their earlier lifetimes up to 12 s late, or without a response behind a cut of one direction, while owners are killed, frozen,
// cut off from the store or hand their shards over, in series and at once: the next owner must know which calls of the one before it have no
// response. Afterwards nothing may wait beside room, and ends must be acknowledged.
func TestTasksRunOnceWhileOwnersChange(t *testing.T) {
	for i := range uint64(*restartedSeeds) {
		seed := *restartedFirst + i
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) { runRestartedWorkers(t, seed) })
		})
	}
}

func runRestartedWorkers(t *testing.T, seed uint64) {
	f := newSimulatedFleet(t, seed, standstillShards, standstillWorkers)
	f.callCost /= 10
	f.logHook = &decisionCounter{counts: map[string]int{}}
	d := &disturbances{handoverSeries: &handoverSeries{simulatedFleet: f}, failing: map[string]bool{}, hopeless: map[string]bool{}, refused: map[string]bool{}, seed: seed}
	d.faultRate = max(f.int(20)-10, 0)
	f.store.setTxnFault(d.txnFault)
	f.tasks.endOf = d.endOf
	share, closesPort := 1+f.int(30), f.int(2) == 0
	for _, id := range d.workerIDs() {
		w := f.workers[id]
		w.callDelay, w.closesPort = d.delayShare(share, &d.isOver, &d.lateCalls), closesPort
		w.nextClockStart = f.drawClockStart
		w.clockStart = f.drawClockStart(0)
		if f.int(3) == 0 {
			w.Labels = []string{"special"}
		}
		if f.int(3) == 0 {
			w.clockRate = slowestClock
		}
	}
	for i := range standstillHosts {
		f.start(fmt.Sprintf("host-%d", i), strongHost)
	}
	time.Sleep(3 * time.Second)
	began := time.Now()
	done := make(chan struct{})
	go d.runGangs(done)
	for _, act := range []func(*rand.Rand){d.changeOwners, d.restartWorkers, d.changeJobs} {
		random := rand.New(rand.NewPCG(seed, 100+uint64(f.int(1000))))
		d.background.Go(func() { act(random) })
	}
	d.background.Wait()
	d.end()
	time.Sleep(quietTime)
	when := fmt.Sprintf("seed %d", seed)
	f.checkNothingWaits(when)
	f.checkEndsAcknowledged(when)
	t.Logf("%d changes of owners, %d late calls (%d %%), %d restarts of workers, faults of %d %% of the transactions",
		strings.Count(f.ownerHistory(began), ":none"), d.lateCalls.Load(), share, d.restarts(), d.faultRate)
	close(done)
	f.end()
}

// restarts returns how often workers have restarted.
func (f *simulatedFleet) restarts() int {
	n := 0
	for _, w := range f.workers {
		w.mu.Lock()
		n += w.restarts
		w.mu.Unlock()
	}
	return n
}

// changeOwners lets up to four owners of a shard in a row fail or hand the shard over, of several shards at once.
func (d *disturbances) changeOwners(random *rand.Rand) {
	for deadline := time.Now().Add(restartedTime); time.Now().Before(deadline); {
		time.Sleep(time.Duration(200+random.IntN(4000)) * time.Millisecond)
		shardNumber, series := random.IntN(standstillShards), rand.New(rand.NewPCG(random.Uint64(), 1))
		d.background.Go(func() {
			for range 1 + series.IntN(4) {
				d.changeOwner(shardNumber, series)
				time.Sleep(time.Duration(300+series.IntN(3000)) * time.Millisecond)
			}
		})
	}
}

// changeOwner disturbs the owner of a shard, if it has one, in the background.
func (d *disturbances) changeOwner(shardNumber int, random *rand.Rand) {
	h, kind, pause := d.host(d.ownerOf(shardNumber)), random.IntN(5), time.Duration(100+random.IntN(4000))*time.Millisecond
	if h == nil || h.isStopping.Load() {
		return
	}
	d.background.Go(func() {
		switch kind {
		case 0: // killed
			d.restart(h.name, false)
		case 1, 2: // hands its shards over
			d.restart(h.name, true)
		case 3: // cut off from the store and its peers
			h.isCut.Store(true)
			time.Sleep(pause)
			h.isCut.Store(h.isStopping.Load())
		case 4: // frozen
			h.processor <- struct{}{}
			time.Sleep(pause)
			<-h.processor
		}
	})
}

// Guards against a task that starts elsewhere before a start without a response, of which only an earlier owner knows, can't be carried
// out any more: its worker has restarted and is cut off, so the present owner can't give the later lifetime a higher token.
func TestSuccessorWaitsForStartsWithoutResponse(t *testing.T) {
	for name, changeOwner := range map[string]func(*disturbances){
		"killed":     func(d *disturbances) { d.restart(d.ownerOf(0), false) },
		"hands over": func(d *disturbances) { d.restart(d.ownerOf(0), true) },
		"hands over twice": func(d *disturbances) {
			d.restart(d.ownerOf(0), true)
			d.restart(d.ownerOf(0), true)
		},
		"hands over, is killed": func(d *disturbances) {
			d.restart(d.ownerOf(0), true)
			d.restart(d.ownerOf(0), false)
		},
		"cut off from the store": func(d *disturbances) {
			h := d.host(d.ownerOf(0))
			h.isCut.Store(true)
			time.Sleep(5 * time.Second)
			h.isCut.Store(false)
		},
	} {
		for _, isLongRunning := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, long-running %t", name, isLongRunning), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { runLostStart(t, isLongRunning, changeOwner) })
			})
		}
	}
}

func runLostStart(t *testing.T, isLongRunning bool, changeOwner func(*disturbances)) {
	f := newSimulatedFleet(t, 1, 1, standstillWorkers)
	f.callCost /= 10
	d := &disturbances{handoverSeries: &handoverSeries{simulatedFleet: f}}
	f.startMixed(3, 0)
	time.Sleep(15 * time.Second) // leases of an owner before the first would be over
	j := workflow.Job{ID: "0000000000000001", Queue: "q", AcceptedAt: time.Now().UnixMilli(), Steps: []workflow.Step{{
		Count: 1, Estimate: time.Second, LongRunning: isLongRunning, Resources: fleet.Resources{CPUMilli: 500, MemoryMiB: 10},
	}}}
	if isLongRunning {
		f.tasks.expect(j.ID, 1)
	}
	lost := f.loseStart(j.ID, longestCallDelay-500*time.Millisecond)
	f.addJob(0, j)
	for lost() == nil {
		time.Sleep(time.Millisecond)
	}
	w := lost()
	w.crash()
	time.Sleep(100 * time.Millisecond)
	w.setCut(true)
	w.restart()
	f.register(w.ID)
	changeOwner(d)
	time.Sleep(2 * longestCallDelay)
	w.setCut(false)
	time.Sleep(quietTime)
	f.checkNothingWaits("after a start without a response")
	f.checkEndsAcknowledged("after a start without a response")
	f.tasks.mu.Lock()
	assert.Check(t, f.tasks.running[workflow.TaskKey{}.Name(j.ID)] != "" == isLongRunning, f.tasks.history)
	assert.Check(t, isLongRunning || !f.tasks.done[workflow.TaskKey{}.Name(j.ID)].IsZero(), f.tasks.history)
	f.tasks.mu.Unlock()
	f.end()
}
