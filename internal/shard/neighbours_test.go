package shard_test

import (
	"bytes"
	"math"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/laburnumridge/laburnumridge/internal/fleet"
	"github.com/laburnumridge/laburnumridge/internal/interference"
	"github.com/laburnumridge/laburnumridge/internal/shard"
	"github.com/laburnumridge/laburnumridge/internal/workflow"
)

// Model of the neighbours: a pace takes paceDelay, measurements cover measuredTime, and answers arrive answerDelay late.
const (
	paceDelay    = 100 * time.Millisecond
	measuredTime = 500 * time.Millisecond
	answerDelay  = 20 * time.Millisecond
	latencyAim   = 18 * time.Millisecond
	servingJob   = "0000000000000001"
	fillingJob   = "0000000000000002"
)

// neighbourHarness drives an owner and workers on which best-effort tasks slow down serving tasks as in the pressure model.
type neighbourHarness struct {
	*simulation
	// load is the own load of the serving tasks, and weight the weight of the pair of images.
	load   func(time.Duration) float64
	weight float64
	began  time.Time
	// running holds the runs, paces their paces in percent, and history the utilization of each worker in each step.
	running []shard.Start
	paces   map[string]int
	history map[string][]float64
	// silent is a worker that does not answer polls.
	silent string
	polls  []shard.Poll
	// over is the serving time above the target, work the best-effort time in full runs, and states the time by state.
	over, work time.Duration
	states     map[interference.State]time.Duration
	logged     bytes.Buffer
}

// newNeighbourHarness returns a harness with a serving task on each worker, which has run for 5 s.
func newNeighbourHarness(t *testing.T, workers int, load, weight float64) *neighbourHarness {
	n := &neighbourHarness{
		simulation: newSimulation(t, 1, workers), load: func(time.Duration) float64 { return load }, weight: weight,
		paces: map[string]int{}, history: map[string][]float64{}, states: map[interference.State]time.Duration{},
	}
	n.began = n.now
	n.newOwner(nil)
	n.add(servingJob, workflow.Step{
		Count: workers, PerWorker: 1, Resources: fleet.Resources{CPUMilli: 1000, MemoryMiB: 10}, LongRunning: true, TailTarget: latencyAim,
		Image: "s",
	})
	n.run(5 * time.Second)
	assert.Equal(t, len(n.running), workers)
	return n
}

// newOwner replaces the owner; change, if not nil, changes its timing.
func (n *neighbourHarness) newOwner(change func(*shard.Timing)) {
	timing := shard.DefaultTiming()
	if change != nil {
		change(&timing)
	}
	n.replaceOwner()
	n.log.SetOutput(&n.logged)
	shard.WithTiming(timing)(n.owner)
	shard.WithInterferenceObserver(func(s interference.State, d time.Duration) { n.states[s] += d })(n.owner)
}

func (n *neighbourHarness) add(id string, step workflow.Step) {
	j := workflow.Job{ID: id, Queue: "q", AcceptedAt: n.now.UnixMilli(), Steps: []workflow.Step{step}}
	n.jobs[id], n.ids = j, append(n.ids, id)
	n.owner.Add(n.now, j)
}

// addFilling adds a job of best-effort tasks that use a fraction of a worker's CPU each.
func (n *neighbourHarness) addFilling(count int, use float64) {
	n.add(fillingJob, workflow.Step{
		Count: count, Resources: fleet.Resources{CPUMilli: int64(8000 * use), MemoryMiB: 10}, BestEffort: true, Image: "f",
	})
}

func (n *neighbourHarness) runsOf(job string) int {
	return len(slices.DeleteFunc(slices.Clone(n.running), func(s shard.Start) bool { return s.Job != job }))
}

func (n *neighbourHarness) use(s shard.Start) float64 {
	return float64(n.jobs[s.Job].Steps[0].Resources.CPUMilli) / 8000 * float64(n.paces[s.Key.Name(s.Job)]) / 100
}

