package shard

import (
	"slices"
	"time"
)

// sortInterval is how long the order of the backlog is kept if no job was added or removed.
const sortInterval = 250 * time.Millisecond

func (o *Owner) sortJobs(now time.Time) {
	if !o.backlogUnsorted && now.Sub(o.backlogSortedAt) < sortInterval {
		return
	}
	o.backlogUnsorted, o.backlogSortedAt = false, now
	o.backlog = slices.DeleteFunc(o.backlog, func(j *job) bool { return o.jobs[j.ID] != j })
	for _, j := range o.backlog {
		j.lastRank = j.rank(now)
	}
	slices.SortStableFunc(o.backlog, func(a, b *job) int {
		if a.priority != b.priority {
			return a.priority - b.priority
		}
		if a.lastRank != b.lastRank {
			return a.lastRank - b.lastRank
		}
		return a.objective.Compare(b.objective)
	})
}

// rank orders jobs of equal priority. Long-running jobs come first, since their tasks have to run whenever there are
// resources. Then come started jobs that can meet their objective, jobs that can meet it if they start now, and all
// others. Otherwise jobs that are late anyway would delay others until these are late as well.
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

// slackFactor is the multiple of the estimated remaining time that must be left until the objective for a job to count
// as able to meet it.
const slackFactor = 1.4

// remaining returns the estimated duration of the longest chain of unfinished steps.
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
