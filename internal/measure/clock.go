package measure

import (
	"container/heap"
	"time"
)

// runStart is the virtual time at which every run starts.
var runStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// clock is a discrete-event scheduler. Events run in the order of their virtual times, and those of the same time in
// the order in which they were added.
type clock struct {
	events eventHeap
	now    time.Time
	seq    uint64
}

type event struct {
	at  time.Time
	run func()
	seq uint64
}

type eventHeap []event

// Len implements heap.Interface.
func (e eventHeap) Len() int { return len(e) }

// Less implements heap.Interface.
func (e eventHeap) Less(i, j int) bool {
	if c := e[i].at.Compare(e[j].at); c != 0 {
		return c < 0
	}
	return e[i].seq < e[j].seq
}

// Pop implements heap.Interface.
func (e *eventHeap) Pop() any {
	old := *e
	last := old[len(old)-1]
	old[len(old)-1] = event{}
	*e = old[:len(old)-1]
	return last
}

// Push implements heap.Interface.
func (e *eventHeap) Push(x any) { *e = append(*e, x.(event)) }

// Swap implements heap.Interface.
func (e eventHeap) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// after runs an event d from now, or now if d is negative.
func (c *clock) after(d time.Duration, run func()) {
	c.seq++
	heap.Push(&c.events, event{at: c.now.Add(max(d, 0)), run: run, seq: c.seq})
}

// every runs f periodically, for the first time after one period.
func (c *clock) every(period time.Duration, f func()) {
	c.after(period, func() {
		f()
		c.every(period, f)
	})
}

// runUntil runs the events up to and including end and advances the clock to end.
func (c *clock) runUntil(end time.Time) {
	for len(c.events) > 0 && !c.events[0].at.After(end) {
		e := heap.Pop(&c.events).(event)
		c.now = e.at
		e.run()
	}
	c.now = end
}
