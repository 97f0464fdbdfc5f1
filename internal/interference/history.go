package interference

import (
	"maps"
	"slices"
	"time"
)

// Bounds of the history of a worker. Reports lag by seconds, so older sets match nothing any more.
const (
	maxEntries = 64
	maxHistory = 2 * time.Minute
)

// Count is the number of tasks of a batch work on a worker.
type Count struct {
	Tasks int
	Work  string
}

// Set is what runs on a worker.
type Set struct {
	// Batch is the number of tasks of each batch work.
	Batch    map[string]int
	Services []string
	// Throttled says that the batch tasks are throttled. The slowdown then says nothing about the works.
	Throttled bool
}

// inForce is a set of tasks that runs on a worker from a time on.
type inForce struct {
	batch     []Count
	since     time.Time
	throttled bool
}

// history lists the sets of a worker in the order of their times; the last one is in force now.
type history struct {
	entries  []inForce
	levels   map[string]Level
	services []string
}

func (h *history) record(at time.Time, set Set) {
	var counts []Count
	for _, work := range slices.Sorted(maps.Keys(set.Batch)) {
		if set.Batch[work] > 0 {
			counts = append(counts, Count{Tasks: set.Batch[work], Work: work})
		}
	}
	h.services = slices.Clone(set.Services)
	maps.DeleteFunc(h.levels, func(s string, _ Level) bool { return !slices.Contains(set.Services, s) })
	if n := len(h.entries); n > 0 && slices.Equal(h.entries[n-1].batch, counts) &&
		h.entries[n-1].throttled == set.Throttled {
		return
	}
	for n := len(h.entries); n > 0 && !h.entries[n-1].since.Before(at); n-- {
		h.entries = h.entries[:n-1]
	}
	h.entries = append(h.entries, inForce{batch: counts, since: at, throttled: set.Throttled})
	drop := max(0, len(h.entries)-maxEntries)
	for drop+1 < len(h.entries) && at.Sub(h.entries[drop+1].since) > maxHistory {
		drop++
	}
	h.entries = slices.Delete(h.entries, 0, drop)
}

// match returns the set that was in force during the whole window of a sample.
func (h *history) match(s Sample) (inForce, Status) {
	for i := len(h.entries) - 1; i >= 0; i-- {
		e := h.entries[i]
		if e.since.After(s.Taken) {
			continue
		}
		if e.since.After(s.began()) {
			return inForce{}, StatusStraddles
		}
		return e, StatusLearned
	}
	return inForce{}, StatusUnmatched
}

// now returns the set in force.
func (h *history) now() []Count {
	if len(h.entries) == 0 {
		return nil
	}
	return h.entries[len(h.entries)-1].batch
}

func (h *history) level(service string) Level {
	if l, ok := h.levels[service]; ok {
		return l
	}
	return defaultLevel
}
