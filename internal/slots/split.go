package slots

import (
	"maps"
	"math"
	"slices"
)

// minDemand is added to each host's demand in slots for each service, so that an idle host can serve
// its first request without waiting for a round.
const minDemand = 1.0

// updateTargets recomputes the target counts of all hosts. It starts from the previous targets and moves
// as few slots as possible, because a moved slot stays unused until the move is acknowledged.
func (g *Granter) updateTargets() {
	services := map[string][]*backendState{}
	for _, id := range slices.Sorted(maps.Keys(g.backends)) {
		b := g.backends[id]
		services[b.Service] = append(services[b.Service], b)
	}
	var hosts []string
	for host, h := range g.hosts {
		maps.DeleteFunc(h.target, func(id string, _ int) bool { return g.backends[id] == nil })
		if h.removeWhenUnused || !h.hasStamp {
			clear(h.target)
			continue
		}
		hosts = append(hosts, host)
	}
	if len(hosts) == 0 {
		return
	}
	slices.Sort(hosts)
	for service, backends := range services {
		s := serviceSplit{backends: backends, surplus: make([]int, len(hosts))}
		weights := make([]float64, len(hosts))
		for i, host := range hosts {
			h := g.hosts[host]
			s.hostStates = append(s.hostStates, h)
			weights[i] = minDemand + max(0, h.demandByService[service])
		}
		s.rebalance(weights)
	}
}

// serviceSplit divides the slots of one service among hosts.
type serviceSplit struct {
	hostStates []*hostState
	backends   []*backendState
	// surplus is the number of slots by which the targets of each host exceed its share.
	surplus []int
}

// rebalance adjusts the targets so that each host's total is proportional to its weight.
func (s *serviceSplit) rebalance(weights []float64) {
	total := 0
	for _, b := range s.backends {
		total += b.Capacity
	}
	parts := apportion(total, weights)
	for i, h := range s.hostStates {
		for _, b := range s.backends {
			s.surplus[i] += h.target[b.ID]
		}
		s.surplus[i] -= parts[i]
	}
	for i, h := range s.hostStates {
		for s.surplus[i] > 0 {
			h.target[s.largestBackend(h)]--
			s.surplus[i]--
		}
	}
	for _, b := range s.backends {
		s.fillBackend(b)
	}
}

// fillBackend adjusts the targets on a backend server until they add up to its capacity.
func (s *serviceSplit) fillBackend(b *backendState) {
	unassigned := b.Capacity
	for _, h := range s.hostStates {
		unassigned -= h.target[b.ID]
	}
	for ; unassigned < 0; unassigned++ {
		i := s.argMax(func(i int) float64 { return float64(s.hostStates[i].target[b.ID]) })
		s.hostStates[i].target[b.ID]--
		s.surplus[i]--
	}
	for ; unassigned > 0; unassigned-- {
		// Choose the host furthest below its share; among equals, the one with the lowest target here.
		i := s.argMax(func(i int) float64 {
			return float64(-s.surplus[i]) - float64(s.hostStates[i].target[b.ID])/float64(b.Capacity+1)
		})
		s.hostStates[i].target[b.ID]++
		s.surplus[i]++
	}
}

// largestBackend returns the backend server on which the host has the highest target.
func (s *serviceSplit) largestBackend(h *hostState) string {
	best := s.backends[0].ID
	for _, b := range s.backends {
		if h.target[b.ID] > h.target[best] {
			best = b.ID
		}
	}
	return best
}

// argMax returns the index of the host with the highest score.
func (s *serviceSplit) argMax(score func(i int) float64) int {
	best, most := 0, math.Inf(-1)
	for i := range s.hostStates {
		if v := score(i); v > most {
			best, most = i, v
		}
	}
	return best
}

// apportion divides total into integer parts in proportion to the weights, by the largest-remainder
// method.
func apportion(total int, weights []float64) []int {
	sum := 0.0
	for _, w := range weights {
		sum += w
	}
	parts, order, left := make([]int, len(weights)), make([]int, len(weights)), total
	remainders := make([]float64, len(weights))
	for i, w := range weights {
		exact := float64(total) * w / sum
		parts[i] = int(exact)
		remainders[i], order[i] = exact-math.Floor(exact), i
		left -= parts[i]
	}
	slices.SortStableFunc(order, func(a, b int) int {
		switch {
		case remainders[a] > remainders[b]:
			return -1
		case remainders[a] < remainders[b]:
			return 1
		}
		return 0
	})
	for i := range left {
		parts[order[i%len(order)]]++
	}
	return parts
}
