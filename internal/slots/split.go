package slots

import (
	"maps"
	"math"
	"slices"
)

// idleDemand is the demand in slots that each host is taken to have of each service, so that an
// idle host can serve a first request without waiting for a round.
const idleDemand = 1.0

// split sets the targets of all hosts. It starts from the last targets and moves only what the
// change of demand asks for, because each move leaves slots unused until it is acknowledged.
func (g *Granter) split() {
	services := map[string][]*backendState{}
	for _, id := range slices.Sorted(maps.Keys(g.backends)) {
		b := g.backends[id]
		services[b.Service] = append(services[b.Service], b)
	}
	var hosts []string
	for host, a := range g.hosts {
		maps.DeleteFunc(a.target, func(id string, _ int) bool { return g.backends[id] == nil })
		if a.isGone || !a.hasStamp {
			clear(a.target)
			continue
		}
		hosts = append(hosts, host)
	}
	if len(hosts) == 0 {
		return
	}
	slices.Sort(hosts)
	for service, backends := range services {
		s := splitting{backends: backends, surplus: make([]int, len(hosts))}
		weights := make([]float64, len(hosts))
		for i, host := range hosts {
			a := g.hosts[host]
			s.accounts = append(s.accounts, a)
			weights[i] = idleDemand + max(0, a.demand[service])
		}
		s.run(weights)
	}
}

// splitting is the split of one service's slots.
type splitting struct {
	accounts []*account
	backends []*backendState
	// surplus is the number of slots by which each account is above its part.
	surplus []int
}

func (s *splitting) run(weights []float64) {
	total := 0
	for _, b := range s.backends {
		total += b.Capacity
	}
	parts := apportion(total, weights)
	for i, a := range s.accounts {
		for _, b := range s.backends {
			s.surplus[i] += a.target[b.ID]
		}
		s.surplus[i] -= parts[i]
	}
	for i, a := range s.accounts {
		for s.surplus[i] > 0 {
			a.target[s.largest(a)]--
			s.surplus[i]--
		}
	}
	for _, b := range s.backends {
		s.fill(b)
	}
}

// fill brings the targets on a backend server to its capacity.
func (s *splitting) fill(b *backendState) {
	open := b.Capacity
	for _, a := range s.accounts {
		open -= a.target[b.ID]
	}
	for ; open < 0; open++ {
		i := s.pick(func(i int) float64 { return float64(s.accounts[i].target[b.ID]) })
		s.accounts[i].target[b.ID]--
		s.surplus[i]--
	}
	for ; open > 0; open-- {
		// The host that lacks most comes first; among equals, the one that has least here.
		i := s.pick(func(i int) float64 {
			return float64(-s.surplus[i]) - float64(s.accounts[i].target[b.ID])/float64(b.Capacity+1)
		})
		s.accounts[i].target[b.ID]++
		s.surplus[i]++
	}
}

// largest returns the backend server on which the account has most.
func (s *splitting) largest(a *account) string {
	best := s.backends[0].ID
	for _, b := range s.backends {
		if a.target[b.ID] > a.target[best] {
			best = b.ID
		}
	}
	return best
}

func (s *splitting) pick(score func(i int) float64) int {
	best, most := 0, math.Inf(-1)
	for i := range s.accounts {
		if v := score(i); v > most {
			best, most = i, v
		}
	}
	return best
}

// apportion divides total by weights into whole parts that sum to it, by largest remainder.
func apportion(total int, weights []float64) []int {
	sum := 0.0
	for _, w := range weights {
		sum += w
	}
	parts, order, left := make([]int, len(weights)), make([]int, len(weights)), total
	rest := make([]float64, len(weights))
	for i, w := range weights {
		exact := float64(total) * w / sum
		parts[i] = int(exact)
		rest[i], order[i] = exact-math.Floor(exact), i
		left -= parts[i]
	}
	slices.SortStableFunc(order, func(a, b int) int {
		switch {
		case rest[a] > rest[b]:
			return -1
		case rest[a] < rest[b]:
			return 1
		}
		return 0
	})
	for i := range left {
		parts[order[i%len(order)]]++
	}
	return parts
}
