package routing

import "time"

// scoreNoise is the ratio from which scores differ. Without it a stale estimate that has faded to
// just above the mean would still lose every comparison on an idle service.
const scoreNoise = 0.95

// choose applies the policy to the open candidates, which it may reorder.
func (r *Router) choose(now time.Time, candidates []Backend, open []int) (Decision, bool) {
	if len(open) == 0 {
		return Decision{}, false
	}
	switch r.policy {
	case PolicyLeastOutstanding:
		return r.chooseLeastOutstanding(candidates, open), true
	case PolicyRoundRobin:
		r.turn++
		b := candidates[open[r.turn%len(open)]]
		return Decision{Backend: b, Options: []Option{{Worker: b.Worker}}, Reason: ReasonNextInTurn}, true
	default:
		return r.chooseP2C(now, candidates, open)
	}
}

func (r *Router) chooseLeastOutstanding(candidates []Backend, open []int) Decision {
	// Ties start at a random place; otherwise an idle fleet would load the first server only.
	start := r.rand.IntN(len(open))
	best, least := 0, -1
	for i := range open {
		at := open[(start+i)%len(open)]
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

// chooseP2C draws candidates at random until two are healthy. Health is looked up only for those
// drawn, so the cost does not grow with the fleet while most of it is healthy.
func (r *Router) chooseP2C(now time.Time, candidates []Backend, open []int) (Decision, bool) {
	var first int
	var options []Option
	for len(open) > 0 && len(options) < 2 {
		n := r.rand.IntN(len(open))
		at := open[n]
		open[n] = open[len(open)-1]
		open = open[:len(open)-1]
		worker := candidates[at].Worker
		h := r.healthOf(worker)
		if reason, _ := h.check(now); reason != "" {
			continue
		}
		option := Option{Score: h.score(now, r.mean), Worker: worker}
		if h.isProbed() {
			h.probeUntil = now.Add(probeTimeout)
			return Decision{Backend: candidates[at], Options: []Option{option}, Reason: ReasonProbe}, true
		}
		switch {
		case options == nil:
			first, options = at, append(make([]Option, 0, 2), option)
		case option.Score < scoreNoise*options[0].Score:
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
