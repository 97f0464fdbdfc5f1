package measure

import (
	"cmp"
	"slices"
	"time"

	"github.com/laburnumridge/laburnumridge/internal/interference"
	"github.com/laburnumridge/laburnumridge/internal/placement"
)

const (
	// reportEvery is the worker heartbeat, which carries the latency of the window before it.
	reportEvery = 2 * time.Second
	// reportLag is how old a latency sample is when it arrives.
	reportLag = 4 * time.Second
	// throttleDelay is how long a throttle takes to be in force.
	throttleDelay = 50 * time.Millisecond
	// slowSample is the slowdown from which the baseline evicts.
	slowSample = 1.5
)

// mitigation carries the reports of workers to the real model and mitigator, as the shard owner does.
type mitigation struct {
	fastest   map[string]time.Duration
	mitigator *interference.Mitigator
	model     *interference.Model
	owner     *owner
}

func newMitigation(o *owner) *mitigation {
	return &mitigation{
		fastest: map[string]time.Duration{}, mitigator: interference.NewMitigator(o.budget),
		model: interference.NewModel(interference.WithPolicy(o.world.variant.interference)), owner: o,
	}
}

func (m *mitigation) begin() {
	w := m.owner.world
	for _, b := range w.backends {
		m.record(b)
	}
	w.every(reportEvery, func() {
		for _, b := range w.backends {
			m.report(b)
		}
		for _, d := range m.mitigator.Relax(w.now) {
			m.step(d)
		}
	})
}

func (m *mitigation) isClosed(worker string) bool {
	return m.mitigator.Step(worker) >= interference.StepClosed
}

func (m *mitigation) predicted(w *placement.Worker, t *placement.Task) float64 {
	if t.IsLatencyCritical() {
		return m.model.PredictService(w.ID, t.Work)
	}
	return m.model.Predict(w.ID, t.Work)
}

// record notes what runs on a worker from now on.
func (m *mitigation) record(b *backend) {
	set := interference.Set{Batch: map[string]int{}, Services: slices.Sorted(slices.Values(b.replicas)), Throttled: b.throttled != ""}
	for _, t := range b.running {
		set.Batch[t.Work]++
	}
	m.model.Record(b.ID, m.owner.world.now, set)
}

// report sends the latency samples of a worker, which arrive late.
func (m *mitigation) report(b *backend) {
	w := m.owner.world
	for _, s := range w.services {
		all := b.latencies[s.Name]
		if len(all) == 0 {
			continue
		}
		b.latencies[s.Name] = nil
		slices.Sort(all)
		p99 := all[len(all)*99/100]
		taken, rate := w.now, float64(len(all))/reportEvery.Seconds()
		w.after(reportLag, func() {
			if f := m.fastest[s.Name]; f == 0 || p99 < f {
				m.fastest[s.Name] = p99
			}
			load := rate * m.fastest[s.Name].Seconds() / float64(b.Capacity.Slots)
			sample := interference.Sample{
				Latency: p99, Load: min(load, 1), Service: s.Name, Taken: taken, Target: s.LatencyTarget.Duration,
				Window: reportEvery, Worker: b.ID,
			}
			if w.variant.trial == evictOnSlow {
				m.evictNow(b, sample)
				return
			}
			if d := m.mitigator.Decide(w.now, m.model.Observe(sample)); d.Kind != interference.KindHold {
				m.step(d)
			}
		})
	}
}

// step carries out a mitigation step.
func (m *mitigation) step(d interference.Decision) {
	w := m.owner.world
	b := w.byID[d.Worker]
	effect := func() { m.mitigator.TookEffect(d.Worker, d.Seq, w.now) }
	if d.Step == interference.StepEvict {
		if !m.evictWork(b, d.Work, d.Tasks, effect) {
			effect()
		}
		return
	}
	if on := d.Step >= interference.StepThrottle; on != (b.throttled != "") {
		w.after(throttleDelay, func() {
			if b.throttled = ""; on {
				b.throttled = d.Work
			}
			m.record(b)
			effect()
		})
		return
	}
	effect()
}

func (m *mitigation) evictWork(b *backend, work string, n int, after func()) bool {
	var found []*task
	for _, t := range b.running {
		if t.Work == work && !t.stopping {
			found = append(found, t)
		}
	}
	slices.SortFunc(found, func(x, y *task) int {
		return cmp.Or(cmp.Compare(m.owner.lost(x), m.owner.lost(y)), cmp.Compare(x.ID, y.ID))
	})
	found = found[:min(n, len(found))]
	for i, t := range found {
		if i == len(found)-1 {
			m.owner.evict(t, after)
			break
		}
		m.owner.evict(t, nil)
	}
	return len(found) > 0
}

// evictNow is the baseline without a model and a budget: it evicts one task of the largest work on each
// slow sample.
func (m *mitigation) evictNow(b *backend, s interference.Sample) {
	if s.Latency.Seconds() < slowSample*m.fastest[s.Service].Seconds() && s.Latency <= s.Target {
		return
	}
	counts := map[string]int{}
	worst := ""
	for _, t := range b.running {
		if counts[t.Work]++; worst == "" || counts[t.Work] > counts[worst] {
			worst = t.Work
		}
	}
	if worst != "" {
		m.evictWork(b, worst, 1, nil)
	}
}
