package measure

import (
	"container/heap"
	"time"
)

// epoch is the virtual time at which every run starts.
var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// clock runs events in the order of their virtual times; events of one time run in the order of their
// creation.
type clock struct {
	events events
	now    time.Time
	seq    uint64
}

type event struct {
	at  time.Time
	run func()
	seq uint64
}

type events []event

// Len implements heap.Interface.
func (e events) Len() int { return len(e) }

// Less implements heap.Interface.
func (e events) Less(i, j int) bool {
	if c := e[i].at.Compare(e[j].at); c != 0 {
		return c < 0
	}
	return e[i].seq < e[j].seq
}

// Pop implements heap.Interface.
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	old[len(old)-1] = event{}
	*e = old[:len(old)-1]
	return last
}

// Push implements heap.Interface.
func (e *events) Push(x any) { *e = append(*e, x.(event)) }

// Swap implements heap.Interface.
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

func (c *clock) after(d time.Duration, run func()) {
	c.seq++
	heap.Push(&c.events, event{at: c.now.Add(max(d, 0)), run: run, seq: c.seq})
}

// every runs f at multiples of the period until the clock stops.
func (c *clock) every(period time.Duration, f func()) {
	c.after(period, func() {
		f()
		c.every(period, f)
	})
}

func (c *clock) runUntil(end time.Time) {
	for len(c.events) > 0 && !c.events[0].at.After(end) {
		e := heap.Pop(&c.events).(event)
		c.now = e.at
		e.run()
	}
	c.now = end
}
