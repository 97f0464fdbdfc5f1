package shard_test

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/laburnumridge/laburnumridge/internal/fleet"
	"github.com/laburnumridge/laburnumridge/internal/shard"
)

func (f *fakeWorker) reserved() fleet.Resources {
	var sum fleet.Resources
	for _, r := range f.runs {
		sum = sum.Add(r.demand)
	}
	return sum
}

// endDueRuns ends the runs that are due, or all runs if the lease has expired.
func (w *simulation) endDueRuns(f *fakeWorker) {
	expired := w.clock(f) > f.leaseEnd
	if expired {
		f.lapsedThrough = f.endCount // an expired lease voids the ends that were not acknowledged
	}
	f.runs = slices.DeleteFunc(f.runs, func(r *fakeRun) bool {
		switch {
		case expired:
			w.end(f, r, shard.EndLeaseExpired)
		case !r.endsAt.After(w.now):
			w.end(f, r, r.cause)
		default:
			return false
		}
		return true
	})
}

func (w *simulation) end(f *fakeWorker, r *fakeRun, cause shard.EndCause) {
	f.endCount++
	w.record(r.job+r.key.String(), "run %d ends as number %d on %s: %s", r.run, f.endCount, f.ID, cause)
	f.highestEnded[r.job+r.key.String()] = max(f.highestEnded[r.job+r.key.String()], r.run)
	f.ends = append(f.ends, shard.EndRow{Cause: cause, Job: r.job, Key: r.key, Number: f.endCount, Run: r.run})
}

func (w *simulation) rejectsToken(f *fakeWorker, token int64) bool {
	if token < f.token {
		return true
	}
	f.token = token
	return false
}

func (w *simulation) renew(f *fakeWorker, leaseEnd int64) {
	f.leaseEnd = max(f.leaseEnd, min(leaseEnd, w.clock(f)+maxLease.Milliseconds()))
}

func (w *simulation) start(s shard.Start) {
	owner := w.owner
	reply := func(o shard.Outcome, clock int64) {
		if owner == w.owner {
			owner.Started(w.now, s, shard.Reply{Outcome: o, Clock: clock})
		}
	}
	w.sendCall(s.Worker, func(f *fakeWorker) func() {
		o := w.startOn(f, s)
		clock := w.clock(f)
		return func() { reply(o, clock) }
	}, func(bool) { reply(shard.OutcomeUnknown, 0) })
}

// startOn is the worker's side of a start. It checks the guarantees that the owner has to keep.
func (w *simulation) startOn(f *fakeWorker, s shard.Start) shard.Outcome {
	w.endDueRuns(f)
	if w.rejectsToken(f, s.Token) {
		return shard.OutcomeFenced
	}
	w.renew(f, s.Until)
	name := s.Job + s.Key.String()
	for _, r := range f.runs {
		if r.job == s.Job && r.key == s.Key && r.run == s.Run {
			return shard.OutcomeDone
		}
	}
	if s.Run <= f.highestEnded[name] {
		return shard.OutcomeOldRun
	}
	if w.clock(f) > f.leaseEnd {
		return shard.OutcomeLeaseExpired
	}
	if w.jobs[s.Job].Queue == "advised" && !w.hasTicket(f, s) {
		return shard.OutcomeNoTicket
	}
	w.checkStart(f, s)
	step := w.jobs[s.Job].Steps[s.Key.Step]
	demand := step.Resources
	if step.BestEffort {
		demand.CPUMilli = 0
	}
	r := &fakeRun{runKey: runKey{s.Job, s.Key, s.Run}, demand: demand, cause: shard.EndDone}
	r.endsAt = w.now.Add(time.Duration(100+w.random.IntN(3000)) * time.Millisecond)
	if w.random.IntN(25) == 0 {
		r.cause = shard.EndFailed
	}
	f.runs = append(f.runs, r)
	w.record(name, "run %d starts on %s, token %d", s.Run, f.ID, s.Token)
	w.starts++
	return shard.OutcomeDone
}

// ticketFor returns the ticket of a worker for a step at a time. Half of the workers may not run the step.
func (w *simulation) ticketFor(f *fakeWorker, step string, at time.Time) (string, bool) {
	if (f.ID[0]+step[0])%2 == 0 {
		return "", false
	}
	return fmt.Sprint(step, " ", f.ID, " ", f.incarnation, " ", at.UnixMilli()), true
}

func (w *simulation) hasTicket(f *fakeWorker, s shard.Start) bool {
	step := shard.AdviceRequest{Job: s.Job, Occurrence: s.Key.Occurrence, Step: s.Key.Step}.Name()
	for age := time.Duration(0); age <= ticketValid; age += simulationStep {
		if ticket, ok := w.ticketFor(f, step, w.now.Add(-age)); ok && ticket == s.Ticket {
			return true
		}
	}
	return false
}

