package admission

import "time"

// canFinish reports whether a request that starts at the given time is likely to meet its deadline. For a
// service with no request running it is enough that the deadline has not passed: otherwise one slow period
// would leave the estimate too high, with no request admitted to correct it.
func canFinish(start time.Time, s *serviceState, r Request) bool {
	if r.Deadline.IsZero() {
		return true
	}
	if s.inUse == 0 && s.queued <= 1 {
		return start.Before(r.Deadline)
	}
	return !start.Add(s.tailServiceTime()).After(r.Deadline)
}

// dispatch starts queued requests while slots are free, and drops those that would miss their deadline.
func (q *Queue) dispatch(now time.Time) []Outcome {
	var out []Outcome
	for q.inUse < q.capacity && q.queued > 0 {
		if q.policy == PolicySingleQueue {
			r := q.singleQueue.popOldest()
			q.queued--
			s := q.serviceOf(r.Service)
			q.start(s, s.teamOf(r.Team, q.teamShares), r)
			out = append(out, Outcome{Decision: Decision{Verdict: VerdictAdmitted}, Request: r})
			continue
		}
		s := q.leastServed()
		t := s.leastServedTeam()
		r := t.queue.popOldest()
		if !canFinish(now, s, r) {
			out = append(out, q.dropExpired(s, t, r))
			s.removeIdleTeam(t)
			continue
		}
		s.queued--
		q.queued--
		q.start(s, t, r)
		out = append(out, Outcome{Decision: Decision{Verdict: VerdictAdmitted}, Request: r})
	}
	return out
}

func (q *Queue) dropExpired(s *serviceState, t *teamState, r Request) Outcome {
	s.queued--
	q.queued--
	delete(q.requests, r.ID)
	wait := s.predictWait(t, q.capacity, q.overallServiceTime.meanServiceTime())
	return Outcome{Decision: refuse(ReasonExpired, wait), Request: r}
}

// leastServed returns the service with queued requests that uses the smallest part of its share.
func (q *Queue) leastServed() *serviceState {
	var best *serviceState
	for _, s := range q.services {
		if s.queued > 0 && (best == nil || usesLessOfShare(s.inUse, s.share, best.inUse, best.share)) {
			best = s
		}
	}
	return best
}

func (q *Queue) start(s *serviceState, t *teamState, r Request) {
	q.inUse++
	s.inUse++
	t.inUse++
	q.requests[r.ID] = requestState{isRunning: true, service: r.Service, team: r.Team}
}
