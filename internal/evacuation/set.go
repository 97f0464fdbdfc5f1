package evacuation

import (
	"maps"
	"slices"

	"github.com/laburnumridge/laburnumridge/internal/kvstore"
)

// Zone is an evacuated zone.
type Zone struct {
	// Revision is the store revision of the key that requests the evacuation.
	Revision int64 `json:"revision"`
	// Since is when a host first learned of the evacuation, in Unix milliseconds.
	Since int64 `json:"since"`
}

// Set is the set of evacuated zones at a store revision, by name. It is not changed once it is in use.
type Set struct {
	Revision int64           `json:"revision"`
	Zones    map[string]Zone `json:"zones,omitempty"`
}

// Contains reports whether a zone is evacuated. A nil set contains none.
func (s *Set) Contains(zone string) bool {
	if s == nil {
		return false
	}
	_, ok := s.Zones[zone]
	return ok
}

// Names returns the names of the zones in order.
func (s *Set) Names() []string {
	if s == nil {
		return nil
	}
	return slices.Sorted(maps.Keys(s.Zones))
}

// replacedBy returns the newer one of two sets. Zones that are in both keep the time since when they are evacuated. Of two sets of one
// revision the other one counts, which was read from the store after it had lost history.
func (s *Set) replacedBy(other *Set) *Set {
	if s == nil {
		return other
	}
	if other.Revision < s.Revision {
		return s
	}
	next := &Set{Revision: other.Revision, Zones: maps.Clone(other.Zones)}
	for name, z := range next.Zones {
		if known, ok := s.Zones[name]; ok {
			z.Since = known.Since
			next.Zones[name] = z
		}
	}
	return next
}

// change is an event of the key of a zone.
type change struct {
	kvstore.Event
	zone string
}

// with returns the set after changes that the store reported at a time. Those before the revision of the set are in it already: it may come
// from a peer.
func (s *Set) with(changes []change, now int64) *Set {
	next := &Set{Revision: s.Revision, Zones: maps.Clone(s.Zones)}
	if next.Zones == nil {
		next.Zones = map[string]Zone{}
	}
	for _, c := range changes {
		revision := c.KV.ModRevision
		if revision < s.Revision {
			continue
		}
		next.Revision = max(next.Revision, revision)
		if c.Deleted {
			delete(next.Zones, c.zone)
			continue
		}
		z, ok := next.Zones[c.zone]
		if !ok {
			z.Since = now
		}
		z.Revision = revision
		next.Zones[c.zone] = z
	}
	return next
}
