package shard_test

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/laburnumridge/laburnumridge/internal/shard"
	"github.com/laburnumridge/laburnumridge/internal/workflow"
)

var (
	seeds     = flag.Int("seeds", 50, "number of random runs")
	firstSeed = flag.Uint64("first-seed", 1, "seed of the first random run")
)

// step advances the simulation by simulationStep.
func (w *simulation) step() {
	w.now = w.now.Add(simulationStep)
	for _, f := range w.workers {
		if !f.down {
			w.endDueRuns(f)
		}
	}
	w.deliver()
	a := w.owner.Step(w.now)
	for _, advise := range a.AdviceRequests {
		w.advise(advise)
	}
	for _, l := range a.Polls {
		w.look(l)
	}
	for _, s := range a.Stops {
		w.stop(s)
	}
	for _, s := range a.Starts {
		w.start(s)
	}
	if a.Commit != nil {
		w.commit(w.owner, a.Commit)
	}
}

// commit writes the records after a delay, unless another owner has taken over by then.
func (w *simulation) commit(owner *shard.Owner, c *shard.Commit) {
	w.calls = append(w.calls, &call{deliverAt: w.now.Add(time.Duration(4+w.random.IntN(20)) * time.Millisecond), answer: func(bool) {
		switch {
		case owner != w.owner:
			return
		case !w.storeUp:
			w.commit(owner, c)
			return
		}
		for _, write := range c.Writes {
			if write.Final != "" {
				w.final[write.Job] = write.Final
				continue
			}
			p, err := workflow.Decode[workflow.Progress](write.Progress)
			if err != nil {
				w.t.Fatal(err)
			}
			w.recorded[write.Job] = p
		}
		owner.Committed(w.now, c)
	}})
}

// injectFault randomly injects a fault, clears one, or cancels a job.
func (w *simulation) injectFault() {
	f := w.workers[w.random.IntN(len(w.workers))]
	switch w.random.IntN(900) {
	case 0:
		w.replaceOwner()
	case 1, 2:
		f.partitioned = true
	case 3, 4, 5:
		f.partitioned = false
	case 6:
		f.down, f.runs = true, nil
	case 7, 8:
		if f.down {
			w.restart(f)
		}
	case 9:
		w.storeUp = false
	case 10, 11, 12:
		w.storeUp = true
	case 13:
		for _, id := range w.ids {
			if w.final[id] == "" && w.random.IntN(4) == 0 {
				w.cancelled[id] = true
				w.owner.Cancel(w.now, id)
				break
			}
		}
	case 14, 15:
		w.register()
	}
}

// drainWithoutFaults clears all faults and lets the jobs finish.
func (w *simulation) drainWithoutFaults() {
	w.faultsEnabled, w.storeUp = false, true
	for _, f := range w.workers {
		f.partitioned = false
		if f.down {
			w.restart(f)
		}
	}
	w.register()
	for range 9000 {
		w.step()
	}
}

// Guards against tasks that run twice at the same time or again after their recorded end, workers loaded beyond their
// capacity, and lost jobs. Random sequences of lost and late calls, network partitions, crashes, store outages and
// owner changes are simulated.
func TestGuaranteesHoldUnderRandomFaults(t *testing.T) {
	for i := range *seeds {
		seed := *firstSeed + uint64(i)
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			w := newSimulation(t, seed, 6)
			for range 6000 {
				if w.random.IntN(60) == 0 {
					w.submit()
				}
				w.injectFault()
				w.step()
			}
			w.drainWithoutFaults()
			if w.starts == 0 {
				t.Fatal("no task was started")
			}
			for id, j := range w.jobs {
				if w.final[id] == "" {
					t.Errorf("job %s with %d steps has no final state", id, len(j.Steps))
				}
			}
		})
	}
}
