package evacuation_test

import (
	"errors"
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/sirupsen/logrus/hooks/test"
	"gotest.tools/v3/assert"

	"github.com/laburnumridge/laburnumridge/internal/evacuation"
	"github.com/laburnumridge/laburnumridge/internal/kvstore"
)

const prefix = "op/evacuate/"

func newSource() (*evacuation.Source, *test.Hook, *int) {
	log, hook := test.NewNullLogger()
	log.SetOutput(io.Discard)
	changes := 0
	decode := func(key string) (string, error) {
		if zone := strings.TrimPrefix(key, prefix); zone != "" {
			return zone, nil
		}
		return "", errors.New("no zone")
	}
	return evacuation.NewSource(prefix, decode, logrus.NewEntry(log), func() { changes++ }), hook, &changes
}

func key(zone string, revision int64) kvstore.KV {
	return kvstore.KV{Key: prefix + zone, ModRevision: revision}
}

func put(zone string, revision int64) kvstore.Event { return kvstore.Event{KV: key(zone, revision)} }

func remove(zone string, revision int64) kvstore.Event {
	return kvstore.Event{Deleted: true, KV: key(zone, revision)}
}

// Guards against an older view that replaces a newer one, whichever of the store and peers has it, and against an evacuation that stays in
// effect because its key was removed while the watch had lost the store's history.
func TestNewerViewCounts(t *testing.T) {
	set := func(revision int64, zones ...string) *evacuation.Set {
		s := &evacuation.Set{Revision: revision, Zones: map[string]evacuation.Zone{}}
		for _, z := range zones {
			s.Zones[z] = evacuation.Zone{}
		}
		return s
	}
	for name, tc := range map[string]struct {
		do      func(s *evacuation.Source)
		want    string
		changes int
	}{
		"read": {func(s *evacuation.Source) { s.Load([]kvstore.KV{key("a", 3), key("b/c%2F", 4)}, 9) }, "a b/c%2F", 1},
		"put and removed": {func(s *evacuation.Source) {
			s.Load(nil, 2)
			s.Apply([]kvstore.Event{put("a", 3), put("b", 4), remove("a", 5)})
		}, "b", 1},
		"read again": {func(s *evacuation.Source) {
			s.Load([]kvstore.KV{key("a", 3)}, 9)
			s.Load([]kvstore.KV{key("b", 10)}, 12)
		}, "b", 2},
		"older read": {func(s *evacuation.Source) { s.Merge(set(20, "a"), "p"); s.Load(nil, 12) }, "a", 1},
		"events in peer's": {func(s *evacuation.Source) {
			s.Merge(set(20, "a"), "p")
			s.Load(nil, 2)
			s.Apply([]kvstore.Event{put("b", 3), remove("b", 8)})
		}, "a", 1},
		"event after peer's": {func(s *evacuation.Source) {
			s.Merge(set(20, "a"), "p")
			s.Load(nil, 2)
			s.Apply([]kvstore.Event{remove("a", 21)})
		}, "", 2},
		"older peer": {func(s *evacuation.Source) { s.Load([]kvstore.KV{key("a", 3)}, 9); s.Merge(set(8, "b"), "p") }, "a", 1},
		"newer peer": {func(s *evacuation.Source) {
			s.Load([]kvstore.KV{key("a", 3)}, 9)
			s.Merge(set(10), "p")
			s.Merge(nil, "q")
		}, "", 2},
		"malformed": {func(s *evacuation.Source) {
			s.Load([]kvstore.KV{key("", 3), key("a", 4)}, 9)
			s.Apply([]kvstore.Event{put("", 10)})
		}, "a", 1},
	} {
		t.Run(name, func(t *testing.T) {
			s, hook, changes := newSource()
			assert.Check(t, !s.IsKnown())
			tc.do(s)
			assert.Check(t, s.IsKnown())
			assert.Equal(t, strings.Join(s.Current().Names(), " "), tc.want)
			assert.Equal(t, *changes, tc.changes)
			refused := 0
			for _, e := range hook.AllEntries() {
				if e.Data["decision"] == "evacuation_refused" && e.Data["key"] == prefix {
					refused++
				}
			}
			assert.Equal(t, refused, map[bool]int{true: 2}[name == "malformed"])
		})
	}
}

// Guards against a time of evacuation that begins anew with each read of the store, write of the key or answer of a peer.
func TestTimeOfEvacuationStays(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, _, _ := newSource()
		s.Load([]kvstore.KV{key("a", 3)}, 9)
		since := s.Current().Zones["a"].Since
		time.Sleep(time.Minute)
		s.Load([]kvstore.KV{key("a", 3)}, 12)
		s.Apply([]kvstore.Event{put("a", 14)})
		s.Merge(&evacuation.Set{Revision: 20, Zones: map[string]evacuation.Zone{"a": {Revision: 14, Since: since + 5}}}, "p")
		assert.DeepEqual(t, s.Current().Zones["a"], evacuation.Zone{Revision: 14, Since: since})
		s.Apply([]kvstore.Event{remove("a", 21)})
		s.Apply([]kvstore.Event{put("a", 22)})
		assert.Equal(t, s.Current().Zones["a"].Since, since+time.Minute.Milliseconds())
	})
}

// Guards against a misspelt zone that nobody notices, and against a log that repeats it with each change of the registry.
func TestUnknownZoneIsReportedOnce(t *testing.T) {
	s, hook, _ := newSource()
	s.Load([]kvstore.KV{key("a", 3), key("b", 3)}, 9)
	for _, known := range []string{"a", "a", "b", "a"} {
		s.ReportUnknown(map[string]bool{known: true})
	}
	var reported []any
	for _, e := range hook.AllEntries() {
		if e.Data["decision"] == "evacuation_unknown_zone" {
			reported = append(reported, e.Data["key"])
		}
	}
	assert.DeepEqual(t, reported, []any{prefix + "b", prefix + "a", prefix + "b"})
}
