package exchange

import (
	"slices"

	"github.com/laburnumridge/laburnumridge/internal/fleet"
	"github.com/laburnumridge/laburnumridge/internal/shard"
)

// Capacities holds what the empty workers of each shard could hold.
type Capacities map[int]map[workerKind][]fleet.Resources

// workerKind identifies the workers of a service that have a label.
type workerKind struct{ label, service string }

// Add adds a worker of a shard.
func (c Capacities) Add(n int, w shard.Worker) {
	if w.Draining {
		return
	}
	if c[n] == nil {
		c[n] = map[workerKind][]fleet.Resources{}
	}
	c.add(n, workerKind{service: w.Service}, w.Capacity)
	for _, label := range w.Labels {
		c.add(n, workerKind{label, w.Service}, w.Capacity)
	}
}

// add keeps the capacities of which none is larger than another one in all dimensions.
func (c Capacities) add(n int, k workerKind, capacity fleet.Resources) {
	known := c[n][k]
	if slices.ContainsFunc(known, capacity.FitsIn) {
		return
	}
	known = slices.DeleteFunc(known, func(r fleet.Resources) bool { return r.FitsIn(capacity) })
	c[n][k] = append(known, capacity)
}

// Holds reports whether a worker of a shard could hold a task of a demand if it were empty.
func (c Capacities) Holds(n int, d shard.Demand) bool {
	return slices.ContainsFunc(c[n][workerKind{d.Label, d.Service}], d.Resources.FitsIn)
}
