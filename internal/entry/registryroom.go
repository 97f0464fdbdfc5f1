package entry

import "github.com/laburnumridge/laburnumridge/internal/shard"

// registryRoom is, by shard and demand, how many tasks the registered workers could hold if they were empty, at most as many as the demand
// counts. Shards whose workers can hold none are left out.
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
	out := registryRoom{}
	for _, w := range r.registry {
		n, ok := l.shardOf(w)
		if !ok {
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
