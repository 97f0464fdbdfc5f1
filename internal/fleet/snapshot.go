package fleet

import (
	"maps"
	"slices"
	"strings"
)

// Snapshot is an immutable copy of the host list.
type Snapshot struct {
	hosts map[string]Host
}

// NewSnapshot returns a snapshot of the given hosts.
func NewSnapshot(hosts ...Host) Snapshot {
	s := Snapshot{hosts: make(map[string]Host, len(hosts))}
	for _, h := range hosts {
		s.hosts[h.ID] = h
	}
	return s
}

// EntryHosts returns the entry hosts of a zone, or of all zones if zone is empty, sorted by id.
func (s Snapshot) EntryHosts(zone string) []Host {
	return s.filter(func(h Host) bool {
		return h.Kind == KindEntryHost && (zone == "" || h.Zone == zone)
	})
}

// Host returns the record of a host.
func (s Snapshot) Host(id string) (Host, bool) {
	h, ok := s.hosts[id]
	return h, ok
}

// Workers returns the workers of a zone, or of all zones if zone is empty, sorted by id.
func (s Snapshot) Workers(zone string) []Host {
	return s.filter(func(h Host) bool {
		return h.Kind == KindWorker && (zone == "" || h.Zone == zone)
	})
}

// WorkersOf returns the workers of a shard, sorted by id; shards is the number of shards of its zone.
func (s Snapshot) WorkersOf(id ShardID, shards int) []Host {
	return s.filter(func(h Host) bool {
		return h.Kind == KindWorker && h.Zone == id.Zone && ShardOf(h.Zone, h.Rack, shards) == id
	})
}

// Zones returns the names of all zones with hosts, sorted.
func (s Snapshot) Zones() []string {
	zones := map[string]bool{}
	for _, h := range s.hosts {
		zones[h.Zone] = true
	}
	return slices.Sorted(maps.Keys(zones))
}

func (s Snapshot) filter(keep func(Host) bool) []Host {
	var out []Host
	for _, h := range s.hosts {
		if keep(h) {
			out = append(out, h)
		}
	}
	slices.SortFunc(out, func(a, b Host) int { return strings.Compare(a.ID, b.ID) })
	return out
}
