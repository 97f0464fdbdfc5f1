package admission

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	// DefaultTeamLimit bounds the queue of one team within one kind.
	DefaultTeamLimit = 1000
	// DefaultTotalLimit bounds all queues together.
	DefaultTotalLimit = 10_000

	maxRetryAfter = 30 * time.Second
	minRetryAfter = 50 * time.Millisecond
)

// Policy names how a queue orders and refuses requests.
type Policy string

// Policies; the second is the baseline of one queue without shares and deadline refusal.
const (
	PolicyFairShares  Policy = "fair_shares"
	PolicySingleQueue Policy = "single_queue"
)

// Option sets up a queue.
type Option func(*Queue)

// Queue admits requests to the slots of an entry host; it is safe for concurrent use.
type Queue struct {
	capacity int
	inUse    int
	// known holds the place of every queued or running request.
	known      map[string]place
	kinds      []*kind
	mu         sync.Mutex
	overall    estimate
	policy     Policy
	queued     int
	shares     map[string]float64
	single     fifo
	teamLimit  int
	teamShares map[string]float64
	totalLimit int
}

type place struct {
	isRunning  bool
	kind, team string
}

// NewQueue returns a queue with the given number of slots.
func NewQueue(capacity int, options ...Option) *Queue {
	q := &Queue{
		capacity: capacity, known: map[string]place{}, policy: PolicyFairShares,
		teamLimit: DefaultTeamLimit, totalLimit: DefaultTotalLimit,
	}
	for _, option := range options {
		option(q)
	}
	return q
}

// WithLimits bounds the queue of each team within a kind, and all queues together.
func WithLimits(team, total int) Option {
	return func(q *Queue) { q.teamLimit, q.totalLimit = team, total }
}

// WithPolicy selects the policy; the default is PolicyFairShares.
func WithPolicy(p Policy) Option { return func(q *Queue) { q.policy = p } }

// Cancel takes a request that is still queued out of its queue, and reports whether it was there.
func (q *Queue) Cancel(id string) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	p, ok := q.known[id]
	if !ok || p.isRunning {
		return false
	}
	delete(q.known, id)
	q.queued--
	if q.policy == PolicySingleQueue {
		q.single.remove(id)
		return true
	}
	k := q.kindOf(p.kind)
	t := k.teamOf(p.team, q.teamShares)
	t.requests.remove(id)
	k.queued--
	k.dropIdleTeam(t)
	return true
}

// Done records the end of an admitted request and returns the queued requests that this decides.
// Ids that are not running are ignored.
func (q *Queue) Done(now time.Time, id string, service time.Duration, result Result) []Outcome {
	q.mu.Lock()
	defer q.mu.Unlock()
	p, ok := q.known[id]
	if !ok || !p.isRunning {
		return nil
	}
	delete(q.known, id)
	q.inUse--
	k := q.kindOf(p.kind)
	t := k.teamOf(p.team, q.teamShares)
	k.inUse--
	t.inUse--
	k.dropIdleTeam(t)
	if result == ResultOK {
		k.add(service)
		q.overall.add(service)
	}
	return q.dispatch(now)
}

// Load returns the numbers of running and queued requests.
func (q *Queue) Load() (running, queued int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.inUse, q.queued
}

// Offer admits, queues or refuses a request. An admitted request is to be ended by Done. The caller
// checks that the kind exists: state of a kind stays until SetShares is called without it.
func (q *Queue) Offer(now time.Time, r Request) Decision {
	q.mu.Lock()
	defer q.mu.Unlock()
	if _, ok := q.known[r.ID]; ok {
		return Decision{Reason: ReasonDuplicate, RetryAfter: minRetryAfter, Verdict: VerdictRefused}
	}
	if q.policy == PolicySingleQueue {
		return q.offerSingle(r)
	}
	k := q.kindOf(r.Kind)
	t := k.teamOf(r.Team, q.teamShares)
	defer k.dropIdleTeam(t)
	if q.inUse < q.capacity && q.queued == 0 {
		if !canFinish(now, k, r) {
			return refuse(ReasonDeadline, 0)
		}
		q.start(k, t, r)
		return Decision{Verdict: VerdictAdmitted}
	}
	wait := k.wait(t, q.capacity, q.overall.service())
	switch {
	case !canFinish(now.Add(wait), k, r):
		return refuse(ReasonDeadline, wait)
	case t.requests.len() >= q.teamLimit || q.queued >= q.totalLimit:
		return refuse(ReasonQueueFull, wait)
	}
	t.requests.push(r)
	k.queued++
	q.queued++
	q.known[r.ID] = place{kind: r.Kind, team: r.Team}
	return Decision{Verdict: VerdictQueued, Wait: wait}
}

// SetCapacity changes the number of slots and returns the queued requests that this decides.
// Requests above a lowered number run to their end.
func (q *Queue) SetCapacity(now time.Time, n int) []Outcome {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.capacity = n
	return q.dispatch(now)
}

// SetShares sets the guaranteed part of the capacity of each kind, and of each kind's slots for each
// team, from 0 to 1, and returns the queued requests that this decides.
func (q *Queue) SetShares(now time.Time, kinds, teams map[string]float64) []Outcome {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.shares, q.teamShares = maps.Clone(kinds), maps.Clone(teams)
	q.kinds = slices.DeleteFunc(q.kinds, func(k *kind) bool {
		_, ok := kinds[k.name]
		return !ok && k.inUse == 0 && k.queued == 0
	})
	for _, k := range q.kinds {
		k.share = max(leastShare, kinds[k.name])
		for _, t := range k.teams {
			t.share = max(leastShare, teams[t.name])
		}
	}
	return q.dispatch(now)
}

// Tick drops queued requests that can no longer meet their deadline and starts those that may run.
// It is to be called about every 100 ms, for queues in which nothing ends.
func (q *Queue) Tick(now time.Time) []Outcome {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.policy == PolicySingleQueue {
		return q.dispatch(now)
	}
	var out []Outcome
	for _, k := range q.kinds {
		for _, t := range slices.Clone(k.teams) {
			for t.requests.len() > 0 && !canFinish(now, k, t.requests.oldest()) {
				out = append(out, q.drop(k, t, t.requests.popOldest()))
			}
			k.dropIdleTeam(t)
		}
	}
	return append(out, q.dispatch(now)...)
}

func (q *Queue) kindOf(name string) *kind {
	i, ok := slices.BinarySearchFunc(q.kinds, name, func(k *kind, n string) int {
		return strings.Compare(k.name, n)
	})
	if !ok {
		q.kinds = slices.Insert(q.kinds, i, &kind{name: name, share: max(leastShare, q.shares[name])})
	}
	return q.kinds[i]
}

func (q *Queue) offerSingle(r Request) Decision {
	switch {
	case q.inUse < q.capacity && q.single.len() == 0:
		k := q.kindOf(r.Kind)
		q.start(k, k.teamOf(r.Team, q.teamShares), r)
		return Decision{Verdict: VerdictAdmitted}
	case q.queued >= q.totalLimit:
		return refuse(ReasonQueueFull, 0)
	}
	q.single.push(r)
	q.queued++
	q.known[r.ID] = place{kind: r.Kind, team: r.Team}
	return Decision{Verdict: VerdictQueued}
}

func refuse(reason Reason, wait time.Duration) Decision {
	return Decision{
		Reason: reason, RetryAfter: min(max(wait, minRetryAfter), maxRetryAfter),
		Verdict: VerdictRefused, Wait: wait,
	}
}
