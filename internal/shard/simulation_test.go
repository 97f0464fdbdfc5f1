package shard_test

import (
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/laburnumridge/laburnumridge/internal/fleet"
	"github.com/laburnumridge/laburnumridge/internal/shard"
	"github.com/laburnumridge/laburnumridge/internal/workflow"
)

// maxLease is the longest lease that the simulated workers grant.
const maxLease = 10 * time.Second

// ticketValid is the validity period of a placement advice ticket.
const ticketValid = 2 * time.Second

// simulationStep is the resolution of the virtual time.
const simulationStep = 10 * time.Millisecond

type runKey struct {
	job string
	key workflow.TaskKey
	run int
}

type fakeRun struct {
	runKey
	endsAt time.Time
	cause  shard.EndCause
	demand fleet.Resources
}

// fakeWorker implements the workers' side of the protocol: leases on the worker's own clock, tokens, run numbers and a
// list of ends.
type fakeWorker struct {
	shard.Worker
	incarnation int64
	partitioned bool
	down        bool
	ends        []shard.EndRow
	// lapsedThrough is the number of the newest end when the lease last expired.
	lapsedThrough int64
	endCount      int64
	highestEnded  map[string]int // the highest run of a task that was stopped or has ended
	runs          []*fakeRun
	started       time.Time
	token         int64
	leaseEnd      int64
}

// call is a message in flight to a worker. Late calls are executed although their sender has given up on them.
type call struct {
	deliverAt time.Time
	lost      bool
	answer    func(bool)
	sent      time.Time
	worker    string
	execute   func(w *fakeWorker) func()
}

// simulation runs owners against fake workers in virtual time, and checks the guarantees that callers are given.
type simulation struct {
	t       *testing.T
	random  *rand.Rand
	now     time.Time
	owner   *shard.Owner
	epoch   int64
	workers []*fakeWorker
	calls   []*call
	config  workflow.Config
	jobs    map[string]workflow.Job
	// ids holds the job IDs in the order of submission.
	ids []string
	// recorded is the simulated contents of the store.
	recorded  map[string]workflow.Progress
	final     map[string]workflow.State
	cancelled map[string]bool
	// done holds the tasks whose completion was acknowledged.
	done          map[string]bool
	failures      map[string]int
	faultsEnabled bool
	storeUp       bool
	starts        int
	// history holds the events of each task, which are printed if a guarantee is violated.
	history map[string][]string
}

func (w *simulation) record(task, format string, args ...any) {
	at := w.now.Sub(time.Unix(1_000_000, 0))
	w.history[task] = append(w.history[task], fmt.Sprintf("%8s ", at)+fmt.Sprintf(format, args...))
}

func (w *simulation) fail(task, format string, args ...any) {
	w.t.Helper()
	w.t.Fatalf("%s: %s\n%s", task, fmt.Sprintf(format, args...), strings.Join(w.history[task], "\n"))
}

func newSimulation(t *testing.T, seed uint64, workers int) *simulation {
	w := &simulation{
		t: t, random: rand.New(rand.NewPCG(seed, 7)), now: time.Unix(1_000_000, 0), epoch: 1, storeUp: true, faultsEnabled: true,
		jobs: map[string]workflow.Job{}, recorded: map[string]workflow.Progress{}, final: map[string]workflow.State{},
		cancelled: map[string]bool{}, done: map[string]bool{}, failures: map[string]int{},
		history: map[string][]string{},
	}
	w.config = workflow.NewConfig(1, []workflow.Queue{{
		Name: "q", Service: "s", Host: "h", Prefix: "/", MaxAttempts: 3, Stretch: 2, TargetLatency: time.Second,
	}, {
		Name: "advised", Service: "s", Host: "h", Prefix: "/a", MaxAttempts: 3, Advice: &workflow.Advice{Valid: ticketValid},
	}}, nil, workflow.Limits{})
	for i := range workers {
		f := &fakeWorker{Worker: shard.Worker{
			ID: fmt.Sprintf("%c%d", 'a'+i%6, i), Address: "x", Service: "s", Zone: "z", Rack: "r", Labels: []string{"a", "r"},
			Capacity: fleet.Resources{CPUMilli: 8000, MemoryMiB: 8000},
		}}
		w.restart(f)
		w.workers = append(w.workers, f)
	}
	w.replaceOwner()
	return w
}

