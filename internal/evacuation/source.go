package evacuation

import (
	"expvar"
	"strings"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/laburnumridge/laburnumridge/internal/kvstore"
)

// evacuatedZones holds the time since when each evacuated zone is known to be evacuated.
var evacuatedZones = expvar.NewMap("entry_evacuated_zones")

// Source holds the newest set of evacuated zones that a host has seen.
type Source struct {
	current *Set
	decode  func(key string) (zone string, err error)
	log     *logrus.Entry
	mu      sync.Mutex
	// onChange is called after each change of the zones.
	onChange func()
	prefix   string
	// unknown holds the evacuated zones that were reported as having no worker.
	unknown map[string]bool
}

// NewSource returns a source without a set. Keys with the prefix request evacuations, and decode returns the zone that such a key names. An
// empty prefix stands for a platform without evacuations.
func NewSource(prefix string, decode func(key string) (string, error), log *logrus.Entry, onChange func()) *Source {
	return &Source{decode: decode, log: log, onChange: onChange, prefix: prefix}
}

// Current returns the newest set, or nil if none is known yet.
func (s *Source) Current() *Set {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.current
}

// IsKnown reports whether it is known which zones are evacuated.
func (s *Source) IsKnown() bool { return s.Current() != nil }

// NewerThan returns the set if its revision is higher than the given one, or nil.
func (s *Source) NewerThan(revision int64) *Set {
	if current := s.Current(); current != nil && current.Revision > revision {
		return current
	}
	return nil
}

// Revision returns the revision of the set, or 0 if none is known yet.
func (s *Source) Revision() int64 {
	if current := s.Current(); current != nil {
		return current.Revision
	}
	return 0
}

// Load replaces the set by the keys that were read from the store at a revision, unless it is newer.
func (s *Source) Load(kvs []kvstore.KV, revision int64) {
	set := &Set{Revision: revision, Zones: map[string]Zone{}}
	for _, kv := range kvs {
		if zone, ok := s.zone(kv); ok {
			set.Zones[zone] = Zone{Revision: kv.ModRevision, Since: time.Now().UnixMilli()}
		}
	}
	s.replace("store", func(old *Set) *Set { return old.replacedBy(set) })
}

// Apply applies events of the store that follow on what was loaded.
func (s *Source) Apply(events []kvstore.Event) {
	var changes []change
	for _, e := range events {
		if zone, ok := s.zone(e.KV); ok {
			changes = append(changes, change{Event: e, zone: zone})
		}
	}
	if len(changes) > 0 {
		s.replace("store", func(old *Set) *Set { return old.with(changes, time.Now().UnixMilli()) })
	}
}

// Merge replaces the set by the one of a peer if that is newer.
func (s *Source) Merge(set *Set, peer string) {
	if set != nil {
		s.replace("peer "+peer, func(old *Set) *Set { return old.replacedBy(set) })
	}
}

// zone returns the zone that a key names. It returns false for other keys and for malformed ones.
func (s *Source) zone(kv kvstore.KV) (string, bool) {
	if s.prefix == "" || !strings.HasPrefix(kv.Key, s.prefix) {
		return "", false
	}
	zone, err := s.decode(kv.Key)
	if err != nil {
		s.log.WithError(err).WithFields(logrus.Fields{"decision": "evacuation_refused", "key": kv.Key, "revision": kv.ModRevision}).
			Error("ignoring malformed evacuation key; the other ones stay in effect")
		return "", false
	}
	return zone, true
}

func (s *Source) replace(source string, next func(*Set) *Set) {
	s.mu.Lock()
	before := s.current
	s.current = next(before)
	isChanged := s.note(before, s.current, source)
	s.mu.Unlock()
	if isChanged {
		s.onChange()
	}
}

// note logs and exports the difference between two sets, and reports whether there is any.
func (s *Source) note(before, after *Set, source string) bool {
	isChanged := false
	for _, name := range after.Names() {
		if before.Contains(name) {
			continue
		}
		isChanged = true
		z := after.Zones[name]
		since := new(expvar.String)
		since.Set(time.UnixMilli(z.Since).UTC().Format(time.RFC3339))
		evacuatedZones.Set(name, since)
		s.log.WithFields(logrus.Fields{"decision": "evacuate_zone", "zone": name, "revision": z.Revision, "source": source}).
			Warn("zone is evacuated; nothing more is sent to its workers")
	}
	for _, name := range before.Names() {
		if after.Contains(name) {
			continue
		}
		isChanged = true
		evacuatedZones.Delete(name)
		s.log.WithFields(logrus.Fields{
			"decision": "return_zone", "zone": name, "revision": after.Revision, "source": source,
			"evacuated_for": time.Since(time.UnixMilli(before.Zones[name].Since)).String(),
		}).Info("zone is returned to service; its workers are used again")
	}
	return isChanged
}

// ReportUnknown logs each evacuated zone that is not among those of the registered workers, once while that lasts.
func (s *Source) ReportUnknown(known map[string]bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	unknown := map[string]bool{}
	for _, zone := range s.current.Names() {
		if known[zone] {
			continue
		}
		unknown[zone] = true
		if !s.unknown[zone] {
			s.log.WithFields(logrus.Fields{"decision": "evacuation_unknown_zone", "key": s.prefix + zone, "zone": zone}).
				Error("evacuation key names a zone without a registered worker; it counts for workers that register later")
		}
	}
	s.unknown = unknown
}
