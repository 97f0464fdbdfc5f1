package job

import (
	"cmp"
	"time"
)

type state int

const (
	stateWaiting state = iota
	// stateTaken is the state of entries that were taken and not yet passed to Started or PutBack.
	stateTaken
	// stateRemoved is the state of entries that started or were cancelled. Heaps and lists drop them later.
	stateRemoved
)

type entry struct {
	Task
	// withinKeptRate is set if the entry was taken within the kept rate of its workload, and used one of its tokens.
	withinKeptRate bool
	state          state
}

// entryHeap orders entries by key, then by id, so that the order is deterministic.
type entryHeap struct {
	entries []*entry
	key     func(*entry) time.Time
}

func (h *entryHeap) Len() int { return len(h.entries) }

func (h *entryHeap) Less(i, j int) bool {
	a, b := h.entries[i], h.entries[j]
	return cmp.Or(h.key(a).Compare(h.key(b)), cmp.Compare(a.ID, b.ID)) < 0
}

func (h *entryHeap) Pop() any {
	last := len(h.entries) - 1
	e := h.entries[last]
	h.entries[last] = nil
	h.entries = h.entries[:last]
	return e
}

func (h *entryHeap) Push(x any) { h.entries = append(h.entries, x.(*entry)) }

func (h *entryHeap) Swap(i, j int) { h.entries[i], h.entries[j] = h.entries[j], h.entries[i] }
