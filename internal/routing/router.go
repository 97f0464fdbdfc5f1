package routing

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

// meanWeight is the weight of one response in the mean latency of the service.
const meanWeight = 0.02

// Policy names how a router compares candidates.
type Policy string

// Policies; the last two are baselines without health checks.
const (
	PolicyP2C              Policy = "p2c_ewma"
	PolicyLeastOutstanding Policy = "least_outstanding"
	PolicyRoundRobin       Policy = "round_robin"
)

// RouterOption sets up a router.
type RouterOption func(*Router)

// Router chooses backend servers for one service; it is safe for concurrent use.
type Router struct {
	health map[string]*health
	// mean is the latency in seconds that a server without samples is assumed to have.
	mean    float64
	mu      sync.Mutex
	policy  Policy
	rand    *rand.Rand
	scratch []int
	turn    int
	zone    string
}

// NewRouter returns a router of an entry host in the given zone.
func NewRouter(zone string, options ...RouterOption) *Router {
	r := &Router{
		health: map[string]*health{},
		mean:   0.001,
		policy: PolicyP2C,
		rand:   rand.New(rand.NewPCG(1, 1)),
		zone:   zone,
	}
	for _, option := range options {
		option(r)
	}
	return r
}

// WithPolicy selects the policy; the default is PolicyP2C.
func WithPolicy(p Policy) RouterOption { return func(r *Router) { r.policy = p } }

// WithSeed seeds the random choices.
func WithSeed(seed uint64) RouterOption {
	return func(r *Router) { r.rand = rand.New(rand.NewPCG(seed, seed)) }
}

// Finished records the end of a request that Started recorded.
func (r *Router) Finished(now time.Time, worker string, latency time.Duration, result Result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	h, ok := r.health[worker]
	if !ok {
		return
	}
	h.finished(now, latency, result, r.rand.Float64())
	if result == ResultOK {
		r.mean += meanWeight * (latency.Seconds() - r.mean)
	}
	if h.isGone && h.inFlight == 0 {
		delete(r.health, worker)
	}
}

// InFlight returns the number of requests in flight on a worker.
func (r *Router) InFlight(worker string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	if h, ok := r.health[worker]; ok {
		return h.inFlight
	}
	return 0
}

// Retain drops what was learned about workers that are not in the list, once their requests end.
func (r *Router) Retain(workers []string) {
	kept := make(map[string]bool, len(workers))
	for _, w := range workers {
		kept[w] = true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for w, h := range r.health {
		h.isGone = !kept[w]
		if h.isGone && h.inFlight == 0 {
			delete(r.health, w)
		}
	}
}

// Route chooses among candidates, of the local zone first, without the workers that this request
// has tried. The error matches ErrNoBackend and is a *NoBackendError. A decision for a recovering
// server takes its only probe until Finished or one second has passed.
func (r *Router) Route(now time.Time, candidates []Backend, excluded ...string) (Decision, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, isLocal := range []bool{true, false} {
		open := r.scratch[:0]
		for i := range candidates {
			b := &candidates[i]
			if (b.Zone == r.zone) == isLocal && checkBackend(b, excluded) == "" {
				open = append(open, i)
			}
		}
		r.scratch = open
		if d, ok := r.choose(now, candidates, open); ok {
			d.Policy = r.policy
			return d, nil
		}
	}
	return Decision{}, r.explain(now, candidates, excluded)
}

// Started records that a request is about to be sent to a worker.
func (r *Router) Started(worker string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.healthOf(worker).inFlight++
}

// Workers returns the workers that the router keeps state of, sorted.
func (r *Router) Workers() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []string
	for w := range r.health {
		out = append(out, w)
	}
	slices.Sort(out)
	return out
}

func (r *Router) explain(now time.Time, candidates []Backend, excluded []string) error {
	e := &NoBackendError{}
	for i := range candidates {
		b := &candidates[i]
		reason := checkBackend(b, excluded)
		if reason == "" {
			var until time.Time
			reason, until = r.healthOf(b.Worker).check(now)
			if wait := until.Sub(now); wait > 0 && (e.RetryAfter == 0 || wait < e.RetryAfter) {
				e.RetryAfter = wait
			}
		}
		e.Rejections = append(e.Rejections, Rejection{Reason: reason, Worker: b.Worker})
	}
	return e
}

func (r *Router) healthOf(worker string) *health {
	h, ok := r.health[worker]
	if !ok {
		h = &health{}
		r.health[worker] = h
	}
	return h
}

func checkBackend(b *Backend, excluded []string) Reason {
	switch {
	case b.Leaving:
		return ReasonLeaving
	case b.Free <= 0:
		return ReasonNoSlot
	case slices.Contains(excluded, b.Worker):
		return ReasonExcluded
	}
	return ""
}