// utilization returns the present utilization of a worker as its serving task sees it.
func (n *neighbourHarness) utilization(worker string) float64 {
	u := n.load(n.now.Sub(n.began))
	for _, s := range n.running {
		if s.Worker == worker && s.Job == fillingJob {
			u += n.weight * n.use(s)
		}
	}
	return min(u, 0.98)
}

// tail returns the measured ratio of a tail latency to its target on a worker.
func (n *neighbourHarness) tail(worker string) float64 {
	window := n.history[worker]
	window = window[max(0, len(window)-int(measuredTime/simulationStep)):]
	sum := 0.0
	for _, u := range window {
		sum += u
	}
	return 0.222 / (1 - sum/float64(max(len(window), 1)))
}

func (n *neighbourHarness) run(d time.Duration) {
	for end := n.now.Add(d); n.now.Before(end); {
		n.step()
	}
}

func (n *neighbourHarness) step() {
	n.now = n.now.Add(simulationStep)
	for _, f := range n.workers {
		n.history[f.ID] = append(n.history[f.ID], n.utilization(f.ID))
		if n.tail(f.ID) > 1 {
			n.over += simulationStep
		}
	}
	n.deliver()
	a := n.owner.Step(n.now)
	if a.Commit != nil {
		n.storeWrites(a.Commit)
		n.owner.Committed(n.now, a.Commit)
	}
	for _, s := range a.Starts {
		n.running, n.paces[s.Key.Name(s.Job)] = append(n.running, s), 100
		n.renew(n.worker(s.Worker), s.Until)
		n.owner.Started(n.now, s, shard.Reply{Outcome: shard.OutcomeDone, Clock: n.clock(n.worker(s.Worker))})
	}
	for _, s := range a.Stops {
		n.owner.Stopped(n.now, s, shard.Reply{Outcome: shard.OutcomeDone})
	}
	for _, p := range a.Paces {
		n.after(paceDelay, func() { n.paces[p.Key.Name(p.Job)] = p.Percent })
		n.owner.Paced(n.now, p, shard.Reply{Outcome: shard.OutcomeDone})
	}
	for _, s := range n.running {
		if s.Job == fillingJob {
			n.work += simulationStep * time.Duration(n.paces[s.Key.Name(s.Job)]) / 100
		}
	}
	for _, p := range a.Polls {
		n.poll(p)
	}
}

func (n *neighbourHarness) after(d time.Duration, f func()) {
	n.calls = append(n.calls, &call{deliverAt: n.now.Add(d), onTimer: func(bool) { f() }})
}

// poll answers a poll when its wait is over.
func (n *neighbourHarness) poll(p shard.Poll) {
	n.polls = append(n.polls, p)
	owner, sent := n.owner, n.now
	if p.Worker == n.silent {
		n.after(900*time.Millisecond, func() { owner.PollFailed(n.now, p, shard.OutcomeUnknown) })
		return
	}
	f := n.worker(p.Worker)
	n.renew(f, p.Until)
	n.after(p.Wait+answerDelay, func() {
		list := shard.Listing{Born: f.incarnation, Clock: n.clock(f)}
		for _, s := range n.running {
			row := shard.RunningRow{Job: s.Job, Key: s.Key, Run: s.Run, Percent: n.paces[s.Key.Name(s.Job)], Measurement: 8000 * n.use(s)}
			if s.Job == servingJob {
				row.Measurement = n.tail(s.Worker) * float64(latencyAim.Milliseconds())
			}
			if s.Worker == p.Worker {
				list.Running = append(list.Running, row)
			}
		}
		owner.Polled(n.now, p, sent, list)
	})
}

func known(mean float64) []interference.PairWeight {
	return []interference.PairWeight{{BestEffort: "f", Serving: "s", Mean: mean, Variance: 0.01}}
}

