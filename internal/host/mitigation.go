package host

import (
	"cmp"
	"context"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/laburnumridge/laburnumridge/internal/explain"
	"github.com/laburnumridge/laburnumridge/internal/interference"
	"github.com/laburnumridge/laburnumridge/internal/ledger"
	"github.com/laburnumridge/laburnumridge/internal/note"
	"github.com/laburnumridge/laburnumridge/internal/placement"
	"github.com/laburnumridge/laburnumridge/internal/worker"
)

// throttledSpeed is the fraction of its speed that a throttled batch task keeps.
const throttledSpeed = 0.5

// mitigation is the interference that a shard's owner has learned of, and the steps taken against it.
type mitigation struct {
	evictions     map[string]pendingEviction
	lowestLatency map[string]time.Duration // lowest p99 seen, by service
	mitigator     *interference.Mitigator
	model         *interference.Model
	setsByWorker  map[string]interference.TaskSet
	// throttled is the batch work that is throttled, by worker.
	throttled map[string]string
}

// pendingEviction is an eviction step whose tasks have not all stopped.
type pendingEviction struct {
	seq   int64
	tasks []string
}

func newMitigation(b *interference.Budget) *mitigation {
	return &mitigation{
		evictions:     map[string]pendingEviction{},
		lowestLatency: map[string]time.Duration{},
		mitigator:     interference.NewMitigator(b),
		model:         interference.NewModel(),
		setsByWorker:  map[string]interference.TaskSet{},
		throttled:     map[string]string{},
	}
}

func (o *shardOwner) isClosedToBatch(worker string) bool {
	return o.mitigation.mitigator.Step(worker) >= interference.StepClosed
}

func (o *shardOwner) predictedSlowdown(w *placement.Worker, t *placement.Task) float64 {
	if t.IsLatencyCritical() {
		return o.mitigation.model.PredictService(w.ID, t.Work)
	}
	return o.mitigation.model.Predict(w.ID, t.Work)
}

// observeLatency learns from the latency samples of a report, which lag behind, and applies the steps that follow.
func (o *shardOwner) observeLatency(now time.Time, id string, r worker.Report) {
	h, _ := o.host.hosts.snapshot().Host(id)
	m := o.mitigation
	for _, s := range r.Latency {
		item, ok := o.item(s.Work)
		if !ok {
			continue
		}
		if lowest := m.lowestLatency[s.Work]; lowest == 0 || s.P99.Duration < lowest {
			m.lowestLatency[s.Work] = s.P99.Duration
		}
		// The load is estimated from the request rate and the service time without interference, so that a slowdown
		// does not look like load.
		load := s.Load * m.lowestLatency[s.Work].Seconds() / float64(max(h.Capacity.Slots, 1))
		d := m.mitigator.Decide(now, m.model.Observe(interference.Sample{
			Latency: s.P99.Duration, Load: min(load, 1), Service: s.Work, Taken: now.Add(-r.SentAt.Sub(s.TakenAt)),
			Target: item.Work.LatencyTarget.Duration, Window: s.Window.Duration, Worker: id,
		}))
		if d.Kind != interference.KindHold {
			o.applyStep(now, d)
		}
	}
}

// mitigate records which tasks run on each worker, confirms evictions that have taken effect and relaxes steps.
func (o *shardOwner) mitigate(now time.Time) {
	m := o.mitigation
	running := o.ledger.Running()
	sets := map[string]interference.TaskSet{}
	byTask := map[string]bool{}
	for _, r := range running {
		set := sets[r.Worker]
		if set.Batch == nil {
			set = interference.TaskSet{Batch: map[string]int{}, Throttled: m.throttled[r.Worker] != ""}
		}
		if r.Job.IsLatencyCritical() {
			set.Services = append(set.Services, r.Job.Work)
		} else {
			set.Batch[r.Job.Work]++
		}
		sets[r.Worker] = set
		byTask[r.Task] = true
	}
	for id, set := range sets {
		slices.Sort(set.Services)
		old := m.setsByWorker[id]
		if set.Throttled != old.Throttled || !slices.Equal(set.Services, old.Services) || !maps.Equal(set.Batch, old.Batch) {
			m.model.Record(id, now, set)
		}
	}
	m.setsByWorker = sets
	for id, e := range m.evictions {
		if !slices.ContainsFunc(e.tasks, func(task string) bool { return byTask[task] }) {
			m.mitigator.ConfirmStep(id, e.seq, now)
			delete(m.evictions, id)
		}
	}
	for _, d := range m.mitigator.UndoWithoutSamples(now) {
		o.applyStep(now, d)
	}
}

