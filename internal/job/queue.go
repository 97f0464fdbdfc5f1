package job

import (
	"container/heap"
	"time"

	"github.com/rotisserie/eris"
)

// defaultLimit bounds the tasks that wait in one shard.
const defaultLimit = 200_000

// Errors that Add returns.
var (
	// ErrDuplicate says that a task with the same id waits already.
	ErrDuplicate = eris.New("task waits already")
	// ErrFull says that the queue holds as many tasks as it may.
	ErrFull = eris.New("queue is full")
)

// Queue orders the tasks of a shard that wait.
type Queue struct {
	cancels []cancellation
	// dead counts the entries of the heaps that are gone.
	dead    int
	delayed entryHeap
	jobs    map[string]*jobTasks
	kept    float64
	levels  [MaxPriority + 1]level
	limit   int
	rates   map[string]*rate
	tasks   map[string]*entry
	weight  func(team string) float64
}

// Option sets a field of a Queue.
type Option func(*Queue)

// NewQueue returns an empty queue in which all teams have the same weight.
func NewQueue(opts ...Option) *Queue {
	q := &Queue{
		delayed: entryHeap{key: notBeforeOf},
		jobs:    map[string]*jobTasks{},
		limit:   defaultLimit,
		rates:   map[string]*rate{},
		tasks:   map[string]*entry{},
		weight:  func(string) float64 { return 1 },
	}
	for _, opt := range opts {
		opt(q)
	}
	return q
}

// WithKeptRate lets each work keep the given fraction of its recent rate of starts ahead of the order by
// priority. It protects works from a flood of urgent ones; 0 keeps only a small rate that prevents
// starvation.
func WithKeptRate(fraction float64) Option { return func(q *Queue) { q.kept = fraction } }

// WithLimit sets the number of tasks that may wait.
func WithLimit(n int) Option { return func(q *Queue) { q.limit = n } }

// WithWeight sets the weight of a team, usually its share of the quotas. Weights of 0 or less count as 1.
func WithWeight(weight func(team string) float64) Option { return func(q *Queue) { q.weight = weight } }

// Add enters a task; errors match ErrDuplicate or ErrFull. A task of a job whose cancellation is under
// way is cancelled with it.
func (q *Queue) Add(t Task) error {
	if _, ok := q.tasks[t.ID]; ok {
		return eris.Wrapf(ErrDuplicate, "task %s", t.ID)
	}
	if len(q.tasks) >= q.limit {
		return eris.Wrapf(ErrFull, "task %s, %d tasks wait", t.ID, len(q.tasks))
	}
	e := &entry{Task: t}
	q.tasks[t.ID] = e
	j, ok := q.jobs[t.Job]
	if !ok {
		j = &jobTasks{}
		q.jobs[t.Job] = j
	}
	j.entries = append(j.entries, e)
	j.live++
	q.levels[e.level()].enter(e.Team)
	q.enqueue(e)
	return nil
}

// Batch takes up to n tasks in the order in which they should start. Each must be passed to Started or
// to PutBack; several batches may be taken before, to pass over tasks that find no room.
func (q *Queue) Batch(now time.Time, n int) []Task {
	q.wake(now)
	var out []Task
	for len(out) < n {
		e := q.next(now)
		if e == nil {
			break
		}
		e.state = stateTaken
		q.charge(e, now, 1)
		t := e.Task
		t.BeyondRate = q.kept > 0 && !e.kept
		out = append(out, t)
	}
	return out
}

// Len returns the number of tasks that wait or are taken.
func (q *Queue) Len() int { return len(q.tasks) }

// PutBack returns a taken task that was not started; it may carry a new NotBefore. Its team and work are
// not charged. A task that was cancelled meanwhile stays out.
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
	q.rate(e.Work, now).started(now)
	q.remove(e)
}

func (q *Queue) charge(e *entry, now time.Time, sign float64) {
	if e.kept {
		q.rate(e.Work, now).tokens -= sign
	}
	weight := q.weight(e.Team)
	if weight <= 0 {
		weight = 1
	}
	q.levels[e.level()].served[e.Team] += sign * e.cores() / weight
}

func (q *Queue) enqueue(e *entry) {
	if !e.NotBefore.IsZero() {
		heap.Push(&q.delayed, e)
		return
	}
	q.levels[e.level()].add(e)
}

// next serves first, by priority, works that have not reached the rate that they keep; then all others.
func (q *Queue) next(now time.Time) *entry {
	below := func(work string) bool { return q.rate(work, now).tokens >= 1 }
	anyWork := func(string) bool { return true }
	for pass, admit := range []func(string) bool{below, anyWork} {
		for i := MaxPriority; i >= 0; i-- {
			for q.levels[i].waiting > 0 {
				e := q.levels[i].next(admit)
				if e == nil {
					break
				}
				if e.state == stateWaiting && !q.jobs[e.Job].cancelled {
					e.kept = pass == 0
					return e
				}
				q.skip(e)
			}
		}
	}
	return nil
}

// remove forgets an entry; heaps and lists drop it later.
func (q *Queue) remove(e *entry) {
	e.state = stateGone
	delete(q.tasks, e.ID)
	q.levels[e.level()].leave(e.Team)
	j := q.jobs[e.Job]
	j.live--
	if j.live == 0 && !j.cancelled {
		delete(q.jobs, e.Job)
		return
	}
	j.compact()
}

// skip accounts for an entry that left a heap without being taken. The entry of a cancelled job stays in
// the list of its job until the cancellation reaches it.
func (q *Queue) skip(e *entry) {
	if e.state == stateGone {
		q.dead--
		return
	}
	e.state = stateTaken
}

func (q *Queue) wake(now time.Time) {
	for q.delayed.Len() > 0 {
		e := q.delayed.entries[0]
		if e.state == stateWaiting && e.NotBefore.After(now) {
			return
		}
		heap.Pop(&q.delayed)
		if e.state != stateWaiting {
			q.skip(e)
			continue
		}
		q.levels[e.level()].add(e)
	}
}

func dueOf(e *entry) time.Time { return e.due() }

func notBeforeOf(e *entry) time.Time { return e.NotBefore }
