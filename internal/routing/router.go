package routing

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

// meanLatencyWeight is the weight of one response in the moving average of the service's latency.
const meanLatencyWeight = 0.02

// Policy names how a router compares candidates.
type Policy string

// Policies. PolicyP2C compares two random candidates (power of two choices) by the moving average of their latency times
// their requests in flight. PolicyLeastOutstanding and PolicyRoundRobin are baselines without health checks.
const (
	PolicyP2C              Policy = "p2c_ewma"
	PolicyLeastOutstanding Policy = "least_outstanding"
	PolicyRoundRobin       Policy = "round_robin"
)

// RouterOption configures a Router.
type RouterOption func(*Router)

// Router chooses backend servers for the requests of one service. A backend server is identified by the id of the worker
// on which it runs. It is safe for concurrent use.
type Router struct {
	health map[string]*health
	// meanLatency is the moving average of the service's latency in seconds, assumed for a server
	// without samples.
	meanLatency float64
	mu          sync.Mutex
	policy      Policy
	rand        *rand.Rand
	// eligibleBuffer is reused by each call of Route to save allocations.
	eligibleBuffer []int
	// roundRobin is the number of choices under PolicyRoundRobin.
	roundRobin int
	zone       string
}

// NewRouter returns a router of an entry host in the given zone.
func NewRouter(zone string, options ...RouterOption) *Router {
	r := &Router{
		health:      map[string]*health{},
		meanLatency: 0.001,
		policy:      PolicyP2C,
		rand:        rand.New(rand.NewPCG(1, 1)),
		zone:        zone,
	}
	for _, option := range options {
		option(r)
	}
	return r
}

// WithPolicy selects the policy; the default is PolicyP2C.
func WithPolicy(p Policy) RouterOption { return func(r *Router) { r.policy = p } }

// WithSeed sets the seed of the random number generator.
func WithSeed(seed uint64) RouterOption {
	return func(r *Router) { r.rand = rand.New(rand.NewPCG(seed, seed)) }
}

// Finished records the end of a request whose start was recorded by Started.
func (r *Router) Finished(now time.Time, worker string, latency time.Duration, result Result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	h, ok := r.health[worker]
	if !ok {
		return
	}
	h.recordResult(now, latency, result, r.rand.Float64())
	if result == ResultOK {
		r.meanLatency += meanLatencyWeight * (latency.Seconds() - r.meanLatency)
	}
	if h.removeWhenIdle && h.inFlight == 0 {
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

// Retain removes the state of workers that are not in the list, once their requests have ended.
func (r *Router) Retain(workers []string) {
	kept := make(map[string]bool, len(workers))
	for _, w := range workers {
		kept[w] = true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for w, h := range r.health {
		h.removeWhenIdle = !kept[w]
		if h.removeWhenIdle && h.inFlight == 0 {
			delete(r.health, w)
		}
	}
}

// Route chooses one of the candidates, preferring the local zone. excluded are workers that the request has
// already tried. An error is a *NoBackendError and matches ErrNoBackend. A recovering server takes one
// request at a time, as a probe: once chosen, it is not chosen again until Finished is called for its worker or one second
// has passed.
func (r *Router) Route(now time.Time, candidates []Backend, excluded ...string) (Decision, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, isLocal := range []bool{true, false} {
		eligible := r.eligibleBuffer[:0]
		for i := range candidates {
			b := &candidates[i]
			if (b.Zone == r.zone) == isLocal && ineligibleReason(b, excluded) == "" {
				eligible = append(eligible, i)
			}
		}
		r.eligibleBuffer = eligible
		if d, ok := r.choose(now, candidates, eligible); ok {
			d.Policy = r.policy
			return d, nil
		}
	}
	return Decision{}, r.noBackendError(now, candidates, excluded)
}

// Started records that a request is about to be sent to a worker.
func (r *Router) Started(worker string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.healthOf(worker).inFlight++
}

// Workers returns the workers for which the router keeps state, sorted.
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

func (r *Router) noBackendError(now time.Time, candidates []Backend, excluded []string) error {
	e := &NoBackendError{}
	for i := range candidates {
		b := &candidates[i]
		reason := ineligibleReason(b, excluded)
		if reason == "" {
			var until time.Time
			reason, until = r.healthOf(b.Worker).unavailableReason(now)
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

// ineligibleReason returns why the request can't be sent to the backend server whatever its health, or "".
func ineligibleReason(b *Backend, excluded []string) Reason {
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
