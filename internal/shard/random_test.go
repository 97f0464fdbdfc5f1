package shard_test

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/laburnumridge/laburnumridge/internal/knownred"
	"github.com/laburnumridge/laburnumridge/internal/shard"
	"github.com/laburnumridge/laburnumridge/internal/workflow"
)

var (
	seeds     = flag.Int("seeds", 50, "number of random runs")
	firstSeed = flag.Uint64("first-seed", 1, "seed of the first random run")
	// restartRate is how often both faults of simulationfaults_test.go occur that let a worker restart while its owner changes.
	restartRate = flag.Int("restart-rate", 1, "how often workers restart while owners change, against the default")
)

// step advances the simulation by simulationStep.
func (sim *simulation) step() {
	sim.now = sim.now.Add(simulationStep)
	for _, f := range sim.workers {
		if !f.down {
			sim.endDueRuns(f)
		}
	}
	sim.deliver()
	a := sim.owner.Step(sim.now)
	for _, advise := range a.AdviceRequests {
		sim.advise(advise)
	}
	for _, p := range a.Polls {
		sim.poll(p)
	}
	for _, s := range a.Stops {
		sim.stop(s)
	}
	for _, s := range a.Starts {
		sim.start(s)
	}
	if a.Commit != nil {
		sim.commit(sim.owner, a.Commit)
	}
	if sim.faultsEnabled && sim.writesMarks && sim.storeRandom.IntN(50) == 0 {
		sim.storeMark()
	}
}

// commit writes the records after a delay, unless another owner has taken over by then. While the store is down, it is
// tried again.
func (sim *simulation) commit(owner *shard.Owner, c *shard.Commit) {
	sim.pendingCommit = c
	sim.calls = append(sim.calls, &call{deliverAt: sim.now.Add(time.Duration(4+sim.random.IntN(20)) * time.Millisecond), onTimer: func(bool) {
		switch {
		case owner != sim.owner:
			return
		case !sim.storeUp:
			sim.commit(owner, c)
			return
		}
		sim.pendingCommit = nil
		sim.storeWrites(c)
		owner.Committed(sim.now, c)
	}})
}

// storeMark writes the mark of the shard after a delay, unless the owner changes before.
func (sim *simulation) storeMark() {
	epoch, mark := sim.epoch, sim.owner.AnsweredMark()
	mark.Epoch, mark.Through = sim.epoch, sim.writes
	sim.calls = append(sim.calls, &call{deliverAt: sim.now.Add(time.Duration(4+sim.storeRandom.IntN(1000)) * time.Millisecond), onTimer: func(bool) {
		if sim.epoch == epoch && sim.storeUp {
			sim.mark = mark
		}
	}})
}

// recorded returns the progress of a job as an owner reads it: with the answers that the mark of the owner before it adds.
func (sim *simulation) recorded(job string) workflow.Progress {
	p := sim.storedProgress[job]
	if sim.mark.Epoch == sim.epoch-1 && sim.mark.Covers(job, sim.storedAt[job]) {
		return p.WithAnswers(job, sim.mark)
	}
	return p
}

// storeWrites puts the records of a commit into the store.
func (sim *simulation) storeWrites(c *shard.Commit) {
	for _, write := range c.Writes {
		if write.Final != "" {
			sim.final[write.Job] = write.Final
			continue
		}
		p, err := workflow.Decode[workflow.Progress](write.Progress)
		if err != nil {
			sim.t.Fatal(err)
		}
		sim.writes++
		sim.storedProgress[write.Job], sim.storedAt[write.Job] = p, sim.writes
	}
}

// injectFault randomly injects a fault, clears one, or cancels a job.
func (sim *simulation) injectFault() {
	f := sim.workers[sim.random.IntN(len(sim.workers))]
	switch sim.random.IntN(900) {
	case 0:
		sim.replaceOwner()
	case 1, 2:
		f.partitioned = true
	case 3, 4, 5:
		f.partitioned = false
	case 6:
		sim.crash(f)
	case 7, 8:
		if f.down {
			sim.restartUnread(f)
		}
	case 9:
		sim.storeUp = false
	case 10, 11, 12:
		sim.storeUp = true
	case 13:
		for _, id := range sim.ids {
			if sim.final[id] == "" && sim.random.IntN(4) == 0 {
				sim.cancelled[id] = true
				sim.owner.Cancel(sim.now, id)
				break
			}
		}
	case 14, 15:
		sim.register()
	case 16:
		sim.handOver()
	case 17:
		sim.clockError = time.Duration(sim.random.IntN(10_000)-5000) * time.Millisecond
	case 18:
		f.responsesCut = true
	case 19, 20, 21:
		f.responsesCut = false
	}
	switch n := sim.random.IntN(900); {
	case n < *restartRate:
		sim.restartWithoutResponses(f)
	case n < 2**restartRate:
		sim.restartAfterLateCalls(f)
	}
}

// drainWithoutFaults clears all faults and lets the jobs finish.
func (sim *simulation) drainWithoutFaults() {
	sim.faultsEnabled, sim.storeUp, sim.clockError = false, true, 0
	for _, f := range sim.workers {
		f.partitioned, f.responsesCut, f.lateShare, f.readAt = false, false, 0, time.Time{}
		if f.down {
			sim.restart(f)
		}
	}
	sim.register()
	for range 9000 {
		sim.step()
	}
}

// Guards against tasks that run twice at the same time or again after their recorded end, workers loaded beyond their
// capacity, and lost jobs. Random sequences of lost and late calls, network partitions, also of one direction, crashes, restarts that the
// registry learns of late, store outages and owner changes are simulated, and steps of the clock by which recurring jobs are due.
func TestGuaranteesHoldUnderRandomFaults(t *testing.T) {
	for i := range *seeds {
		seed := *firstSeed + uint64(i)
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			knownred.Skip(t)
			sim := newSimulation(t, seed, 6)
			sim.writesMarks = true
			for range 6000 {
				if sim.random.IntN(60) == 0 {
					sim.submit()
				}
				sim.injectFault()
				sim.step()
			}
			sim.drainWithoutFaults()
			if sim.starts == 0 {
				t.Fatal("no task was started")
			}
			for id, j := range sim.jobs {
				switch sim.final[id] {
				case "":
					t.Errorf("job %s with %d steps has no final state", id, len(j.Steps))
				case workflow.StateFailed:
					sim.checkFailed(id)
				}
			}
		})
	}
}
