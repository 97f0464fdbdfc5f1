package entry_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/laburnumridge/laburnumridge/internal/fleet"
	"github.com/laburnumridge/laburnumridge/internal/kvstore"
	"github.com/laburnumridge/laburnumridge/internal/shard"
	"github.com/laburnumridge/laburnumridge/internal/workflow"
)

var (
	standstillSeeds = flag.Int("standstill-seeds", 4, "number of seeds of the test of mixed disturbances")
	standstillFirst = flag.Uint64("standstill-first", 0, "first of these seeds")
)

const (
	standstillShards, standstillWorkers, standstillHosts = 3, 5, 5
	// standstillTime is how long hosts, store and workers are disturbed and jobs are handed in and cancelled.
	standstillTime = 40 * time.Second
	// gangTimeout is how long a member of a gang waits for the others.
	gangTimeout = 3 * time.Second
)

// disturbances are the faults of hosts, store and workers of a run, each with a weight that the seed draws.
type disturbances struct {
	*handoverSeries
	failing map[string]bool // workers that fail all they start
	// hopeless holds the jobs whose first tasks fail in each run.
	hopeless map[string]bool
	mu       sync.Mutex
	refused  map[string]bool // hosts that the store turns away
	// faultRate is the share of transactions, in percent, that are refused, or late without an answer.
	faultRate int
	seed      uint64
}

// Guards against accepted jobs that stand still beside free workers after disturbances that overlap, whatever their order: hosts are
// killed, drained, cut off, frozen and slowed; the store is down, turns hosts away, loses answers, writes late, cuts watches and drops
// their history; workers restart under the same id, leave, are silent while they run on, carry out orders late and fail all runs. In half
// of the runs workers carry out calls for their earlier lifetimes, and in half all hosts lose power at the end. The first tasks of a fifth of
// the jobs fail in each run, also as members of gangs and as copies.
func TestNothingWaitsBesideRoomAfterDisturbances(t *testing.T) {
	for i := range uint64(*standstillSeeds) {
		seed := *standstillFirst + i
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) { runDisturbances(t, seed) })
		})
	}
}

func runDisturbances(t *testing.T, seed uint64) {
	f := newSimulatedFleet(t, seed, standstillShards, standstillWorkers)
	f.callCost /= 10
	f.logHook = &decisionCounter{counts: map[string]int{}}
	d := &disturbances{
		handoverSeries: &handoverSeries{simulatedFleet: f}, failing: map[string]bool{}, hopeless: map[string]bool{}, refused: map[string]bool{}, faultRate: f.int(10), seed: seed,
	}
	for _, id := range d.workerIDs() {
		if f.int(3) == 0 {
			f.workers[id].Labels = []string{"special"}
		}
		if f.int(3) == 0 {
			f.workers[id].clockRate = slowestClock
		}
	}
	d.outlastLifetimes = rand.New(rand.NewPCG(seed, 2)).IntN(2) == 0
	f.tasks.endOf = d.endOf
	f.changePlatform = d.delayCalls
	f.store.setTxnFault(d.txnFault)
	for i := range standstillHosts {
		f.start(fmt.Sprintf("host-%d", i), strongHost)
	}
	time.Sleep(3 * time.Second)
	began := time.Now()
	done := make(chan struct{})
	go d.runGangs(done)
	for _, act := range []func(*rand.Rand){d.disturbHosts, d.disturbStore, d.disturbWorkers, d.changeJobs} {
		random := rand.New(rand.NewPCG(seed, 100+uint64(f.int(1000))))
		d.background.Go(func() { act(random) })
	}
	d.background.Wait()
	if f.int(2) == 0 {
		f.kill(f.names()...)
		time.Sleep(time.Duration(500+f.int(4000)) * time.Millisecond)
	}
	d.end()
	time.Sleep(quietTime)
	when := fmt.Sprintf("seed %d", seed)
	f.checkNothingWaits(when)
	f.checkEndsAcknowledged(when)
	t.Logf("%d changes of owners, %d late calls, %d tasks given", strings.Count(f.ownerHistory(began), ":none"), d.lateCalls.Load(),
		f.decisions("give_task"))
	close(done)
	f.end()
}

// end ends all disturbances.
func (d *disturbances) end() {
	d.isOver.Store(true)
	d.store.setDown(false)
	d.store.setTxnFault(nil)
	d.mu.Lock()
	clear(d.failing)
	d.mu.Unlock()
	for i := range standstillHosts {
		d.startMissing(fmt.Sprintf("host-%d", i), strongHost)
	}
}

// txnFault loses answers, writes late and turns hosts away.
func (d *disturbances) txnFault(host string, _ kvstore.Txn) txnFault {
	d.mu.Lock()
	isRefused := d.refused[host]
	d.mu.Unlock()
	switch {
	case isRefused, d.int(200) < d.faultRate:
		return txnFault{isRefused: true}
	case d.int(200) < d.faultRate:
		return txnFault{delay: time.Duration(1+d.int(4000)) * time.Millisecond}
	}
	return txnFault{}
}

