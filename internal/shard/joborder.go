package shard

import (
	"slices"
	"time"

	"github.com/laburnumridge/laburnumridge/internal/forecast"
)

// sortInterval is how long the order of the backlog is kept if no job was added or removed.
const sortInterval = 250 * time.Millisecond

// sortJobs orders the backlog, and sums up the work that waits.
func (o *Owner) sortJobs(now time.Time) {
	if !o.backlogUnsorted && now.Sub(o.backlogSortedAt) < sortInterval {
		return
	}
	o.backlogUnsorted, o.backlogSortedAt = false, now
	o.backlog = slices.DeleteFunc(o.backlog, func(j *job) bool { return o.jobs[j.ID] != j })
	candidates := make([]*forecast.Candidate, len(o.backlog))
	waiting := make([]forecast.Work, len(o.backlog))
	for i, j := range o.backlog {
		candidates[i], waiting[i] = &j.order, o.updateOrder(j, now)
	}
	forecast.RankAll(now, candidates)
	o.waiting = map[string]forecast.Backlogs{}
	for i, j := range o.backlog {
		o.waiting[j.queue.Service] = o.waiting[j.queue.Service].With(j.priority, j.order.Rank, waiting[i])
	}
	slices.SortStableFunc(o.backlog, func(a, b *job) int { return a.order.Compare(&b.order) })
}

// updateOrder updates what the job's place in the order depends on, by what is known of the durations of its tasks, and returns its work
// that waits. The objective counts from the job's acceptance, or from when its first open occurrence is due.
func (o *Owner) updateOrder(j *job, now time.Time) forecast.Work {
	since := j.acceptedAt
	if j.Occurrences > 0 {
		since = now.Add(time.Duration(j.DueAt(j.doneThrough)-o.wallClock().UnixMilli()) * time.Millisecond)
	}
	chain := forecast.Chain(j.Steps, forecast.AtOnce, func(i int) time.Duration { return o.expected(j, j.occurrences[j.doneThrough], i) })
	j.objective = since.Add(forecast.Objective(chain, j.queue))
	j.order = forecast.Candidate{
		IsLongRunning: j.IsLongRunning(), IsStarted: j.started, Objective: j.objective, Priority: j.priority, Since: since,
	}
	var waits forecast.Work
	for _, occ := range j.occurrences {
		j.order.Remaining = max(j.order.Remaining, forecast.Chain(j.Steps, forecast.AtOnce, func(i int) time.Duration {
			if occ.undone[i] == 0 {
				return 0
			}
			return o.expected(j, occ, i)
		}))
		for i, undone := range occ.undone {
			if j.Steps[i].LongRunning {
				continue
			}
			expected, fit := o.expected(j, occ, i), o.learned.Fit(classOf(j, i))
			j.order.TotalWork += forecast.WorkOf(&j.Steps[i], j.Steps[i].Count, expected, fit).Total()
			if undone > 0 {
				j.order.Work += forecast.WorkOf(&j.Steps[i], undone, expected, fit).Total()
				waits = waits.Plus(forecast.WorkOf(&j.Steps[i], occ.waitingTasks(i), expected, fit))
			}
		}
	}
	return waits
}

// waitingTasks returns the number of tasks of a step that no worker has.
func (occ *occurrence) waitingTasks(step int) (n int) {
	for _, t := range occ.tasks[step] {
		if t.isWaiting() {
			n++
		}
	}
	return n
}
