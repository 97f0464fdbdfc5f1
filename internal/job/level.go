package job

import (
	"container/heap"
	"math"
	"slices"
	"strings"
)

// level holds the waiting tasks of one priority. Teams are served by the least virtual time, which grows
// with the size of what they start divided by their weight.
type level struct {
	// active counts the tasks of each team that wait or are taken.
	active map[string]int
	// served is the virtual time of each team that has been active since no team was.
	served  map[string]float64
	teams   []*teamQueue
	waiting int
}

type teamQueue struct {
	name  string
	works []*workQueue
}

type workQueue struct {
	entryHeap
	name string
}

func (l *level) add(e *entry) {
	i, ok := slices.BinarySearchFunc(l.teams, e.Team, func(t *teamQueue, name string) int {
		return strings.Compare(t.name, name)
	})
	if !ok {
		l.teams = slices.Insert(l.teams, i, &teamQueue{name: e.Team})
	}
	t := l.teams[i]
	j, ok := slices.BinarySearchFunc(t.works, e.Work, func(w *workQueue, name string) int {
		return strings.Compare(w.name, name)
	})
	if !ok {
		t.works = slices.Insert(t.works, j, &workQueue{name: e.Work, entryHeap: entryHeap{key: dueOf}})
	}
	heap.Push(t.works[j], e)
	l.waiting++
}

// next removes and returns the first task of the team with the least virtual time that has work admitted
// by the filter, or nil.
func (l *level) next(admit func(work string) bool) *entry {
	var team *teamQueue
	var from *workQueue
	for _, t := range l.teams {
		if team != nil && l.served[t.name] >= l.served[team.name] {
			continue
		}
		if w := t.first(admit); w != nil {
			team, from = t, w
		}
	}
	if team == nil {
		return nil
	}
	e := heap.Pop(from).(*entry)
	l.waiting--
	l.dropEmpty(team, from)
	return e
}

// dropEmpty removes queues that became empty, so that their number follows the work that waits.
func (l *level) dropEmpty(t *teamQueue, w *workQueue) {
	if w.Len() > 0 {
		return
	}
	t.works = slices.DeleteFunc(t.works, func(o *workQueue) bool { return o == w })
	if len(t.works) > 0 {
		return
	}
	l.teams = slices.DeleteFunc(l.teams, func(o *teamQueue) bool { return o == t })
}

// enter counts a task of a team. A team that was idle starts at the least virtual time of the others, so
// that it gets no credit for the time in which it had nothing to start.
func (l *level) enter(team string) {
	if l.active == nil {
		l.active, l.served = map[string]int{}, map[string]float64{}
	}
	if l.active[team] == 0 {
		least := math.Inf(1)
		for other := range l.active {
			least = min(least, l.served[other])
		}
		if len(l.active) > 0 {
			l.served[team] = max(l.served[team], least)
		}
	}
	l.active[team]++
}

// leave counts a task of a team that started or was cancelled.
func (l *level) leave(team string) {
	l.active[team]--
	if l.active[team] == 0 {
		delete(l.active, team)
	}
	if len(l.active) == 0 {
		clear(l.served)
	}
}

// compact rebuilds the queues without entries that are gone.
func (l *level) compact() {
	var kept []*entry
	for _, t := range l.teams {
		for _, w := range t.works {
			for _, e := range w.entries {
				if e.state == stateWaiting {
					kept = append(kept, e)
				}
			}
		}
	}
	l.teams, l.waiting = nil, 0
	for _, e := range kept {
		l.add(e)
	}
}

// first returns the queue of an admitted work whose first task is due first, or nil.
func (t *teamQueue) first(admit func(work string) bool) *workQueue {
	var best *workQueue
	for _, w := range t.works {
		if best != nil && !w.entries[0].due().Before(best.entries[0].due()) {
			continue
		}
		if admit(w.name) {
			best = w
		}
	}
	return best
}