// Load: serving tasks whose load swings by half in ten seconds beside tasks that they only bear at a low pace. Guards against reports
// that arrive after the target has been exceeded: the same owner with reports every 0.7 s is the standard of comparison.
func TestPacesFollowSwingOfServingLoad(t *testing.T) {
	play := func(change func(*shard.Timing)) *neighbourHarness {
		n := newNeighbourHarness(t, 1, 0.42, 2.8)
		n.newOwner(change)
		n.owner.AdoptWeights(n.now, known(2.8))
		n.load = func(d time.Duration) float64 { return 0.42 + 0.21*math.Sin(2*math.Pi*d.Seconds()/10) }
		n.addFilling(2, 0.08)
		n.run(2 * time.Minute)
		return n
	}
	late := play(func(timing *shard.Timing) {
		timing.MinMixedPollWait, timing.OverTargetPollWait = timing.MixedPollWait, timing.MixedPollWait
	})
	soon := play(nil)
	t.Logf("reports every 0.7 s: %s over target, %s of work, %d polls; closer ones: %s, %s, %d polls; %v", late.over, late.work,
		len(late.polls), soon.over, soon.work, len(soon.polls), soon.states)
	assert.Assert(t, soon.over < late.over*7/10, "%s over target, %s with late reports", soon.over, late.over)
	assert.Assert(t, soon.work > late.work*9/10, "%s of work, %s with late reports", soon.work, late.work)
}

// Load: a step of an image that no owner has seen beside serving tasks, some of whose targets a harmful image would exceed. Guards
// against a harmful image that disturbs all workers before the first report, and against a harmless one that is kept waiting.
func TestNewPairIsTriedOnFewWorkers(t *testing.T) {
	for _, weight := range []float64{0.1, 3} {
		n := newNeighbourHarness(t, 6, 0.42, weight)
		n.addFilling(12, 0.12)
		n.run(200 * time.Millisecond)
		assert.Equal(t, n.runsOf(fillingJob), interference.MaxTrials, "weight %g", weight)
		n.run(5 * time.Second)
		if weight < 1 {
			assert.Equal(t, n.runsOf(fillingJob), 12, "a harmless image")
		} else {
			assert.Equal(t, n.runsOf(fillingJob), interference.MaxTrials, "a harmful image")
		}
	}
}

// Load: a task of an image that no owner has seen beside workers with one and two serving tasks. Guards against a trial that puts more
// tasks at risk than needed. The tasks are placed by ID among equals, so each of the workers has two once.
func TestNewPairIsTriedWhereLeastIsAtStake(t *testing.T) {
	for _, label := range []string{"a", "b"} {
		n := newNeighbourHarness(t, 2, 0.42, 3)
		for _, f := range n.workers {
			f.Labels = append(f.Labels, "only-"+f.ID[:1])
		}
		n.register()
		n.add("0000000000000003", workflow.Step{
			Count: 1, Label: "only-" + label, Resources: fleet.Resources{CPUMilli: 1000, MemoryMiB: 10}, LongRunning: true,
			TailTarget: latencyAim, Image: "s",
		})
		n.run(time.Second)
		n.addFilling(1, 0.12)
		n.run(200 * time.Millisecond)
		last := n.running[len(n.running)-1]
		assert.Assert(t, last.Job == fillingJob && last.Worker[:1] != label, "%s on %s", last.Job, last.Worker)
	}
}

// Failure: the owner is replaced when it has learned that a pair is harmful. Guards against a successor that tries the pair again,
// and, without what the predecessor recorded, against one that starts more than the trials.
func TestSuccessorKnowsHarmfulPair(t *testing.T) {
	for _, isRestored := range []bool{true, false} {
		n := newNeighbourHarness(t, 6, 0.42, 3)
		n.newOwner(nil)
		if isRestored {
			// Of a variance above this one, twice the variance is above that of a known pair.
			n.owner.RestoreWeights(n.now, []interference.PairWeight{{BestEffort: "f", Serving: "s", Mean: 3, Variance: 0.2}})
		}
		n.run(2 * time.Second)
		n.over = 0
		n.addFilling(12, 0.12)
		n.run(1200 * time.Millisecond) // after 1.5 s a task starts anywhere if the fleet is mostly idle
		started := 0
		if !isRestored {
			started = interference.MaxTrials
		}
		assert.Equal(t, n.runsOf(fillingJob), started, "weights restored: %t", isRestored)
		assert.Check(t, n.over <= time.Duration(started)*1500*time.Millisecond, "%s over target", n.over)
	}
}

