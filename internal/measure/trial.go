package measure

import (
	"time"

	"github.com/laburnumridge/laburnumridge/internal/routing"
)

// Trials from the related reading on sticky balancing.
const (
	trialAffinity = "affinity"
	trialAlpha    = "alpha_03"
	trialStatic   = "static_cold_start"
	trialProbes   = "probes_3"
)

const (
	affinityTTL  = 5 * time.Minute
	trialWeight  = 0.3
	coldRequests = 20
	openAfter    = 5
	openFor      = time.Second
	halfOpen     = 3
)

// router is a real router, or a trial.
type router interface {
	finished(now time.Time, worker string, latency time.Duration, result routing.Result)
	route(now time.Time, candidates []routing.Backend, excluded []string) (string, error)
	started(worker string)
}

func newRouter(v variant, seed uint64) router {
	plain := realRouter{routing.NewRouter(zone, routing.WithPolicy(v.routing), routing.WithSeed(seed))}
	switch v.trial {
	case trialAffinity:
		return &affinityRouter{realRouter: plain}
	case trialAlpha, trialStatic, trialProbes:
		return &ewmaRouter{realRouter: plain, trial: v.trial, servers: map[string]*server{}}
	}
	return plain
}

type realRouter struct{ *routing.Router }

func (r realRouter) finished(now time.Time, worker string, latency time.Duration, result routing.Result) {
	r.Finished(now, worker, latency, result)
}

func (r realRouter) route(now time.Time, candidates []routing.Backend, excluded []string) (string, error) {
	d, err := r.Route(now, candidates, excluded...)
	return d.Backend.Worker, err
}

func (r realRouter) started(worker string) { r.Started(worker) }

// affinityRouter prefers the last backend server that answered, for affinityTTL.
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

// ewmaRouter keeps its own averages and circuits over all candidates. The trial says which one differs
// from the real router: the weight of the newest sample, the cold start, or the number of probes.
type ewmaRouter struct {
	realRouter
	servers map[string]*server
	trial   string
}

type server struct {
	failed, good, requests, samples int
	latency                         float64
	openUntil                       time.Time
	probing                         int
}

func (r *ewmaRouter) server(id string) *server {
	s, ok := r.servers[id]
	if !ok {
		s = &server{}
		r.servers[id] = s
	}
	return s
}

func (r *ewmaRouter) finished(now time.Time, worker string, latency time.Duration, result routing.Result) {
	r.realRouter.finished(now, worker, latency, result)
	s := r.server(worker)
	s.probing = max(0, s.probing-1)
	s.requests++
	if result != routing.ResultOK {
		s.failed++
		s.good = 0
		if s.failed >= openAfter || !s.openUntil.IsZero() {
			s.openUntil = now.Add(openFor)
		}
		return
	}
	s.failed = 0
	if s.good++; s.good >= halfOpen {
		s.openUntil = time.Time{}
	}
	s.samples++
	weight := 0.2
	if r.trial == trialAlpha {
		weight = trialWeight
	}
	if s.samples == 1 {
		weight = 1
	}
	s.latency += weight * (latency.Seconds() - s.latency)
}

// route lets the real router choose among what the trial leaves open, or compares all by the trial's score.
func (r *ewmaRouter) route(now time.Time, candidates []routing.Backend, excluded []string) (string, error) {
	var open []routing.Backend
	best, least := "", 0.0
	for _, c := range candidates {
		s := r.server(c.Worker)
		if r.trial == trialProbes && !s.openUntil.IsZero() && (now.Before(s.openUntil) || s.probing >= halfOpen) {
			continue
		}
		open = append(open, c)
	}
	if r.trial == trialProbes {
		chosen, err := r.realRouter.route(now, open, excluded)
		if err == nil {
			r.server(chosen).probing++
		}
		return chosen, err
	}
	if r.trial == trialAlpha {
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
			score := r.server(c.Worker).latency * float64(r.InFlight(c.Worker)+1)
			if c.Free > 0 && (best == "" || score < least) {
				best, least = c.Worker, score
			}
		}
		if best != "" && len(excluded) == 0 {
			return best, nil
		}
		return r.realRouter.route(now, open, excluded)
	}
	// Cold servers take requests by their fixed weight, which is equal here, instead of by latency.
	for _, c := range open {
		if r.server(c.Worker).requests < coldRequests && c.Free > 0 && len(excluded) == 0 {
			score := float64(r.InFlight(c.Worker))
			if best == "" || score < least {
				best, least = c.Worker, score
			}
		}
	}
	if best != "" {
		return best, nil
	}
	return r.realRouter.route(now, open, excluded)
}
