package interference

import (
	"math"
	"slices"
	"time"
)

// Policy selects whether slowdowns are estimated.
type Policy string

const (
	// PolicyLearned estimates slowdowns from samples.
	PolicyLearned Policy = "learned"
	// PolicyNone predicts no slowdown and leaves nothing to mitigate. It serves as a baseline for comparisons.
	PolicyNone Policy = "none"
)

const maxBaselines = 4096

// Model estimates slowdowns from latency samples and predicts them for placement.
type Model struct {
	baselines map[baselineKey]*baseline
	estimates slowdownEstimates
	policy    Policy
	// workers holds no more than the workers of the shard, since the owner calls Forget for workers that left.
	workers map[string]*history
}

type baselineKey struct {
	level   Level
	service string
}

// Option configures a Model.
type Option func(*Model)

// NewModel returns a Model without samples. The default policy is PolicyLearned.
func NewModel(opts ...Option) *Model {
	m := &Model{
		baselines: map[baselineKey]*baseline{},
		estimates: newSlowdownEstimates(),
		policy:    PolicyLearned,
		workers:   map[string]*history{},
	}
	for _, opt := range opts {
		opt(m)
	}
	return m
}

// WithPolicy sets the policy of the Model.
func WithPolicy(p Policy) Option { return func(m *Model) { m.policy = p } }

// Forget removes the history of a worker that left the shard.
func (m *Model) Forget(worker string) { delete(m.workers, worker) }

// Observe matches a sample to the tasks that ran when it was taken and updates the estimates.
func (m *Model) Observe(s Sample) Observation {
	o := Observation{
		WindowStart: s.windowStart(), TargetRatio: s.targetRatio(),
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
	return m.update(o, level, math.Log(s.Latency.Seconds()))
}

// Predict returns the highest predicted slowdown factor of the services on a worker if one task of a batch work is
// added, or with the present tasks if work is empty; 1 means none.
func (m *Model) Predict(worker, work string) float64 {
	h, ok := m.workers[worker]
	if !ok || m.policy == PolicyNone {
		return 1
	}
	worst := 0.0
	for _, service := range h.services {
		worst = max(worst, m.logSlowdown(service, h.level(service), h.currentBatch(), work))
	}
	return math.Exp(worst)
}

// PredictService returns the predicted slowdown factor of a service if a replica is added to a worker.
func (m *Model) PredictService(worker, service string) float64 {
	h, ok := m.workers[worker]
	if !ok || m.policy == PolicyNone {
		return 1
	}
	return math.Exp(m.logSlowdown(service, h.level(service), h.currentBatch(), ""))
}

// Record records the set of tasks that runs on a worker from the given time on.
func (m *Model) Record(worker string, at time.Time, set TaskSet) {
	h, ok := m.workers[worker]
	if !ok {
		h = &history{levels: map[string]Level{}}
		m.workers[worker] = h
	}
	h.record(at, set)
}

// baseline returns the baseline of a service, creating it if needed, or nil if there are too many already.
func (m *Model) baseline(service string, level Level) *baseline {
	key := baselineKey{level: level, service: service}
	b, ok := m.baselines[key]
	if !ok && len(m.baselines) < maxBaselines {
		b = &baseline{}
		m.baselines[key] = b
	}
	return b
}

// update updates the baseline and the slowdown estimates, and completes the observation.
func (m *Model) update(o Observation, level Level, logLatency float64) Observation {
	b := m.baseline(o.Service, level)
	if b == nil {
		o.Status = StatusNoBaseline
		return o
	}
	if len(o.Batch) == 0 {
		b.addIsolated(logLatency)
		o.Status = StatusBaseline
	} else {
		b.addContended(logLatency)
	}
	baseline, ok := b.value()
	if !ok {
		if o.Status != StatusBaseline {
			o.Status = StatusNoBaseline
		}
		return o
	}
	o.Slowdown = math.Exp(logLatency - baseline)
	if o.Status == StatusBaseline {
		return o
	}
	if o.Status == StatusLearned {
		m.estimates.update(o.Service, level, o.Batch, logLatency-baseline, o.Taken)
	}
	largest := -1.0
	for _, c := range o.Batch {
		if part := m.estimates.logSlowdown(o.Service, level, c); part > largest {
			largest, o.WorstWork, o.WorstTasks = part, c.Work, c.Tasks
		}
	}
	return o
}

// logSlowdown returns the predicted logarithm of the slowdown of a service by the given batch tasks and, unless added
// is empty, one more task of that work.
func (m *Model) logSlowdown(service string, level Level, batch []TaskCount, added string) float64 {
	total, found := 0.0, false
	for _, c := range batch {
		if c.Work == added {
			c.Tasks++
			found = true
		}
		total += m.estimates.logSlowdown(service, level, c)
	}
	if !found && added != "" {
		total += m.estimates.logSlowdown(service, level, TaskCount{Tasks: 1, Work: added})
	}
	return total
}