// Load: a task of an image that is known to be harmful, which after its wait takes a worker that does not suit it. Guards against a task
// that runs there at full pace until the first report.
func TestTaskOnUnsuitableWorkerStartsAtPaceThatIsBorne(t *testing.T) {
	n := newNeighbourHarness(t, 1, 0.6, 3)
	n.owner.AdoptWeights(n.now, known(3))
	n.addFilling(1, 0.12)
	for range 300 {
		if n.runsOf(fillingJob) > 0 {
			break
		}
		n.step()
	}
	assert.Equal(t, n.runsOf(fillingJob), 1)
	polls := len(n.polls)
	n.run(paceDelay + 2*simulationStep)
	pace := n.paces[n.running[len(n.running)-1].Key.Name(fillingJob)]
	assert.Assert(t, pace >= 12 && pace <= 60, "pace %d after %d reports", pace, len(n.polls)-polls)
}

// Failure: a worker with a task above its target stops answering polls. Guards against an owner that polls it as closely as if the
// report were new, and against serving tasks that stay above their target after it answers again.
func TestSilentWorkerIsNotPolledMoreClosely(t *testing.T) {
	n := newNeighbourHarness(t, 1, 0.42, 3)
	n.addFilling(2, 0.12)
	n.run(time.Second)
	assert.Assert(t, n.over > 0)
	n.silent = n.workers[0].ID
	n.polls = nil
	n.run(4 * time.Second)
	assert.Check(t, len(n.polls) <= 5, "%d polls of a silent worker in 4 s", len(n.polls))
	for _, p := range n.polls[1:] {
		assert.Check(t, p.Wait >= shard.DefaultTiming().OverTargetPollWait, "wait %s", p.Wait)
	}
	n.silent = ""
	n.run(3 * time.Second)
	n.over = 0
	n.run(3 * time.Second)
	assert.Check(t, n.over < 300*time.Millisecond, "%s over target after the worker answers again", n.over)
}

// Load: serving tasks with slack, alone and beside harmless tasks. Guards against polls that cost an owner processor time although no
// target is at stake, and against log lines then.
func TestPollsAreBoundedWithoutStake(t *testing.T) {
	n := newNeighbourHarness(t, 4, 0.42, 0.05)
	n.polls = nil
	n.run(6 * time.Second)
	assert.Check(t, len(n.polls) <= 4*5, "%d polls of workers that mix nothing", len(n.polls))
	n.owner.AdoptWeights(n.now, known(0.05))
	n.addFilling(4, 0.12)
	n.run(2 * time.Second)
	n.polls = nil
	n.run(7 * time.Second)
	assert.Check(t, len(n.polls) <= 4*11, "%d polls of workers with slack", len(n.polls))
	assert.Equal(t, strings.Count(n.logged.String(), "decision=interference"), 0)
}

// Load: a harmful image that counts as harmless beside serving tasks on 30 workers. Guards against log lines without the inputs of the
// decision, and against seconds that are counted
// several times or not at all.
func TestInterferenceIsLoggedAndCounted(t *testing.T) {
	n := newNeighbourHarness(t, 30, 0.6, 3)
	n.run(5 * time.Second)
	n.owner.AdoptWeights(n.now, known(0.1))
	n.addFilling(60, 0.12)
	n.run(3 * time.Second)
	for _, field := range []string{"worker=", "serving=s", "tail=", "load=", "slope=", "allowed=", "pressure=", "f weight=", "variance=", "use=", "pace=", "state="} {
		assert.Check(t, strings.Contains(n.logged.String(), field), "no %s", field)
	}
	observed := time.Duration(0)
	for _, d := range n.states {
		observed += d
	}
	assert.Check(t, observed > n.over*2/3 && observed < n.over*4/3, "%s observed of %s over target", observed, n.over)
}
