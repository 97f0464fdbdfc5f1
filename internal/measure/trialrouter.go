package measure

import (
	"time"

	"github.com/laburnumridge/laburnumridge/internal/routing"
)

// Trials of routing rules from the literature on sticky load balancing. Each is compared with the scheduler's router.
const (
	// trialAffinity sends requests to the backend server that answered last.
	trialAffinity = "affinity"
	// trialNewestWeight gives the newest sample the weight 0.3 in the latency average instead of 0.2.
	trialNewestWeight = "alpha_03"
	// trialColdStart spreads requests over cold servers by requests in flight instead of latency.
	trialColdStart = "static_cold_start"
	// trialProbeLimit opens a circuit after circuitOpenAfter failures and admits halfOpenProbes probes.
	trialProbeLimit = "probes_3"
)

const (
	// affinityTTL is how long after its last answer a server is preferred.
	affinityTTL        = 5 * time.Minute
	newestSampleWeight = 0.3
	// coldStartRequests is the number of finished requests up to which a server is cold.
	coldStartRequests = 20
	// circuitOpenAfter is the number of failures in a row that open a circuit for circuitOpenFor.
	circuitOpenAfter = 5
	circuitOpenFor   = time.Second
	// halfOpenProbes is the number of concurrent probes of a half-open circuit, and of successes in a row that close it.
	halfOpenProbes = 3
)

// router is the scheduler's router or a trial.
type router interface {
	finished(now time.Time, worker string, latency time.Duration, result routing.Result)
	route(now time.Time, candidates []routing.Backend, excluded []string) (string, error)
	started(worker string)
}

// newRouter returns the router of one service for a variant.
func newRouter(v variant, seed uint64) router {
	plain := realRouter{routing.NewRouter(zone, routing.WithPolicy(v.routing), routing.WithSeed(seed))}
	switch v.trial {
	case trialAffinity:
		return &affinityRouter{realRouter: plain}
	case trialNewestWeight, trialColdStart, trialProbeLimit:
		return &ewmaRouter{realRouter: plain, trial: v.trial, statsByWorker: map[string]*backendStats{}}
	}
	return plain
}

// realRouter adapts routing.Router to the router interface.
type realRouter struct{ *routing.Router }

func (r realRouter) finished(now time.Time, worker string, latency time.Duration, result routing.Result) {
	r.Finished(now, worker, latency, result)
}

func (r realRouter) route(now time.Time, candidates []routing.Backend, excluded []string) (string, error) {
	d, err := r.Route(now, candidates, excluded...)
	return d.Backend.Worker, err
}

func (r realRouter) started(worker string) { r.Started(worker) }

// affinityRouter implements trialAffinity: it prefers the last backend server that answered, for affinityTTL, as long as
// the real router accepts it.
type affinityRouter struct {
	realRouter
	last  string
	until time.Time
}

func (r *affinityRouter) finished(now time.Time, worker string, latency time.Duration, result routing.Result) {
	r.realRouter.finished(now, worker, latency, result)
	switch {
	case result == routing.ResultOK:
		r.last, r.until = worker, now.Add(affinityTTL)
	case worker == r.last:
		r.last = ""
	}
}

func (r *affinityRouter) route(now time.Time, candidates []routing.Backend, excluded []string) (string, error) {
	if r.last != "" && now.Before(r.until) {
		for _, c := range candidates {
			if c.Worker == r.last {
				if chosen, err := r.realRouter.route(now, []routing.Backend{c}, excluded); err == nil {
					return chosen, nil
				}
			}
		}
	}
	return r.realRouter.route(now, candidates, excluded)
}

// ewmaRouter keeps its own latency averages and circuits beside those of the real router. The trial selects which rule
// overrides the real router: the weight of the newest sample, the cold start, or the limit on probes.
type ewmaRouter struct {
	realRouter
	statsByWorker map[string]*backendStats
	trial         string
}

// backendStats are the statistics of one backend server.
type backendStats struct {
	consecutiveFailures, consecutiveSuccesses, requests, samples int
	averageLatency                                               float64
	openUntil                                                    time.Time
	activeProbes                                                 int
}

func (r *ewmaRouter) stats(id string) *backendStats {
	s, ok := r.statsByWorker[id]
	if !ok {
		s = &backendStats{}
		r.statsByWorker[id] = s
	}
	return s
}

func (r *ewmaRouter) finished(now time.Time, worker string, latency time.Duration, result routing.Result) {
	r.realRouter.finished(now, worker, latency, result)
	s := r.stats(worker)
	s.activeProbes = max(0, s.activeProbes-1)
	s.requests++
	if result != routing.ResultOK {
		s.consecutiveFailures++
		s.consecutiveSuccesses = 0
		if s.consecutiveFailures >= circuitOpenAfter || !s.openUntil.IsZero() {
			s.openUntil = now.Add(circuitOpenFor)
		}
		return
	}
	s.consecutiveFailures = 0
	if s.consecutiveSuccesses++; s.consecutiveSuccesses >= halfOpenProbes {
		s.openUntil = time.Time{}
	}
	s.samples++
	weight := 0.2
	if r.trial == trialNewestWeight {
		weight = newestSampleWeight
	}
	if s.samples == 1 {
		weight = 1
	}
	s.averageLatency += weight * (latency.Seconds() - s.averageLatency)
}

// route chooses by the trial's rule. Where the rule does not decide, the real router does.
func (r *ewmaRouter) route(now time.Time, candidates []routing.Backend, excluded []string) (string, error) {
	var open []routing.Backend
	bestWorker, bestScore := "", 0.0
	for _, c := range candidates {
		s := r.stats(c.Worker)
		if r.trial == trialProbeLimit && !s.openUntil.IsZero() && (now.Before(s.openUntil) || s.activeProbes >= halfOpenProbes) {
			continue
		}
		open = append(open, c)
	}
	if r.trial == trialProbeLimit {
		chosen, err := r.realRouter.route(now, open, excluded)
		if err == nil {
			r.stats(chosen).activeProbes++
		}
		return chosen, err
	}
	if r.trial == trialNewestWeight {
		pair := open
		if len(open) > 2 {
			first, err := r.realRouter.route(now, open, excluded)
			if err != nil {
				return "", err
			}
			second, err := r.realRouter.route(now, open, append(excluded[:len(excluded):len(excluded)], first))
			if err != nil {
				return first, nil
			}
			pair = []routing.Backend{{Worker: first, Free: 1}, {Worker: second, Free: 1}}
		}
		for _, c := range pair {
			score := r.stats(c.Worker).averageLatency * float64(r.InFlight(c.Worker)+1)
			if c.Free > 0 && (bestWorker == "" || score < bestScore) {
				bestWorker, bestScore = c.Worker, score
			}
		}
		if bestWorker != "" && len(excluded) == 0 {
			return bestWorker, nil
		}
		return r.realRouter.route(now, open, excluded)
	}
	// trialColdStart: cold servers are chosen by a static weight, which is the same for all, and not by latency.
	for _, c := range open {
		if r.stats(c.Worker).requests < coldStartRequests && c.Free > 0 && len(excluded) == 0 {
			score := float64(r.InFlight(c.Worker))
			if bestWorker == "" || score < bestScore {
				bestWorker, bestScore = c.Worker, score
			}
		}
	}
	if bestWorker != "" {
		return bestWorker, nil
	}
	return r.realRouter.route(now, open, excluded)
}
