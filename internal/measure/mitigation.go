package measure

import (
	"cmp"
	"slices"
	"time"

	"github.com/laburnumridge/laburnumridge/internal/interference"
	"github.com/laburnumridge/laburnumridge/internal/placement"
)

const (
	// reportInterval is the heartbeat interval of a worker. A heartbeat carries the latencies since the previous one.
	reportInterval = 2 * time.Second
	// reportLag is the delay with which a latency sample reaches the shard owner.
	reportLag = 4 * time.Second
	// throttleDelay is the time until a throttle takes effect on the worker.
	throttleDelay = 50 * time.Millisecond
	// slowSampleRatio is the slowdown, relative to the lowest p99 seen, at which the evict_on_slow baseline evicts.
	slowSampleRatio = 1.5
)

// mitigationDriver passes the workers' reports to the real interference model and mitigator, and carries out the
// mitigation steps that they decide on, as the shard owner does.
type mitigationDriver struct {
	fastestP99 map[string]time.Duration // lowest p99 reported so far, by service
	mitigator  *interference.Mitigator
	model      *interference.Model
	owner      *shardOwner
}

func newMitigationDriver(o *shardOwner) *mitigationDriver {
	return &mitigationDriver{
		fastestP99: map[string]time.Duration{}, mitigator: interference.NewMitigator(o.budget),
		model: interference.NewModel(interference.WithPolicy(o.sim.variant.interference)), owner: o,
	}
}

func (m *mitigationDriver) start() {
	sim := m.owner.sim
	for _, w := range sim.workers {
		m.recordRunningSet(w)
	}
	sim.every(reportInterval, func() {
		for _, w := range sim.workers {
			m.reportLatencies(w)
		}
		for _, d := range m.mitigator.UndoWithoutSamples(sim.now) {
			m.apply(d)
		}
	})
}

func (m *mitigationDriver) isClosedToBatch(worker string) bool {
	return m.mitigator.Step(worker) >= interference.StepClosed
}

func (m *mitigationDriver) predictedSlowdown(w *placement.Worker, t *placement.Task) float64 {
	if t.IsLatencyCritical() {
		return m.model.PredictService(w.ID, t.Work)
	}
	return m.model.Predict(w.ID, t.Work)
}

// recordRunningSet tells the model which services and batch tasks run on a worker from now on.
func (m *mitigationDriver) recordRunningSet(w *simWorker) {
	set := interference.TaskSet{Batch: map[string]int{}, Services: slices.Sorted(slices.Values(w.replicaNames)), Throttled: w.throttledWork != ""}
	for _, t := range w.running {
		set.Batch[t.Work]++
	}
	m.model.Record(w.ID, m.owner.sim.now, set)
}

// reportLatencies sends the p99 of each service since the previous report. It takes effect after reportLag.
func (m *mitigationDriver) reportLatencies(w *simWorker) {
	sim := m.owner.sim
	for _, s := range sim.services {
		latencies := w.latencies[s.Name]
		if len(latencies) == 0 {
			continue
		}
		w.latencies[s.Name] = nil
		slices.Sort(latencies)
		p99 := latencies[len(latencies)*99/100]
		taken, rate := sim.now, float64(len(latencies))/reportInterval.Seconds()
		sim.after(reportLag, func() {
			if f := m.fastestP99[s.Name]; f == 0 || p99 < f {
				m.fastestP99[s.Name] = p99
			}
			load := rate * m.fastestP99[s.Name].Seconds() / float64(w.Capacity.Slots)
			sample := interference.Sample{
				Latency: p99, Load: min(load, 1), Service: s.Name, Taken: taken, Target: s.LatencyTarget.Duration,
				Window: reportInterval, Worker: w.ID,
			}
			if sim.variant.trial == evictOnSlow {
				m.evictOnSlowSample(w, sample)
				return
			}
			if d := m.mitigator.Decide(sim.now, m.model.Observe(sample)); d.Kind != interference.KindHold {
				m.apply(d)
			}
		})
	}
}

// apply carries out a mitigation step and confirms it to the mitigator once it has taken effect.
func (m *mitigationDriver) apply(d interference.Decision) {
	sim := m.owner.sim
	w := sim.workerByID[d.Worker]
	confirm := func() { m.mitigator.ConfirmStep(d.Worker, d.Seq, sim.now) }
	if d.Step == interference.StepEvict {
		if !m.evictTasksOf(w, d.Work, d.Tasks, confirm) {
			confirm()
		}
		return
	}
	if on := d.Step >= interference.StepThrottle; on != (w.throttledWork != "") {
		sim.after(throttleDelay, func() {
			if w.throttledWork = ""; on {
				w.throttledWork = d.Work
			}
			m.recordRunningSet(w)
			confirm()
		})
		return
	}
	confirm()
}

// evictTasksOf evicts up to n tasks of a batch work, those that lose least progress first, and calls onStopped when the
// last of them has stopped. It returns false if there is none.
func (m *mitigationDriver) evictTasksOf(w *simWorker, work string, n int, onStopped func()) bool {
	var found []*task
	for _, t := range w.running {
		if t.Work == work && !t.stopping {
			found = append(found, t)
		}
	}
	slices.SortFunc(found, func(x, y *task) int {
		return cmp.Or(cmp.Compare(m.owner.lostProgress(x), m.owner.lostProgress(y)), cmp.Compare(x.ID, y.ID))
	})
	found = found[:min(n, len(found))]
	for i, t := range found {
		if i == len(found)-1 {
			m.owner.evict(t, onStopped)
			break
		}
		m.owner.evict(t, nil)
	}
	return len(found) > 0
}

// evictOnSlowSample implements the evict_on_slow baseline, which has no model and no eviction budget: each slow sample
// evicts one task of the batch work with the most tasks on the worker.
func (m *mitigationDriver) evictOnSlowSample(w *simWorker, s interference.Sample) {
	if s.Latency.Seconds() < slowSampleRatio*m.fastestP99[s.Service].Seconds() && s.Latency <= s.Target {
		return
	}
	counts := map[string]int{}
	largest := ""
	for _, t := range w.running {
		if counts[t.Work]++; largest == "" || counts[t.Work] > counts[largest] {
			largest = t.Work
		}
	}
	if largest != "" {
		m.evictTasksOf(w, largest, 1, nil)
	}
}
