package entry_test

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/laburnumridge/laburnumridge/internal/entry"
	"github.com/laburnumridge/laburnumridge/internal/fleet"
	"github.com/laburnumridge/laburnumridge/internal/kvstore"
	"github.com/laburnumridge/laburnumridge/internal/shard"
	"github.com/laburnumridge/laburnumridge/internal/workflow"
)

var (
	seriesSeeds     = flag.Int("series-seeds", 4, "number of random series of handovers")
	seriesFirstSeed = flag.Uint64("series-first", 1, "seed of the first random series of handovers")
)

const (
	seriesShards, seriesHosts = 2, 5
	// slowestClock is the speed of the slowest clock that a worker may have.
	slowestClock = 0.98
	// seriesDuration is how long owners are stopped, workers are cut off and calls are late.
	seriesDuration = 40 * time.Second
	// leaseBound is how long after its renewal a lease of 7 s lasts at most.
	leaseBound = 7500 * time.Millisecond
	// maxLateness is the longest time after which a call is carried out that got no answer.
	maxLateness = 9 * time.Second
)

// handoverSeries stops the owners of a fleet one after the other beside faults of workers and store.
type handoverSeries struct {
	*simulatedFleet
	background   sync.WaitGroup
	cancelled    map[string]bool
	isOver       atomic.Bool
	lateCalls    atomic.Int64
	lateExecuted atomic.Int64
	// outlastLifetimes makes later lifetimes of a worker carry out the calls to earlier ones, up to longestCallDelay late.
	outlastLifetimes bool
}

// Guards against tasks that run twice, or run on after their job was cancelled, around handovers in series: the next owner acts before
// the orders of the one before are carried out or its leases are over. Owners drain, are killed, or are cut off past the end of their
// lease; workers are cut off, leave the registry and have slow clocks; calls are carried out up to 9 s late; owner keys are deleted late.
func TestHandoversInSeriesStartNothingTwice(t *testing.T) {
	for i := range *seriesSeeds {
		seed := *seriesFirstSeed + uint64(i)
		t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) { runHandoverSeries(t, seed) })
		})
	}
}

func runHandoverSeries(t *testing.T, seed uint64) {
	f := newSimulatedFleet(t, seed, seriesShards, simulatedWorkers)
	s := &handoverSeries{simulatedFleet: f, cancelled: map[string]bool{}}
	f.tasks.failAfter = func() time.Duration { return time.Duration(500+f.int(15_000)) * time.Millisecond }
	for _, id := range s.workerIDs() {
		if f.int(3) == 0 {
			f.workers[id].clockRate = slowestClock
		}
	}
	f.changePlatform = s.delayCalls
	f.addLongRunning(20)
	ctx, stopLoad := context.WithCancel(t.Context())
	defer stopLoad()
	go f.runLoad(ctx, 6, 4)
	for i := range seriesHosts {
		f.start(fmt.Sprintf("host-%d", i), strongHost)
	}
	time.Sleep(4 * time.Second)
	f.store.setTxnFault(s.lateDeletion)
	began := time.Now()
	for _, act := range []func(*rand.Rand){s.stopOwners, s.cutWorkers, s.changeJobs} {
		random := rand.New(rand.NewPCG(seed, 100+uint64(f.int(1000))))
		s.background.Go(func() { act(random) })
	}
	s.background.Wait()
	s.isOver.Store(true)
	time.Sleep(maxLateness)
	f.tasks.calm()
	time.Sleep(contactTime + restartGrace + restartWindow)
	t.Logf("%d changes of owners, %d late calls, %d of them carried out", strings.Count(f.ownerHistory(began), ":none"),
		s.lateCalls.Load(), s.lateExecuted.Load())
	assert.Check(t, strings.Join(f.tasks.violations, "\n") == "", "%s; owners: %s", strings.Join(f.tasks.violations, "\n"), f.ownerHistory(began))
	longest, task := f.tasks.longestCounted()
	assert.Check(t, longest <= restartWindow, "%s had nothing running for %s; owners: %s", task, longest, f.ownerHistory(began))
	stopLoad()
	time.Sleep(quietTime - contactTime - restartGrace - restartWindow)
	f.checkNothingWaits("after a series of handovers")
	f.tasks.mu.Lock()
	for task, worker := range f.tasks.running {
		job, _, _ := strings.Cut(task, ".")
		assert.Check(t, !s.cancelled[job], "%s of a cancelled job runs on %s", task, worker)
	}
	f.tasks.mu.Unlock()
}

