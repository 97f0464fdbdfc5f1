package entry_test

import (
	"slices"
	"strings"

	"github.com/laburnumridge/laburnumridge/internal/kvstore"
)

// compact drops the history that watches need to continue.
func (s *memoryStore) compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.compactions++
	s.compactedAt = s.revision
	s.notify()
}

// cutWatches ends all watches without a reason.
func (s *memoryStore) cutWatches() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cuts++
	s.notify()
}

func (s *memoryStore) cutCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.cuts
}

// lacksHistory reports whether the changes after a revision are no longer there.
func (s *memoryStore) lacksHistory(revision int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return revision < s.compactedAt
}

func (s *memoryStore) compactionCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.compactions
}

// eventsAfter returns the events of a prefix after a revision, and a channel that is closed at the next change.
func (s *memoryStore) eventsAfter(prefix string, revision int64) ([]kvstore.Event, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if prefix == s.unwatchedPrefix {
		return nil, s.changed
	}
	first, _ := slices.BinarySearchFunc(s.events, revision+1, func(e storeEvent, r int64) int { return int(e.KV.ModRevision - r) })
	var out []kvstore.Event
	for _, e := range s.events[first:] {
		if strings.HasPrefix(e.KV.Key, prefix) {
			out = append(out, e.Event)
		}
	}
	return out, s.changed
}