func (w *simulation) restart(f *fakeWorker) {
	f.incarnation = w.now.UnixMilli()
	f.Born, f.down, f.ends, f.lapsedThrough, f.endCount, f.runs = f.incarnation, false, nil, 0, 0, nil
	f.highestEnded, f.started, f.token, f.leaseEnd = map[string]int{}, w.now, 0, 0
}

func (w *simulation) replaceOwner() {
	w.epoch++
	for task := range w.history {
		w.record(task, "another owner took over")
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	timing := shard.DefaultTiming()
	timing.MaxWorkerLease = maxLease
	w.owner = shard.NewOwner(w.epoch, w.now, shard.WithTiming(timing), shard.WithLog(logrus.NewEntry(log)),
		shard.WithWallClock(func() time.Time { return w.now }))
	w.owner.SetConfig(w.config)
	for _, id := range w.ids {
		if w.final[id] == "" {
			w.owner.Restore(w.now, w.jobs[id], w.recorded[id], w.cancelled[id])
		}
	}
	w.register()
}

func (w *simulation) register() {
	var list []shard.Worker
	for _, f := range w.workers {
		if !f.down {
			list = append(list, f.Worker)
		}
	}
	w.owner.SetWorkers(w.now, list)
}

func (w *simulation) worker(id string) *fakeWorker {
	for _, f := range w.workers {
		if f.ID == id {
			return f
		}
	}
	return nil
}

// clock returns the worker's own time in milliseconds. The clocks of half of the workers are 2% slow.
func (w *simulation) clock(f *fakeWorker) int64 {
	ms := w.now.Sub(f.started).Milliseconds()
	if f.ID[0]%2 == 0 {
		ms = ms * 98 / 100
	}
	return ms
}

// submit accepts a randomly generated job.
func (w *simulation) submit() {
	id := []byte("0000000000000000")
	for i := range id {
		id[i] = "0123456789abcdef"[w.random.IntN(16)]
	}
	j := workflow.Job{ID: string(id), Queue: "q", AcceptedAt: w.now.UnixMilli()}
	for s := range 1 + w.random.IntN(3) {
		step := workflow.Step{
			Count: 1 + w.random.IntN(6), Estimate: time.Second,
			Resources: fleet.Resources{CPUMilli: int64(500 + w.random.IntN(3000)), MemoryMiB: int64(100 + w.random.IntN(2000))},
			PerWorker: w.random.IntN(3), BestEffort: w.random.IntN(4) == 0, Image: "i",
		}
		if s > 0 && w.random.IntN(3) > 0 {
			step.After = []int{w.random.IntN(s)}
		}
		j.Steps = append(j.Steps, step)
	}
	if w.random.IntN(5) == 0 {
		j.Queue = "advised"
	}
	w.jobs[j.ID] = j
	w.ids = append(w.ids, j.ID)
	w.owner.Add(w.now, j)
}

// sendCall puts a call in flight. If faults are enabled, its answer may be lost, or the call may be executed late and
// without an answer.
func (w *simulation) sendCall(worker string, execute func(*fakeWorker) func(), answer func(bool)) {
	c := &call{sent: w.now, deliverAt: w.now.Add(time.Duration(1+w.random.IntN(40)) * time.Millisecond), worker: worker, execute: execute, answer: answer}
	if w.faultsEnabled {
		switch p := w.random.Float64(); {
		case p < 0.03: // executed late
			c.lost = true
			c.deliverAt = w.now.Add(time.Duration(2000+w.random.IntN(10000)) * time.Millisecond)
			w.calls = append(w.calls, &call{deliverAt: w.now.Add(time.Second), answer: answer})
		case p < 0.05: // the answer is lost
			c.lost = true
			w.calls = append(w.calls, &call{deliverAt: w.now.Add(time.Second), answer: answer})
		}
	}
	w.calls = append(w.calls, c)
}

func (w *simulation) deliver() {
	var due []*call
	w.calls = slices.DeleteFunc(w.calls, func(c *call) bool {
		if c.deliverAt.After(w.now) {
			return false
		}
		due = append(due, c)
		return true
	})
	for _, c := range due {
		if c.execute == nil {
			c.answer(false)
			continue
		}
		f := w.worker(c.worker)
		// A crash breaks the worker's connections, and calls that it has not executed yet are lost.
		if f.down || f.partitioned || c.sent.Before(f.started) {
			if !c.lost {
				w.calls = append(w.calls, &call{deliverAt: w.now.Add(time.Second), answer: c.answer})
			}
			continue
		}
		reply := c.execute(f)
		if !c.lost {
			reply()
		}
	}
}
