package admission

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	// DefaultTeamLimit bounds the queue of one team within one service.
	DefaultTeamLimit = 1000
	// DefaultTotalLimit bounds all queues together.
	DefaultTotalLimit = 10_000

	maxRetryAfter = 30 * time.Second
	minRetryAfter = 50 * time.Millisecond
)

// Policy names how a queue orders and refuses requests.
type Policy string

// Policies. PolicySingleQueue is a baseline for measurements: one queue without shares or deadlines.
const (
	PolicyFairShares  Policy = "fair_shares"
	PolicySingleQueue Policy = "single_queue"
)

// Option configures a Queue.
type Option func(*Queue)

// Queue admits requests to the slots of an entry host. It is safe for concurrent use.
type Queue struct {
	capacity int
	inUse    int
	// requests holds the state of every queued or running request by id.
	requests           map[string]requestState
	services           []*serviceState
	mu                 sync.Mutex
	overallServiceTime serviceTimeEstimate
	policy             Policy
	queued             int
	serviceShares      map[string]float64
	singleQueue        fifo
	teamLimit          int
	teamShares         map[string]float64
	totalLimit         int
}

type requestState struct {
	isRunning     bool
	service, team string
}

// NewQueue returns a queue with the given number of slots.
func NewQueue(capacity int, options ...Option) *Queue {
	q := &Queue{
		capacity: capacity, requests: map[string]requestState{}, policy: PolicyFairShares,
		teamLimit: DefaultTeamLimit, totalLimit: DefaultTotalLimit,
	}
	for _, option := range options {
		option(q)
	}
	return q
}

// WithLimits bounds the queue of each team within a service, and all queues together.
func WithLimits(team, total int) Option {
	return func(q *Queue) { q.teamLimit, q.totalLimit = team, total }
}

// WithPolicy selects the policy; the default is PolicyFairShares.
func WithPolicy(p Policy) Option { return func(q *Queue) { q.policy = p } }

// Cancel removes a request from its queue and reports whether it was queued.
func (q *Queue) Cancel(id string) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	state, ok := q.requests[id]
	if !ok || state.isRunning {
		return false
	}
	delete(q.requests, id)
	q.queued--
	if q.policy == PolicySingleQueue {
		q.singleQueue.remove(id)
		return true
	}
	s := q.serviceOf(state.service)
	t := s.teamOf(state.team, q.teamShares)
	t.queue.remove(id)
	s.queued--
	s.removeIdleTeam(t)
	return true
}

// Done records the end of an admitted request and returns the queued requests that are admitted or dropped
// as a result. It ignores ids of requests that are not running.
func (q *Queue) Done(now time.Time, id string, serviceTime time.Duration, result Result) []Outcome {
	q.mu.Lock()
	defer q.mu.Unlock()
	state, ok := q.requests[id]
	if !ok || !state.isRunning {
		return nil
	}
	delete(q.requests, id)
	q.inUse--
	s := q.serviceOf(state.service)
	t := s.teamOf(state.team, q.teamShares)
	s.inUse--
	t.inUse--
	s.removeIdleTeam(t)
	if result == ResultOK {
		s.add(serviceTime)
		q.overallServiceTime.add(serviceTime)
	}
	return q.dispatch(now)
}

// Load returns the numbers of running and of queued requests.
func (q *Queue) Load() (running, queued int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.inUse, q.queued
}