// endOf draws how long a run lasts and how it ends. Gangs end in runGangs.
func (d *disturbances) endOf(worker string, s shard.Start, step workflow.Step) (time.Duration, shard.EndCause) {
	d.mu.Lock()
	defer d.mu.Unlock()
	duration := time.Duration(200+d.int(2000)) * time.Millisecond
	switch {
	case d.failing[worker], !d.isOver.Load() && d.int(25) == 0, d.hopeless[s.Job] && s.Key.Index == 0 && !step.LongRunning:
		return duration, shard.EndFailed
	case step.LongRunning, step.Gang:
		return 0, ""
	}
	return duration, shard.EndDone
}

// runGangs ends the members of gangs: all are done a second after the last one has started, and those that lack others are broken or
// give up.
func (d *disturbances) runGangs(done chan struct{}) {
	begun := map[string]time.Time{}
	for {
		select {
		case <-done:
			return
		case <-time.After(200 * time.Millisecond):
		}
		members := map[string]map[string]*simulatedWorker{}
		for _, w := range d.workers {
			w.mu.Lock()
			for name, s := range w.runs {
				if step := d.tasks.step(s); step != nil && step.Gang {
					k := fmt.Sprintf("%s#%d/%d", stepName(s.Job, s.Key), s.Run, step.Count)
					if members[k] == nil {
						members[k] = map[string]*simulatedWorker{}
					}
					members[k][name] = w
				}
			}
			w.mu.Unlock()
		}
		for k, runs := range members {
			if begun[k].IsZero() {
				begun[k] = time.Now()
			}
			age, isWhole := time.Since(begun[k]), strings.HasSuffix(k, fmt.Sprintf("/%d", len(runs)))
			cause := shard.EndDone
			if !isWhole {
				cause = shard.EndGangTimeout
			}
			if isWhole && age > time.Second || age > gangTimeout {
				for name, w := range runs {
					w.endRun(name, cause)
				}
			}
		}
	}
}

// endRun ends a run if it is still there.
func (w *simulatedWorker) endRun(name string, cause shard.EndCause) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if _, ok := w.runs[name]; ok {
		w.end(name, cause)
	}
}

func (d *disturbances) disturbHosts(random *rand.Rand) {
	for deadline := time.Now().Add(standstillTime); time.Now().Before(deadline); {
		time.Sleep(time.Duration(200+random.IntN(2500)) * time.Millisecond)
		name := fmt.Sprintf("host-%d", random.IntN(standstillHosts))
		if owners := d.ownerNames(); len(owners) > 0 && random.IntN(3) > 0 {
			name = owners[random.IntN(len(owners))]
		}
		h, pause := d.host(name), time.Duration(100+random.IntN(4000))*time.Millisecond
		if h == nil || h.isStopping.Load() {
			continue
		}
		kind := random.IntN(6)
		d.background.Go(func() {
			switch kind {
			case 0, 1:
				d.restart(name, kind == 0)
			case 2:
				h.isCut.Store(true)
				time.Sleep(pause)
				h.isCut.Store(h.isStopping.Load())
			case 3: // frozen
				h.processor <- struct{}{}
				time.Sleep(pause)
				<-h.processor
			case 4:
				h.slowdown.Store(5)
				time.Sleep(pause)
				h.slowdown.Store(1)
			case 5:
				d.setRefused(name, true)
				time.Sleep(pause)
				d.setRefused(name, false)
			}
		})
	}
}

func (d *disturbances) ownerNames() []string {
	var out []string
	for name := range d.owners() {
		out = append(out, name)
	}
	return out
}

func (d *disturbances) setRefused(host string, isRefused bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.refused[host] = isRefused
}

func (d *disturbances) disturbStore(random *rand.Rand) {
	for deadline := time.Now().Add(standstillTime); time.Now().Before(deadline); {
		time.Sleep(time.Duration(100+random.IntN(3000)) * time.Millisecond)
		switch random.IntN(8) {
		case 0, 1, 2:
			d.store.compact()
		case 3, 4:
			d.store.cutWatches()
		case 5:
			d.store.setDown(true)
			time.Sleep(time.Duration(100+random.IntN(2500)) * time.Millisecond)
			d.store.setDown(false)
		case 6: // the config changes
			d.store.put("op/config", append(d.store.get("op/config").Value, 0))
		case 7: // history is dropped at a takeover
			for _, name := range d.ownerNames() {
				d.background.Go(func() { d.restart(name, d.int(2) == 0) })
			}
			time.Sleep(time.Duration(random.IntN(2500)) * time.Millisecond)
			d.store.compact()
		}
	}
}

