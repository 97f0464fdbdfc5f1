package shard

import (
	"slices"
	"time"
)

// sortInterval is the least time after which the order of jobs is renewed though none came or went.
const sortInterval = 250 * time.Millisecond

func (o *Owner) sortJobs(now time.Time) {
	if !o.backlogUnsorted && now.Sub(o.backlogSortedAt) < sortInterval {
		return
	}
	o.backlogUnsorted, o.backlogSortedAt = false, now
	o.backlog = slices.DeleteFunc(o.backlog, func(j *job) bool { return o.jobs[j.ID] != j })
	rank := make(map[*job]int, len(o.backlog))
	for _, j := range o.backlog {
		rank[j] = j.rank(now)
	}
	slices.SortStableFunc(o.backlog, func(a, b *job) int {
		if a.priority != b.priority {
			return a.priority - b.priority
		}
		if rank[a] != rank[b] {
			return rank[a] - rank[b]
		}
		return a.objective.Compare(b.objective)
	})
}

// rank orders jobs of a priority: those that last, whose tasks have to run whenever there is room, those under way that can
// meet their objective, those that can still meet it if they start now, and the others. Late jobs would otherwise take the
// place of jobs that are late next.
func (j *job) rank(now time.Time) int {
	switch {
	case j.IsLongRunning():
		return -1
	case j.objective.Sub(now) < time.Duration(slackFactor*float64(j.remaining())):
		return 2
	case !j.started:
		return 1
	}
	return 0
}

// slackFactor is the part of the estimated remaining time that has to be left until a job's objective.
const slackFactor = 1.4

// remaining returns the estimated time of the longest chain of steps that are not done.
func (j *job) remaining() time.Duration {
	longest := time.Duration(0)
	for _, occ := range j.occurrences {
		ends := make([]time.Duration, len(j.Steps))
		for i, s := range j.Steps {
			for _, before := range s.After {
				ends[i] = max(ends[i], ends[before])
			}
			if occ.undone[i] > 0 {
				ends[i] += s.Estimate
			}
			longest = max(longest, ends[i])
		}
	}
	return longest
}
