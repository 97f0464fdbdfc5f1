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

// step carries one moment of the world out.
func (w *world) step() {
	w.now = w.now.Add(worldStep)
	for _, f := range w.workers {
		if !f.down {
			w.tick(f)
		}
	}
	w.deliver()
	a := w.owner.Step(w.now)
	for _, advise := range a.Advises {
		w.advise(advise)
	}
	for _, l := range a.Looks {
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

// commit writes records some time later, unless another owner took over meanwhile.
func (w *world) commit(owner *shard.Owner, c *shard.Commit) {
	w.calls = append(w.calls, &call{at: w.now.Add(time.Duration(4+w.random.IntN(20)) * time.Millisecond), answer: func(bool) {
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

// disturb makes something go wrong now and then.
func (w *world) disturb() {
	f := w.workers[w.random.IntN(len(w.workers))]
	switch w.random.IntN(900) {
	case 0:
		w.takeOver()
	case 1, 2:
		f.cut = true
	case 3, 4, 5:
		f.cut = false
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

// calm ends all disturbances and lets the jobs finish.
func (w *world) calm() {
	w.faults, w.storeUp = false, true
	for _, f := range w.workers {
		f.cut = false
		if f.down {
			w.restart(f)
		}
	}
	w.register()
	for range 9000 {
		w.step()
	}
}

// Guards against a task that runs twice at once or again after its end, a worker over its capacity, and a job that is
// lost, over any sequence of lost and late calls, cuts, crashes, outages of the store and changes of owner.
func TestRandomLossesBreakAPromise(t *testing.T) {
	for i := range *seeds {
		seed := *firstSeed + uint64(i)
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			w := newWorld(t, seed, 6)
			for range 6000 {
				if w.random.IntN(60) == 0 {
					w.submit()
				}
				w.disturb()
				w.step()
			}
			w.calm()
			if w.starts == 0 {
				t.Fatal("nothing was started")
			}
			for id, j := range w.jobs {
				if w.final[id] == "" {
					t.Errorf("job %s with %d steps has no end", id, len(j.Steps))
				}
			}
		})
	}
}
