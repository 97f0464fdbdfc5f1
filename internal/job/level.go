package job

import (
	"container/heap"
	"math"
	"slices"
	"strings"
)

// priorityLevel holds the waiting tasks of one priority. It is a weighted fair queue over teams: the team with the
// lowest virtual time is served first, and the virtual time of a team grows by the size of each task that it starts
// divided by the team's weight.
type priorityLevel struct {
	// activeTasks counts the waiting and taken tasks of each team.
	activeTasks map[string]int
	// virtualTime holds the virtual time of each team that has had tasks since the level was last empty.
	virtualTime map[string]float64
	teams       []*teamQueue
	waiting     int
}

type teamQueue struct {
	name      string
	workloads []*workloadQueue
}

type workloadQueue struct {
	entryHeap
	name string
}

func (l *priorityLevel) push(e *entry) {
	i, ok := slices.BinarySearchFunc(l.teams, e.Team, func(t *teamQueue, name string) int {
		return strings.Compare(t.name, name)
	})
	if !ok {
		l.teams = slices.Insert(l.teams, i, &teamQueue{name: e.Team})
	}
	t := l.teams[i]
	j, ok := slices.BinarySearchFunc(t.workloads, e.Work, func(w *workloadQueue, name string) int {
		return strings.Compare(w.name, name)
	})
	if !ok {
		t.workloads = slices.Insert(t.workloads, j, &workloadQueue{name: e.Work, entryHeap: entryHeap{key: dueOf}})
	}
	heap.Push(t.workloads[j], e)
	l.waiting++
}

// popNext removes and returns the first task of the team with the lowest virtual time, among the workloads for
// which admit returns true. It returns nil if there is none.
func (l *priorityLevel) popNext(admit func(work string) bool) *entry {
	var team *teamQueue
	var from *workloadQueue
	for _, t := range l.teams {
		if team != nil && l.virtualTime[t.name] >= l.virtualTime[team.name] {
			continue
		}
		if w := t.earliestDue(admit); w != nil {
			team, from = t, w
		}
	}
	if team == nil {
		return nil
	}
	e := heap.Pop(from).(*entry)
	l.waiting--
	l.removeIfEmpty(team, from)
	return e
}

// removeIfEmpty removes the queues of a workload and of a team if they became empty, so that only teams and workloads
// with waiting tasks have queues.
func (l *priorityLevel) removeIfEmpty(t *teamQueue, w *workloadQueue) {
	if w.Len() > 0 {
		return
	}
	t.workloads = slices.DeleteFunc(t.workloads, func(o *workloadQueue) bool { return o == w })
	if len(t.workloads) > 0 {
		return
	}
	l.teams = slices.DeleteFunc(l.teams, func(o *teamQueue) bool { return o == t })
}

// addActive counts a task that was added for a team. A team that was idle starts at the lowest virtual time of the
// other teams, so that it gets no credit for the time in which it had nothing to start.
func (l *priorityLevel) addActive(team string) {
	if l.activeTasks == nil {
		l.activeTasks, l.virtualTime = map[string]int{}, map[string]float64{}
	}
	if l.activeTasks[team] == 0 {
		lowest := math.Inf(1)
		for other := range l.activeTasks {
			lowest = min(lowest, l.virtualTime[other])
		}
		if len(l.activeTasks) > 0 {
			l.virtualTime[team] = max(l.virtualTime[team], lowest)
		}
	}
	l.activeTasks[team]++
}

// removeActive counts a task of a team that started or was cancelled. Virtual times are reset once the level is
// empty.
func (l *priorityLevel) removeActive(team string) {
	l.activeTasks[team]--
	if l.activeTasks[team] == 0 {
		delete(l.activeTasks, team)
	}
	if len(l.activeTasks) == 0 {
		clear(l.virtualTime)
	}
}

// compact rebuilds the queues from the waiting entries.
func (l *priorityLevel) compact() {
	var kept []*entry
	for _, t := range l.teams {
		for _, w := range t.workloads {
			for _, e := range w.entries {
				if e.state == stateWaiting {
					kept = append(kept, e)
				}
			}
		}
	}
	l.teams, l.waiting = nil, 0
	for _, e := range kept {
		l.push(e)
	}
}

// earliestDue returns the queue whose first task is due earliest, among the workloads for which admit returns
// true. It returns nil if there is none.
func (t *teamQueue) earliestDue(admit func(work string) bool) *workloadQueue {
	var best *workloadQueue
	for _, w := range t.workloads {
		if best != nil && !w.entries[0].due().Before(best.entries[0].due()) {
			continue
		}
		if admit(w.name) {
			best = w
		}
	}
	return best
}
