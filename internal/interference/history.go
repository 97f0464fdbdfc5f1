package interference

import (
	"maps"
	"slices"
	"time"
)

// Limits of the history of a worker. Reports are delayed by seconds, so older entries no longer match any sample.
const (
	maxEntries  = 64
	maxEntryAge = 2 * time.Minute
)

// TaskCount is the number of tasks of a batch work on a worker.
type TaskCount struct {
	Tasks int
	Work  string
}

// TaskSet describes the services and batch tasks that run on a worker.
type TaskSet struct {
	// Batch is the number of tasks of each batch work.
	Batch    map[string]int
	Services []string
	// Throttled is set if the batch tasks are throttled. The slowdown is then not representative of the batch works.
	Throttled bool
}

// historyEntry holds the batch tasks that run on a worker from the time since on.
type historyEntry struct {
	batch     []TaskCount
	since     time.Time
	throttled bool
}

// history holds the entries of a worker ordered by time; the last one describes the present tasks.
type history struct {
	entries []historyEntry
	// levels is the load level of the latest sample of each service.
	levels   map[string]Level
	services []string
}

func (h *history) record(at time.Time, set TaskSet) {
	var counts []TaskCount
	for _, work := range slices.Sorted(maps.Keys(set.Batch)) {
		if set.Batch[work] > 0 {
			counts = append(counts, TaskCount{Tasks: set.Batch[work], Work: work})
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
	h.entries = append(h.entries, historyEntry{batch: counts, since: at, throttled: set.Throttled})
	drop := max(0, len(h.entries)-maxEntries)
	for drop+1 < len(h.entries) && at.Sub(h.entries[drop+1].since) > maxEntryAge {
		drop++
	}
	h.entries = slices.Delete(h.entries, 0, drop)
}

// match returns the entry that applied during the whole window of a sample and StatusLearned, or the status that says why
// there is none.
func (h *history) match(s Sample) (historyEntry, Status) {
	for i := len(h.entries) - 1; i >= 0; i-- {
		e := h.entries[i]
		if e.since.After(s.Taken) {
			continue
		}
		if e.since.After(s.windowStart()) {
			return historyEntry{}, StatusTasksChanged
		}
		return e, StatusLearned
	}
	return historyEntry{}, StatusUnmatched
}

// currentBatch returns the batch tasks that run at present.
func (h *history) currentBatch() []TaskCount {
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
