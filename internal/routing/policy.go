package routing

import "time"

// scoreTolerance is the ratio of two scores below which the lower one wins. Without it, a stale estimate that
// has decayed to just above the mean would still lose every comparison on an idle service.
const scoreTolerance = 0.95

// choose applies the policy to the eligible candidates. It may reorder the indexes in eligible.
func (r *Router) choose(now time.Time, candidates []Backend, eligible []int) (Decision, bool) {
	if len(eligible) == 0 {
		return Decision{}, false
	}
	switch r.policy {
	case PolicyLeastOutstanding:
		return r.chooseLeastOutstanding(candidates, eligible), true
	case PolicyRoundRobin:
		r.roundRobin++
		b := candidates[eligible[r.roundRobin%len(eligible)]]
		return Decision{Backend: b, Options: []Option{{Worker: b.Worker}}, Reason: ReasonNextInTurn}, true
	default:
		return r.chooseP2C(now, candidates, eligible)
	}
}

func (r *Router) chooseLeastOutstanding(candidates []Backend, eligible []int) Decision {
	// Start at a random candidate to break ties; otherwise an idle fleet would load only the first server.
	start := r.rand.IntN(len(eligible))
	best, least := 0, -1
	for i := range eligible {
		at := eligible[(start+i)%len(eligible)]
		n := 0
		if h, ok := r.health[candidates[at].Worker]; ok {
			n = h.inFlight
		}
		if least < 0 || n < least {
			best, least = at, n
		}
	}
	b := candidates[best]
	return Decision{
		Backend: b,
		Options: []Option{{Score: float64(least), Worker: b.Worker}},
		Reason:  ReasonFewestInFlight,
	}
}

// chooseP2C chooses the better of two random healthy candidates (power of two choices). It looks up health only
// for the candidates drawn, so its cost does not grow with the fleet while most servers are healthy. A candidate
// that is recovering is chosen as a probe when it is drawn.
func (r *Router) chooseP2C(now time.Time, candidates []Backend, eligible []int) (Decision, bool) {
	var first int
	var options []Option
	for len(eligible) > 0 && len(options) < 2 {
		n := r.rand.IntN(len(eligible))
		at := eligible[n]
		eligible[n] = eligible[len(eligible)-1]
		eligible = eligible[:len(eligible)-1]
		worker := candidates[at].Worker
		h := r.healthOf(worker)
		if reason, _ := h.unavailableReason(now); reason != "" {
			continue
		}
		option := Option{Score: h.score(now, r.meanLatency), Worker: worker}
		if h.isRecovering() {
			h.probeUntil = now.Add(probeTimeout)
			return Decision{Backend: candidates[at], Options: []Option{option}, Reason: ReasonProbe}, true
		}
		switch {
		case options == nil:
			first, options = at, append(make([]Option, 0, 2), option)
		case option.Score < scoreTolerance*options[0].Score:
			first, options = at, append(options[:0], option, options[0])
		default:
			options = append(options, option)
		}
	}
	switch len(options) {
	case 0:
		return Decision{}, false
	case 1:
		return Decision{Backend: candidates[first], Options: options, Reason: ReasonOnlyCandidate}, true
	}
	return Decision{Backend: candidates[first], Options: options, Reason: ReasonLowerScore}, true
}
