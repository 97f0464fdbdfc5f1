package interference

import (
	"math"
	"slices"
	"time"
)

// Policy selects whether slowdowns are learned.
type Policy string

// Policies of a Model.
const (
	PolicyLearned Policy = "learned"
	// PolicyNone is a baseline that predicts no slowdown and mitigates nothing.
	PolicyNone Policy = "none"
)

const maxBaselines = 4096

// Model learns slowdowns from samples and predicts them for placement.
type Model struct {
	baselines map[baselineKey]*baseline
	pairs     pairs
	policy    Policy
	// workers is bounded by the workers of the shard, since the owner forgets those that left.
	workers map[string]*history
}

type baselineKey struct {
	level   Level
	service string
}

// Option sets a field of a Model.
type Option func(*Model)

// NewModel returns a Model with PolicyLearned that knows nothing.
func NewModel(opts ...Option) *Model {
	m := &Model{
		baselines: map[baselineKey]*baseline{},
		pairs:     newPairs(),
		policy:    PolicyLearned,
		workers:   map[string]*history{},
	}
	for _, opt := range opts {
		opt(m)
	}
	return m
}

// WithPolicy sets the policy.
func WithPolicy(p Policy) Option { return func(m *Model) { m.policy = p } }

// Forget drops the history of a worker that left.
func (m *Model) Forget(worker string) { delete(m.workers, worker) }

// Observe matches a sample to the tasks in force when it was taken and learns from it.
func (m *Model) Observe(s Sample) Observation {
	o := Observation{
		Began: s.began(), OfTarget: s.ofTarget(),
		Service: s.Service, Taken: s.Taken, Worker: s.Worker,
	}
	h, ok := m.workers[s.Worker]
	switch {
	case m.policy == PolicyNone:
		o.Status = StatusNoModel
		return o
	case s.Latency <= 0:
		o.Status = StatusMalformed
		return o
	case !ok:
		o.Status = StatusUnmatched
		return o
	}
	level := LevelOf(s.Load)
	if slices.Contains(h.services, s.Service) {
		h.levels[s.Service] = level
	}
	set, status := h.match(s)
	if o.Batch, o.Status = set.batch, status; status != StatusLearned {
		return o
	}
	if set.throttled {
		o.Status = StatusThrottled
	}
	return m.learn(o, level, math.Log(s.Latency.Seconds()))
}

// Predict returns the expected slowdown of the slowest service on a worker if one task of a batch work is
// added there, or as it is now if the work is empty; 1 means none.
func (m *Model) Predict(worker, work string) float64 {
	h, ok := m.workers[worker]
	if !ok || m.policy == PolicyNone {
		return 1
	}
	worst := 0.0
	for _, service := range h.services {
		worst = max(worst, m.sum(service, h.level(service), h.now(), work))
	}
	return math.Exp(worst)
}

// PredictService returns the expected slowdown of a service if a replica is added to a worker.
func (m *Model) PredictService(worker, service string) float64 {
	h, ok := m.workers[worker]
	if !ok || m.policy == PolicyNone {
		return 1
	}
	return math.Exp(m.sum(service, h.level(service), h.now(), ""))
}

// Record notes the set that is in force on a worker from a time on.
func (m *Model) Record(worker string, at time.Time, set Set) {
	h, ok := m.workers[worker]
	if !ok {
		h = &history{levels: map[string]Level{}}
		m.workers[worker] = h
	}
	h.record(at, set)
}

func (m *Model) baseline(service string, level Level) *baseline {
	key := baselineKey{level: level, service: service}
	b, ok := m.baselines[key]
	if !ok && len(m.baselines) < maxBaselines {
		b = &baseline{}
		m.baselines[key] = b
	}
	return b
}

func (m *Model) learn(o Observation, level Level, logLatency float64) Observation {
	b := m.baseline(o.Service, level)
	if b == nil {
		o.Status = StatusNoBaseline
		return o
	}
	if len(o.Batch) == 0 {
		b.addClean(logLatency)
		o.Status = StatusBaseline
	} else {
		b.addCrowded(logLatency)
	}
	own, ok := b.value()
	if !ok {
		if o.Status != StatusBaseline {
			o.Status = StatusNoBaseline
		}
		return o
	}
	o.Slowdown = math.Exp(logLatency - own)
	if o.Status == StatusBaseline {
		return o
	}
	if o.Status == StatusLearned {
		m.pairs.learn(o.Service, level, o.Batch, logLatency-own, o.Taken)
	}
	most := -1.0
	for _, c := range o.Batch {
		if part := m.pairs.log(o.Service, level, c); part > most {
			most, o.Worst, o.WorstTasks = part, c.Work, c.Tasks
		}
	}
	return o
}

// sum returns the logarithm of the slowdown of a service beside batch tasks and one more of the given work.
func (m *Model) sum(service string, level Level, batch []Count, added string) float64 {
	total, found := 0.0, false
	for _, c := range batch {
		if c.Work == added {
			c.Tasks++
			found = true
		}
		total += m.pairs.log(service, level, c)
	}
	if !found && added != "" {
		total += m.pairs.log(service, level, Count{Tasks: 1, Work: added})
	}
	return total
}