// applyStep carries out a mitigation step.
func (o *shardOwner) applyStep(now time.Time, d interference.Decision) {
	o.recordDecision(explain.Decision{
		Decision: "mitigate_" + string(d.Kind),
		Reason:   fmt.Sprintf("%s: %s is %.2f times slower, mostly by %s; step %s", d.Reason, d.Service, d.Slowdown, d.Work, d.Step),
		Work:     d.Service,
		Worker:   d.Worker,
	})
	m := o.mitigation
	switch {
	case d.Step == interference.StepEvict:
		o.evictCheapest(now, d)
		return
	case d.Step >= interference.StepThrottle && m.throttled[d.Worker] == "":
		m.throttled[d.Worker] = d.Work
		// Only the work that causes the slowdown is throttled; other work would lose half its speed to no effect.
		go o.throttle(d, o.batchTasksOf(d.Worker, d.Work), throttledSpeed)
		return
	case d.Step < interference.StepThrottle && m.throttled[d.Worker] != "":
		tasks := o.batchTasksOf(d.Worker, m.throttled[d.Worker])
		delete(m.throttled, d.Worker)
		go o.throttle(d, tasks, 1)
		return
	}
	m.mitigator.ConfirmStep(d.Worker, d.Seq, now)
}

// batchTasksOf lists the tasks of a batch work that run on a worker and are not being stopped.
func (o *shardOwner) batchTasksOf(worker, work string) []ledger.RunningTask {
	return slices.DeleteFunc(o.ledger.Running(), func(r ledger.RunningTask) bool {
		return r.Worker != worker || r.Job.Kind != note.KindBatch || r.Job.Work != work || r.Stopping
	})
}

// throttleStarted throttles a task that starts while its work is throttled on the worker.
func (o *shardOwner) throttleStarted(s ledger.Start) {
	if o.mitigation.throttled[s.Worker] != s.Job.Work {
		return
	}
	r := ledger.RunningTask{Attempt: s.Attempt, Job: s.Job, Task: s.Task, Worker: s.Worker}
	go o.throttle(interference.Decision{Worker: s.Worker}, []ledger.RunningTask{r}, throttledSpeed)
}

func (o *shardOwner) evictCheapest(now time.Time, d interference.Decision) {
	tasks := o.batchTasksOf(d.Worker, d.Work)
	slices.SortFunc(tasks, func(a, b ledger.RunningTask) int {
		return cmp.Compare(o.lostIfEvicted(now, a), o.lostIfEvicted(now, b))
	})
	e := pendingEviction{seq: d.Seq}
	for _, r := range tasks[:min(d.Tasks, len(tasks))] {
		o.evict(now, r.Task, fmt.Sprintf("slows %s down %.2f times", d.Service, d.Slowdown))
		e.tasks = append(e.tasks, r.Task)
	}
	o.mitigation.evictions[d.Worker] = e
}

// throttle sets the speed of tasks. The step takes effect once all calls have returned.
func (o *shardOwner) throttle(d interference.Decision, tasks []ledger.RunningTask, fraction float64) {
	ctx, cancel := context.WithTimeout(o.host.ownerContext(), queryTimeout)
	defer cancel()
	address, ok := o.workerAddress(d.Worker)
	if !ok {
		return
	}
	for _, r := range tasks {
		_, err := o.host.workers.Throttle(ctx, address, worker.ThrottleRequest{
			AttemptRef: worker.AttemptRef{Attempt: int64(r.Attempt), Task: r.Task}, Epoch: o.epoch, Fraction: fraction,
		})
		if err != nil {
			o.log.WithError(err).WithField("task", r.Task).Debug("request to set the speed of a task failed; it is not sent again")
		}
	}
	if d.Seq != 0 {
		o.post(func(now time.Time) { o.mitigation.mitigator.ConfirmStep(d.Worker, d.Seq, now) })
	}
}