func (s *handoverSeries) workerIDs() []string {
	var ids []string
	for id := range s.workers {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// lateDeletion delays the deletion of some owner keys, or loses its answer.
func (s *handoverSeries) lateDeletion(_ string, t kvstore.Txn) txnFault {
	if s.isOver.Load() || !deletesOwner(t) || s.int(4) > 0 {
		return txnFault{}
	}
	return txnFault{delay: time.Duration(1+s.int(3000)) * time.Millisecond}
}

// delayCalls makes calls to workers that are cut off fail. Some of them are carried out late, and so are some of the other calls.
func (s *handoverSeries) delayCalls(p *entry.Platform) {
	start, stop, poll := p.Start, p.Stop, p.Poll
	p.Start = func(ctx context.Context, o shard.Start) shard.Reply {
		if outcome, hasFailed := s.fail(ctx, o.Worker, func(w *simulatedWorker) bool { return w.start(ctx, o).Outcome == shard.OutcomeDone }); hasFailed {
			return shard.Reply{Outcome: outcome}
		}
		return start(ctx, o)
	}
	p.Stop = func(ctx context.Context, o shard.Stop) shard.Reply {
		if outcome, hasFailed := s.fail(ctx, o.Worker, func(w *simulatedWorker) bool { return w.stop(ctx, o).Outcome == shard.OutcomeDone }); hasFailed {
			return shard.Reply{Outcome: outcome}
		}
		return stop(ctx, o)
	}
	p.Poll = func(ctx context.Context, l shard.Poll) (shard.Listing, shard.Outcome) {
		outcome, hasFailed := s.fail(ctx, l.Worker, func(w *simulatedWorker) bool {
			l.Wait = time.Millisecond
			pollCtx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			_, outcome := w.poll(pollCtx, l)
			return outcome == shard.OutcomeDone
		})
		if hasFailed {
			return shard.Listing{}, outcome
		}
		return poll(ctx, l)
	}
}

// fail decides whether a call gets no answer, and returns its outcome then. A call that is sent to a worker that is cut
// off may be carried out up to maxLateness later, even if its sender is gone.
func (s *handoverSeries) fail(ctx context.Context, id string, execute func(*simulatedWorker) bool) (outcome shard.Outcome, hasFailed bool) {
	w := s.workers[id]
	switch {
	case s.isOver.Load() || !w.isUnreachable.Load() && s.int(60) > 0:
		return shard.OutcomeUnknown, false
	case w.isUnreachable.Load() && s.int(2) == 0:
		return shard.OutcomeNotSent, true
	}
	if s.int(2) == 0 {
		s.lateCalls.Add(1)
		life, delay := w.entry().Born, time.Duration(1+s.int(int(maxLateness/time.Millisecond)-1))*time.Millisecond
		if s.outlastLifetimes {
			delay = s.drawCallDelay()
		}
		time.AfterFunc(delay, func() {
			if (s.outlastLifetimes || w.entry().Born == life) && execute(w) {
				s.lateExecuted.Add(1)
			}
		})
	}
	<-ctx.Done()
	return shard.OutcomeUnknown, true
}

// stopOwners stops the owner of a shard, and starts its host again shortly after. Most drain, some are killed, and some are cut off
// until another host has taken their shard.
func (s *handoverSeries) stopOwners(random *rand.Rand) {
	var stops sync.WaitGroup
	away := map[string]bool{}
	var mu sync.Mutex
	for deadline := time.Now().Add(seriesDuration); time.Now().Before(deadline); {
		gap := time.Duration(200+random.IntN(1000)) * time.Millisecond
		if random.IntN(8) == 0 {
			gap += leaseBound // the leases that earlier owners granted are over by then
		}
		time.Sleep(gap)
		name := ""
		for owner := range s.owners() {
			mu.Lock()
			if !away[owner] && len(away) < seriesHosts-2 && (name == "" || owner < name) {
				name = owner
			}
			mu.Unlock()
		}
		if name == "" {
			continue
		}
		mu.Lock()
		away[name] = true
		mu.Unlock()
		kind, pause := random.IntN(8), time.Duration(200+random.IntN(1300))*time.Millisecond
		stops.Go(func() {
			s.mu.Lock()
			h := s.hosts[name]
			s.mu.Unlock()
			switch kind {
			case 0: // killed
			case 1:
				h.isCut.Store(true)
				time.Sleep(3*time.Second + pause)
				h.isCut.Store(false)
				time.Sleep(pause)
			default:
				ctx, cancel := context.WithTimeout(s.t.Context(), drainTimeout)
				h.daemon.DrainShards(ctx)
				cancel()
			}
			if kind != 1 {
				s.stop(h)
				time.Sleep(pause)
				s.start(name, strongHost)
			}
			mu.Lock()
			delete(away, name)
			mu.Unlock()
		})
	}
	stops.Wait()
}

// stop ends the process of a host, while others start and stop.
func (s *handoverSeries) stop(h *simulatedHost) {
	h.isCut.Store(true)
	h.cancel()
	<-h.done
}

// cutWorkers cuts workers off, one after the other. Some leave the registry as well.
func (s *handoverSeries) cutWorkers(random *rand.Rand) {
	ids := s.workerIDs()
	var cuts sync.WaitGroup
	for deadline := time.Now().Add(seriesDuration); time.Now().Before(deadline); {
		time.Sleep(time.Duration(200+random.IntN(600)) * time.Millisecond)
		id, leaves, duration := ids[random.IntN(len(ids))], random.IntN(2) == 0, time.Duration(500+random.IntN(12_000))*time.Millisecond
		if !s.workers[id].isUnreachable.CompareAndSwap(false, true) {
			continue
		}
		cuts.Go(func() {
			if leaves {
				_, err := s.store.txn(kvstore.Txn{Deletes: []string{id}})
				assert.Check(s.t, err == nil, "%v", err)
			}
			time.Sleep(duration)
			s.workers[id].isUnreachable.Store(false)
			s.register(id)
		})
	}
	cuts.Wait()
}

// changeJobs hands in long-running jobs and cancels them.
func (s *handoverSeries) changeJobs(random *rand.Rand) {
	var jobs sync.WaitGroup
	for n, deadline := 0, time.Now().Add(seriesDuration); time.Now().Before(deadline); n++ {
		time.Sleep(time.Duration(200+random.IntN(600)) * time.Millisecond)
		id, shardNumber, duration := fmt.Sprintf("c%015d", n), random.IntN(seriesShards), time.Duration(random.IntN(5000))*time.Millisecond
		s.tasks.expect(id, 3)
		s.addJob(shardNumber, workflow.Job{ID: id, Queue: "q", Steps: []workflow.Step{{
			Count: 3, LongRunning: true, Resources: fleet.Resources{CPUMilli: 500, MemoryMiB: 10}, Rack: rackName(shardNumber),
		}}})
		s.cancelled[id] = true
		jobs.Go(func() {
			time.Sleep(duration)
			s.tasks.forget(id)
			s.store.put(entry.JobPrefix+fmt.Sprintf("%d/%s/cancel", shardNumber, id), nil)
		})
	}
	jobs.Wait()
}
