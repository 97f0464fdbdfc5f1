package entry

import (
	"github.com/laburnumridge/laburnumridge/internal/exchange"
	"github.com/laburnumridge/laburnumridge/internal/shard"
)

// registryRoom is, by shard and demand, how many tasks the registered workers could hold if they were empty, at most as many as the demand
// counts. Workers in evacuated zones and shards whose workers can hold none are left out.
type registryRoom map[int][]int

// of returns the room of a shard for the demand with an index.
func (r registryRoom) of(n, demand int) int {
	if room := r[n]; room != nil {
		return room[demand]
	}
	return 0
}

// registryRoom returns the room of all shards for some demands. It returns false while this host does not follow the registry, which only
// owners of shards do.
func (o *ownedShards) registryRoom(demands []shard.Demand) (registryRoom, bool) {
	for _, r := range o.allRunners() {
		if room, ok := r.registryRoom(demands); ok {
			return room, true
		}
	}
	return nil, false
}

// registryRoom is the same for a runner, which follows the registry once it has read it.
func (r *runner) registryRoom(demands []shard.Demand) (registryRoom, bool) {
	l, _, _ := r.host.directory.currentLayout()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.appliedLayout == 0 {
		return nil, false
	}
	out, evacuated := registryRoom{}, r.host.config.evacuations.Current()
	for _, w := range r.registry {
		n, ok := l.shardOf(w)
		if !ok || evacuated.Contains(w.Zone) {
			continue
		}
		for i, d := range demands {
			held := out.of(n, i)
			if more := d.FitEmpty(w, d.Count-held); more > 0 {
				if out[n] == nil {
					out[n] = make([]int, len(demands))
				}
				out[n][i] = held + more
			}
		}
	}
	return out, true
}

// capacities returns what the registered workers of each shard could hold if they were empty. It returns none while this host does not follow
// the registry.
func (r *runner) capacities() exchange.Capacities {
	l, _, _ := r.host.directory.currentLayout()
	out, evacuated := exchange.Capacities{}, r.host.config.evacuations.Current()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, w := range r.registry {
		if n, ok := l.shardOf(w); ok && !evacuated.Contains(w.Zone) {
			out.Add(n, w)
		}
	}
	return out
}
