package job

import (
	"container/heap"
	"time"

	"github.com/rotisserie/eris"
)

// defaultLimit is the default number of tasks that may be queued in one shard.
const defaultLimit = 200_000

// Errors that Add returns.
var (
	// ErrDuplicate means that a task with the same id is already queued.
	ErrDuplicate = eris.New("task is already queued")
	// ErrFull means that the queue has reached its limit.
	ErrFull = eris.New("queue is full")
)

// Queue orders the waiting tasks of a shard: by priority, then by fair share between teams, then by deadline.
type Queue struct {
	cancels []cancellation
	// removedEntries counts the removed entries that are still in heaps.
	removedEntries int
	// delayed holds the entries with a NotBefore until it has passed.
	delayed      entryHeap
	jobs         map[string]*jobTasks
	keptFraction float64
	levels       [MaxPriority + 1]priorityLevel
	limit        int
	rates        map[string]*startRate
	tasks        map[string]*entry
	weight       func(team string) float64
}

// Option configures a Queue.
type Option func(*Queue)

// NewQueue returns an empty queue in which all teams have the same weight.
func NewQueue(opts ...Option) *Queue {
	q := &Queue{
		delayed: entryHeap{key: notBeforeOf},
		jobs:    map[string]*jobTasks{},
		limit:   defaultLimit,
		rates:   map[string]*startRate{},
		tasks:   map[string]*entry{},
		weight:  func(string) float64 { return 1 },
	}
	for _, opt := range opts {
		opt(q)
	}
	return q
}

// WithKeptRate sets the kept rate of each workload to the given fraction of its recent rate of starts. Tasks within the
// kept rate of their workload precede all others, whatever their priority, so that a flood of urgent tasks does not
// displace other workloads. With 0, workloads keep only a small rate that prevents starvation.
func WithKeptRate(fraction float64) Option { return func(q *Queue) { q.keptFraction = fraction } }

// WithLimit sets the number of tasks that may be queued.
func WithLimit(n int) Option { return func(q *Queue) { q.limit = n } }

// WithWeight sets the function that returns the weight of a team, usually its share of the quotas. Weights of 0 or
// less count as 1.
func WithWeight(weight func(team string) float64) Option { return func(q *Queue) { q.weight = weight } }

// Add adds a task. If its job is being cancelled, the task is cancelled with it. Errors match ErrDuplicate or
// ErrFull.
func (q *Queue) Add(t Task) error {
	if _, ok := q.tasks[t.ID]; ok {
		return eris.Wrapf(ErrDuplicate, "task %s", t.ID)
	}
	if len(q.tasks) >= q.limit {
		return eris.Wrapf(ErrFull, "task %s, %d tasks are queued", t.ID, len(q.tasks))
	}
	e := &entry{Task: t}
	q.tasks[t.ID] = e
	j, ok := q.jobs[t.Job]
	if !ok {
		j = &jobTasks{}
		q.jobs[t.Job] = j
	}
	j.entries = append(j.entries, e)
	j.remaining++
	q.levels[e.clampedPriority()].addActive(e.Team)
	q.enqueue(e)
	return nil
}

// Take takes up to n tasks in the order in which they should start. Each must be passed to Started or PutBack later.
// More tasks may be taken before that, to try them if no worker has room for the first ones.
func (q *Queue) Take(now time.Time, n int) []Task {
	q.enqueueDue(now)
	var out []Task
	for len(out) < n {
		e := q.next(now)
		if e == nil {
			break
		}
		e.state = stateTaken
		q.charge(e, now, 1)
		t := e.Task
		t.BeyondRate = q.keptFraction > 0 && !e.withinKeptRate
		out = append(out, t)
	}
	return out
}

// Len returns the number of waiting and taken tasks.
func (q *Queue) Len() int { return len(q.tasks) }

// PutBack returns a taken task that was not started to the queue, and refunds its team and workload. The task may
// carry a new NotBefore. A task that was cancelled meanwhile is not put back.
func (q *Queue) PutBack(now time.Time, t Task) {
	e, ok := q.tasks[t.ID]
	if !ok || e.state != stateTaken {
		return
	}
	q.charge(e, now, -1)
	e.NotBefore = t.NotBefore
	e.state = stateWaiting
	q.enqueue(e)
}

// Started removes a taken task that has been bound to a worker.
func (q *Queue) Started(now time.Time, id string) {
	e, ok := q.tasks[id]
	if !ok || e.state != stateTaken {
		return
	}
	q.rate(e.Work, now).recordStart(now)
	q.remove(e)
}

// charge adds the size of the task to the virtual time of its team, and takes a token of its workload if the task was taken
// within the kept rate. A sign of -1 refunds both.
func (q *Queue) charge(e *entry, now time.Time, sign float64) {
	if e.withinKeptRate {
		q.rate(e.Work, now).tokens -= sign
	}
	weight := q.weight(e.Team)
	if weight <= 0 {
		weight = 1
	}
	q.levels[e.clampedPriority()].virtualTime[e.Team] += sign * e.coreEquivalents() / weight
}

func (q *Queue) enqueue(e *entry) {
	if !e.NotBefore.IsZero() {
		heap.Push(&q.delayed, e)
		return
	}
	q.levels[e.clampedPriority()].push(e)
}

// next returns the next task to take, or nil. Workloads that are below their kept rate come first, then all workloads,
// each by priority.
func (q *Queue) next(now time.Time) *entry {
	belowKeptRate := func(work string) bool { return q.rate(work, now).tokens >= 1 }
	anyWork := func(string) bool { return true }
	for pass, admit := range []func(string) bool{belowKeptRate, anyWork} {
		for i := MaxPriority; i >= 0; i-- {
			for q.levels[i].waiting > 0 {
				e := q.levels[i].popNext(admit)
				if e == nil {
					break
				}
				if e.state == stateWaiting && !q.jobs[e.Job].cancelled {
					e.withinKeptRate = pass == 0
					return e
				}
				q.discardPopped(e)
			}
		}
	}
	return nil
}

// remove marks an entry as removed; heaps and lists drop it later.
func (q *Queue) remove(e *entry) {
	e.state = stateRemoved
	delete(q.tasks, e.ID)
	q.levels[e.clampedPriority()].removeActive(e.Team)
	j := q.jobs[e.Job]
	j.remaining--
	if j.remaining == 0 && !j.cancelled {
		delete(q.jobs, e.Job)
		return
	}
	j.compact()
}

// discardPopped updates the state after an entry was popped from a heap but not taken. An entry of a cancelled job
// remains in the list of its job until CancelStep reaches it.
func (q *Queue) discardPopped(e *entry) {
	if e.state == stateRemoved {
		q.removedEntries--
		return
	}
	e.state = stateTaken
}

// enqueueDue moves delayed tasks whose NotBefore has passed to the queues of their priority.
func (q *Queue) enqueueDue(now time.Time) {
	for q.delayed.Len() > 0 {
		e := q.delayed.entries[0]
		if e.state == stateWaiting && e.NotBefore.After(now) {
			return
		}
		heap.Pop(&q.delayed)
		if e.state != stateWaiting {
			q.discardPopped(e)
			continue
		}
		q.levels[e.clampedPriority()].push(e)
	}
}

func dueOf(e *entry) time.Time { return e.due() }

func notBeforeOf(e *entry) time.Time { return e.NotBefore }