// advise answers an advice request after a delay, or with an error.
func (w *simulation) advise(a shard.AdviceRequest) {
	owner, sent := w.owner, w.now
	w.calls = append(w.calls, &call{deliverAt: w.now.Add(time.Duration(5+w.random.IntN(100)) * time.Millisecond), answer: func(bool) {
		if owner != w.owner {
			return
		}
		r := shard.AdviceResponse{Valid: ticketValid}
		if w.faultsEnabled && w.random.IntN(10) == 0 {
			r = shard.AdviceResponse{Error: errors.New("busy")}
		}
		for _, id := range a.Workers {
			f := w.worker(id)
			if ticket, ok := w.ticketFor(f, a.Name(), sent); ok && r.Error == nil {
				r.Tickets = append(r.Tickets, shard.Ticket{Worker: id, Text: ticket})
			}
		}
		owner.Advised(w.now, a, sent, r)
	}})
}

func (w *simulation) checkStart(f *fakeWorker, s shard.Start) {
	j := w.jobs[s.Job]
	step := j.Steps[s.Key.Step]
	name := s.Job + s.Key.String()
	demand := step.Resources
	if step.BestEffort {
		demand.CPUMilli = 0
	}
	if !f.reserved().Add(demand).FitsIn(f.Capacity) {
		w.fail(name, "run %d exceeds worker %s: %s reserved", s.Run, f.ID, f.reserved())
	}
	if w.done[name] {
		w.fail(name, "run %d starts after the task's completion was acknowledged", s.Run)
	}
	if w.failures[name] >= 3 {
		w.fail(name, "run %d starts after three acknowledged failures", s.Run)
	}
	same := 1
	for _, other := range w.workers {
		w.endDueRuns(other)
		for _, r := range other.runs {
			if r.job == s.Job && r.key == s.Key {
				w.fail(name, "run %d on %s starts while run %d is on %s", s.Run, f.ID, r.run, other.ID)
			}
			if other == f && r.job == s.Job && r.key.Step == s.Key.Step {
				same++
			}
		}
	}
	if step.PerWorker > 0 && same > step.PerWorker {
		w.fail(name, "%d tasks of the step on worker %s, the limit is %d", same, f.ID, step.PerWorker)
	}
}

func (w *simulation) stop(s shard.Stop) {
	owner := w.owner
	reply := func(o shard.Outcome) {
		if owner == w.owner {
			owner.Stopped(w.now, s, shard.Reply{Outcome: o})
		}
	}
	w.sendCall(s.Worker, func(f *fakeWorker) func() {
		w.endDueRuns(f)
		if w.rejectsToken(f, s.Token) {
			return func() { reply(shard.OutcomeFenced) }
		}
		f.highestEnded[s.Job+s.Key.String()] = max(f.highestEnded[s.Job+s.Key.String()], s.Run)
		for _, r := range f.runs {
			if r.job == s.Job && r.key == s.Key && r.run == s.Run && r.cause != shard.EndStopped {
				r.endsAt, r.cause = w.now.Add(time.Duration(w.random.IntN(400))*time.Millisecond), shard.EndStopped
			}
		}
		return func() { reply(shard.OutcomeDone) }
	}, func(bool) { reply(shard.OutcomeUnknown) })
}

func (w *simulation) look(l shard.Poll) {
	owner, sent := w.owner, w.now
	failed := func(o shard.Outcome) {
		if owner == w.owner {
			owner.PollFailed(w.now, l, o)
		}
	}
	w.sendCall(l.Worker, func(f *fakeWorker) func() {
		w.endDueRuns(f)
		if w.rejectsToken(f, l.Token) {
			return func() { failed(shard.OutcomeFenced) }
		}
		w.renew(f, l.Until)
		w.acknowledgeEnds(f, l.LastSeen)
		list := shard.Listing{Born: f.incarnation, Clock: w.clock(f), Ended: slices.Clone(f.ends)}
		for _, r := range f.runs {
			list.Running = append(list.Running, shard.RunningRow{Job: r.job, Key: r.key, Run: r.run, Percent: 100})
		}
		return func() {
			if owner == w.owner {
				owner.Polled(w.now, l, sent, list)
			}
		}
	}, func(bool) { failed(shard.OutcomeUnknown) })
}

// acknowledgeEnds removes the ends up to a number from the worker's list. From then on they count as completions or
// failures of their tasks.
func (w *simulation) acknowledgeEnds(f *fakeWorker, through int64) {
	f.ends = slices.DeleteFunc(f.ends, func(e shard.EndRow) bool {
		if e.Number > through {
			return false
		}
		if e.Number <= f.lapsedThrough {
			return true
		}
		name := e.Job + e.Key.String()
		w.record(name, "end number %d of %s is acknowledged", e.Number, f.ID)
		switch e.Cause {
		case shard.EndDone:
			w.done[name] = true
		case shard.EndFailed:
			w.failures[name]++
		case shard.EndGangTimeout, shard.EndGangBroken, shard.EndLeaseExpired, shard.EndStopped:
		}
		return true
	})
}