func (d *disturbances) disturbWorkers(random *rand.Rand) {
	ids, hasLeft := d.workerIDs(), map[int]bool{}
	for deadline := time.Now().Add(standstillTime); time.Now().Before(deadline); {
		time.Sleep(time.Duration(200+random.IntN(1200)) * time.Millisecond)
		n := random.IntN(len(ids))
		id := ids[n]
		w, pause, leaves := d.workers[id], time.Duration(300+random.IntN(11_000))*time.Millisecond, random.IntN(2) == 0
		switch random.IntN(6) {
		case 0, 1: // silent
			if !w.isUnreachable.CompareAndSwap(false, true) {
				continue
			}
			d.background.Go(func() {
				if leaves {
					d.store.remove(id)
				}
				time.Sleep(pause)
				w.isUnreachable.Store(false)
				d.register(id)
			})
		case 2, 3: // a new life under the same id
			if !w.isUnreachable.CompareAndSwap(false, true) {
				continue
			}
			w.crash()
			d.background.Go(func() {
				away := 2*time.Second + pause/8 // longer than any sender waits for a response
				if d.outlastLifetimes {
					away = pause / 8
				}
				time.Sleep(away)
				w.restart()
				w.isUnreachable.Store(false)
				d.register(id)
			})
		case 4:
			d.setFailing(id, true)
			d.background.Go(func() {
				time.Sleep(pause)
				d.setFailing(id, false)
			})
		case 5:
			if shardNumber := n / standstillWorkers; !hasLeft[shardNumber] && random.IntN(3) == 0 && !w.isUnreachable.Load() {
				hasLeft[shardNumber] = true
				w.isUnreachable.Store(true) // no disturbance brings it back
				d.leave(id)
			}
		}
	}
}

func (d *disturbances) setFailing(worker string, isFailing bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.failing[worker] = isFailing
}

func (d *disturbances) setHopeless(job string, isHopeless bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.hopeless[job] = isHopeless
}

// changeJobs hands in jobs of all kinds and cancels some of them.
func (d *disturbances) changeJobs(random *rand.Rand) {
	var ids []string
	hopeless := rand.New(rand.NewPCG(d.seed, 3))
	for deadline := time.Now().Add(standstillTime); time.Now().Before(deadline); {
		time.Sleep(time.Duration(100+random.IntN(1200)) * time.Millisecond)
		if h := d.host(fmt.Sprintf("host-%d", random.IntN(standstillHosts))); h != nil && len(ids) > 0 && random.IntN(4) == 0 {
			id := ids[random.IntN(len(ids))]
			d.background.Go(func() { h.daemon.Cancel(d.t.Context(), earlyQueue, id) })
			continue
		}
		if d.store.isDown() {
			continue
		}
		j := drawJob(random, len(ids))
		ids = append(ids, j.ID)
		d.setHopeless(j.ID, hopeless.IntN(5) == 0)
		if j.IsLongRunning() {
			d.tasks.expect(j.ID, j.Steps[0].Count)
		}
		d.addJob(random.IntN(standstillShards), j)
	}
}

// drawJob returns a job of a random kind. The first digit of its ID is the kind.
func drawJob(random *rand.Rand, number int) workflow.Job {
	kind := random.IntN(10)
	s := workflow.Step{
		Count: 1 + random.IntN(3), Estimate: time.Second,
		Resources: fleet.Resources{CPUMilli: int64(500 + random.IntN(3500)), MemoryMiB: int64(100 + random.IntN(8000))},
	}
	j := workflow.Job{ID: fmt.Sprintf("%x%015x", kind, number), Queue: "q", AcceptedAt: time.Now().UnixMilli()}
	if random.IntN(5) == 0 {
		s.Label = "special"
	}
	if random.IntN(5) == 0 {
		s.PerWorker = 1
	}
	budget := 1
	switch kind {
	case 0, 1: // steps that follow each other
		j.Steps = []workflow.Step{s, s, s}
		j.Steps[1].After, j.Steps[2].After = []int{0}, []int{random.IntN(2)}
		return j
	case 2:
		s.Gang, s.Count = true, 2+random.IntN(3)
	case 3, 4:
		s.LongRunning = true
	case 5:
		s.LongRunning, s.MaxUnavailable = true, &budget
	case 6:
		j.Occurrences, j.Interval = 2+random.IntN(4), time.Duration(1+random.IntN(8))*time.Second
		j.StartAt = time.Now().Add(time.Duration(random.IntN(5000)) * time.Millisecond).UnixMilli()
	case 7:
		s.BestEffort, s.Image, s.LongRunning = true, "i", random.IntN(2) == 0
	case 8:
		s.Speculative = true
	case 9: // no worker can hold it, or no shard all of it
		s.Resources.CPUMilli, s.Gang, s.Count = int64(5000+random.IntN(6000)), random.IntN(2) == 0, 6
	}
	j.Steps = []workflow.Step{s}
	return j
}
