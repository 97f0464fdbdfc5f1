package shard

import (
	"cmp"
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
	clear(o.waitingWork)
	work, counts := map[int]int64{}, map[int]int64{}
	for _, j := range o.backlog {
		o.updateObjective(j, now)
		left, waits := o.work(j)
		j.lastRank, j.workLeft = o.rank(j, now), left.Total()
		if j.workLeft > 0 {
			work[j.priority] += j.workLeft
			counts[j.priority]++
		}
		if k := (backlogWork{j.priority, j.queue.Service}); j.lastRank < rankLate {
			o.waitingWork[k] = o.waitingWork[k].Plus(waits)
		}
	}
	for _, j := range o.backlog {
		j.placeRank, j.turn = j.lastRank, j.objective
		if j.lastRank == rankStarted {
			j.turn = forecast.Turn(j.since, j.lateLimit(), j.workLeft, work[j.priority]/max(counts[j.priority], 1))
		}
	}
	o.promoteLongestWaiting(now)
	slices.SortStableFunc(o.backlog, func(a, b *job) int {
		return cmp.Or(a.priority-b.priority, a.placeRank-b.placeRank, a.turn.Compare(b.turn))
	})
}

// updateObjective sets the objective by what is known of the durations of the job's tasks. It counts from the job's acceptance, or from
// when its first open occurrence is due.
func (o *Owner) updateObjective(j *job, now time.Time) {
	j.since = j.acceptedAt
	if j.Occurrences > 0 {
		j.since = now.Add(time.Duration(j.DueAt(j.doneThrough)-o.wallClock().UnixMilli()) * time.Millisecond)
	}
	chain := forecast.Chain(j.Steps, forecast.AtOnce, func(i int) time.Duration { return o.expected(j, j.occurrences[j.doneThrough], i) })
	j.objective = j.since.Add(forecast.Objective(chain, j.queue))
}

// lateLimit returns how long after since the job is still of some use.
func (j *job) lateLimit() time.Duration { return forecast.LateLimit(j.objective.Sub(j.since)) }

// Ranks order jobs of equal priority. Long-running jobs come first, since their tasks have to run whenever there are resources. Then come
// started jobs, also those that are late: a job that is left half done has used room for nothing, and its last tasks need little more.
// Then come jobs that can meet their objective if they start now, and all others. Otherwise jobs that are late anyway would delay others
// until these are late as well.
const (
	rankLongRunning = -1
	rankStarted     = 0
	rankInTime      = 1
	rankLate        = 2
)

func (o *Owner) rank(j *job, now time.Time) int {
	switch {
	case j.IsLongRunning():
		return rankLongRunning
	case j.started:
		return rankStarted
	case j.objective.Sub(now) < time.Duration(slackFactor*float64(o.remaining(j))):
		return rankLate
	}
	return rankInTime
}

// slackFactor is the multiple of the expected remaining time that must be left until the objective for a job to count
// as able to meet it.
const slackFactor = 1.4

// remaining returns the expected duration of the longest chain of unfinished steps.
func (o *Owner) remaining(j *job) time.Duration {
	longest := time.Duration(0)
	for _, occ := range j.occurrences {
		longest = max(longest, forecast.Chain(j.Steps, forecast.AtOnce, func(i int) time.Duration {
			if occ.undone[i] == 0 {
				return 0
			}
			return o.expected(j, occ, i)
		}))
	}
	return longest
}

// promotedShare is the part of the jobs of a priority, one in so many, that may pass others because they have waited longest.
const promotedShare = 10

// promoteLongestWaiting gives jobs that have not started by their late limit the turn of their acceptance among the started ones, the
// oldest tenth of each priority at a time. They are of no use any more, so they get no more room than that, but each gets its turn.
// Their records keep their rank.
func (o *Owner) promoteLongestWaiting(now time.Time) {
	var overdue []*job
	counts, promoted := map[int]int{}, map[int]int{}
	for _, j := range o.backlog {
		counts[j.priority]++
		if j.lastRank > rankStarted && now.Sub(j.since) > j.lateLimit() {
			overdue = append(overdue, j)
		}
	}
	slices.SortStableFunc(overdue, func(a, b *job) int { return a.since.Compare(b.since) })
	for _, j := range overdue {
		if promoted[j.priority]*promotedShare < counts[j.priority] {
			promoted[j.priority]++
			j.placeRank, j.turn = rankStarted, j.since
		}
	}
}
