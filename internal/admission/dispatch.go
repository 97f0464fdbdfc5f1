package admission

import "time"

// canFinish reports whether a request that starts at a time is likely to meet its deadline. A kind
// with nothing running starts one in any case that is not yet late: without it, one slow period
// would keep the estimate high with no request left to correct it.
func canFinish(start time.Time, k *kind, r Request) bool {
	if r.Deadline.IsZero() {
		return true
	}
	if k.inUse == 0 && k.queued <= 1 {
		return start.Before(r.Deadline)
	}
	return !start.Add(k.tail()).After(r.Deadline)
}

// dispatch starts queued requests while slots are free, and drops those that come too late.
func (q *Queue) dispatch(now time.Time) []Outcome {
	var out []Outcome
	for q.inUse < q.capacity && q.queued > 0 {
		if q.policy == PolicySingleQueue {
			r := q.single.popOldest()
			q.queued--
			k := q.kindOf(r.Kind)
			q.start(k, k.teamOf(r.Team, q.teamShares), r)
			out = append(out, Outcome{Decision: Decision{Verdict: VerdictAdmitted}, Request: r})
			continue
		}
		k := q.neediest()
		t := k.neediest()
		r := t.requests.popOldest()
		if !canFinish(now, k, r) {
			out = append(out, q.drop(k, t, r))
			k.dropIdleTeam(t)
			continue
		}
		k.queued--
		q.queued--
		q.start(k, t, r)
		out = append(out, Outcome{Decision: Decision{Verdict: VerdictAdmitted}, Request: r})
	}
	return out
}

func (q *Queue) drop(k *kind, t *team, r Request) Outcome {
	k.queued--
	q.queued--
	delete(q.known, r.ID)
	wait := k.wait(t, q.capacity, q.overall.service())
	return Outcome{Decision: refuse(ReasonExpired, wait), Request: r}
}

// neediest returns the kind with queued work that uses least of its share.
func (q *Queue) neediest() *kind {
	var best *kind
	for _, k := range q.kinds {
		if k.queued > 0 && (best == nil || isNeedier(k.inUse, k.share, best.inUse, best.share)) {
			best = k
		}
	}
	return best
}

func (q *Queue) start(k *kind, t *team, r Request) {
	q.inUse++
	k.inUse++
	t.inUse++
	q.known[r.ID] = place{isRunning: true, kind: r.Kind, team: r.Team}
}