// Offer admits, queues or refuses a request. Call Done when an admitted request has ended. The caller must
// check that the service exists, because its state is kept until SetShares is called without it.
func (q *Queue) Offer(now time.Time, r Request) Decision {
	q.mu.Lock()
	defer q.mu.Unlock()
	if _, ok := q.requests[r.ID]; ok {
		return Decision{Reason: ReasonDuplicate, RetryAfter: minRetryAfter, Verdict: VerdictRefused}
	}
	if q.policy == PolicySingleQueue {
		return q.offerSingle(r)
	}
	s := q.serviceOf(r.Service)
	t := s.teamOf(r.Team, q.teamShares)
	defer s.removeIdleTeam(t)
	if q.inUse < q.capacity && q.queued == 0 {
		if !canFinish(now, s, r) {
			return refuse(ReasonDeadline, 0)
		}
		q.start(s, t, r)
		return Decision{Verdict: VerdictAdmitted}
	}
	wait := s.predictWait(t, q.capacity, q.overallServiceTime.meanServiceTime())
	switch {
	case !canFinish(now.Add(wait), s, r):
		return refuse(ReasonDeadline, wait)
	case t.queue.len() >= q.teamLimit || q.queued >= q.totalLimit:
		return refuse(ReasonQueueFull, wait)
	}
	t.queue.push(r)
	s.queued++
	q.queued++
	q.requests[r.ID] = requestState{service: r.Service, team: r.Team}
	return Decision{Verdict: VerdictQueued, Wait: wait}
}

// SetCapacity sets the number of slots and returns the queued requests that are admitted or dropped as a
// result. Running requests above a lowered capacity are not interrupted.
func (q *Queue) SetCapacity(now time.Time, n int) []Outcome {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.capacity = n
	return q.dispatch(now)
}

// SetShares sets the shares, from 0 to 1, of the services in the capacity and of the teams in the slots of a
// service. A share that is not used is available to others. It returns the queued requests that are admitted or
// dropped as a result.
func (q *Queue) SetShares(now time.Time, services, teams map[string]float64) []Outcome {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.serviceShares, q.teamShares = maps.Clone(services), maps.Clone(teams)
	q.services = slices.DeleteFunc(q.services, func(s *serviceState) bool {
		_, ok := services[s.name]
		return !ok && s.inUse == 0 && s.queued == 0
	})
	for _, s := range q.services {
		s.share = max(minShare, services[s.name])
		for _, t := range s.teams {
			t.share = max(minShare, teams[t.name])
		}
	}
	return q.dispatch(now)
}

// Tick drops requests that are first in the queue of their team and can no longer meet their deadline, and starts
// those that may run. Call it about every 100 ms, because Done drops a request only when a slot is free for it.
func (q *Queue) Tick(now time.Time) []Outcome {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.policy == PolicySingleQueue {
		return q.dispatch(now)
	}
	var out []Outcome
	for _, s := range q.services {
		for _, t := range slices.Clone(s.teams) {
			for t.queue.len() > 0 && !canFinish(now, s, t.queue.oldest()) {
				out = append(out, q.dropExpired(s, t, t.queue.popOldest()))
			}
			s.removeIdleTeam(t)
		}
	}
	return append(out, q.dispatch(now)...)
}

// serviceOf returns the state of a service and creates it if it does not exist.
func (q *Queue) serviceOf(name string) *serviceState {
	i, ok := slices.BinarySearchFunc(q.services, name, func(s *serviceState, n string) int {
		return strings.Compare(s.name, n)
	})
	if !ok {
		q.services = slices.Insert(q.services, i, &serviceState{name: name, share: max(minShare, q.serviceShares[name])})
	}
	return q.services[i]
}

func (q *Queue) offerSingle(r Request) Decision {
	switch {
	case q.inUse < q.capacity && q.singleQueue.len() == 0:
		s := q.serviceOf(r.Service)
		q.start(s, s.teamOf(r.Team, q.teamShares), r)
		return Decision{Verdict: VerdictAdmitted}
	case q.queued >= q.totalLimit:
		return refuse(ReasonQueueFull, 0)
	}
	q.singleQueue.push(r)
	q.queued++
	q.requests[r.ID] = requestState{service: r.Service, team: r.Team}
	return Decision{Verdict: VerdictQueued}
}

func refuse(reason Reason, wait time.Duration) Decision {
	return Decision{
		Reason: reason, RetryAfter: min(max(wait, minRetryAfter), maxRetryAfter),
		Verdict: VerdictRefused, Wait: wait,
	}
}
