package forecast

import (
	"cmp"
	"slices"
	"time"
)

// Rank orders jobs of equal priority.
type Rank int

// Long-running jobs come first, since their tasks have to run whenever there are resources. Then come started jobs that can meet their
// objective: a job that is left half done has used room for nothing. Then come jobs that can meet it if they start now, those that can't,
// and those past their late limit. Otherwise jobs that are late anyway would delay others until these are late as well.
const (
	RankLongRunning Rank = iota - 1
	RankStarted
	RankInTime
	RankLate
	RankOverdue
)

const (
	// slackFactor is the multiple of the expected remaining time that must be left until the objective for a job that has not started to
	// count as able to meet it. A started job keeps its rank for longer, by startedSlackFactor: its remaining time is mostly that of runs
	// under way, which the estimate counts in full.
	slackFactor        = 1.4
	startedSlackFactor = 0.8
	// promotionFactor is the multiple of its late limit after which a job that has not ended may pass others. Under usual load late jobs
	// have room without that: with a factor of 1 they took more than what was left, and after a burst at a load of 0.8 a quarter of the
	// later jobs was late as well.
	promotionFactor = 4
	// promotedShare is the part of the started jobs of a priority, one in so many, that may be promoted.
	promotedShare = 10
)

// Candidate is what the order of the jobs of a shard depends on.
type Candidate struct {
	IsLongRunning, IsStarted bool
	// Objective is until when the job is to end, and Since when the time to it began.
	Objective, Since time.Time
	Priority         int
	// Rank is set by RankAll.
	Rank Rank
	// Remaining is the expected duration of the longest chain of unfinished steps.
	Remaining time.Duration
	// Work is the work that is left of the open occurrences, and TotalWork that of all their tasks, in core milliseconds.
	Work, TotalWork int64
	// placeRank is Rank, or RankStarted if the job is promoted.
	placeRank  Rank
	isPromoted bool
}

// RankAll ranks jobs for Compare.
func RankAll(now time.Time, jobs []*Candidate) {
	started := map[int]int64{}
	for _, c := range jobs {
		c.Rank = c.rank(now)
		c.placeRank, c.isPromoted = c.Rank, false
		if c.Rank == RankStarted {
			started[c.Priority]++
		}
	}
	promote(now, jobs, started)
}

// Compare orders jobs that were ranked together, the most urgent first. Among jobs that can meet their objective, those with the least
// share of their work left come first: with too little room for all, more of them end in time than by objective, where each new job delays
// those that are half done. The work itself would serve more jobs, but starve large ones.
func (c *Candidate) Compare(other *Candidate) int {
	switch byRank := cmp.Or(cmp.Compare(c.Priority, other.Priority), cmp.Compare(c.placeRank, other.placeRank)); {
	case byRank != 0:
		return byRank
	case c.isPromoted != other.isPromoted:
		if c.isPromoted {
			return -1
		}
		return 1
	case c.placeRank == RankStarted || c.placeRank == RankInTime:
		return cmp.Or(cmp.Compare(c.shareLeft(), other.shareLeft()), c.Objective.Compare(other.Objective))
	}
	return c.Objective.Compare(other.Objective)
}

func (c *Candidate) rank(now time.Time) Rank {
	left := float64(c.Objective.Sub(now))
	switch {
	case c.IsLongRunning:
		return RankLongRunning
	case c.IsStarted && left >= startedSlackFactor*float64(c.Remaining):
		return RankStarted
	case !c.IsStarted && left >= slackFactor*float64(c.Remaining):
		return RankInTime
	case now.Sub(c.Since) <= c.lateLimit():
		return RankLate
	}
	return RankOverdue
}

func (c *Candidate) shareLeft() float64 { return float64(c.Work) / float64(max(c.TotalWork, 1)) }

// lateLimit returns how long after Since the job is still of some use.
func (c *Candidate) lateLimit() time.Duration { return LateLimit(c.Objective.Sub(c.Since)) }

// promote gives jobs that have waited for promotionFactor times their late limit a turn before the started ones, the oldest first, at most one
// for each promotedShare of these, and always one. They are of no use any more, so they get no more than that, but each gets its
// turn. Their Rank stays.
func promote(now time.Time, jobs []*Candidate, started map[int]int64) {
	var waiting []*Candidate
	for _, c := range jobs {
		if c.Rank == RankOverdue && now.Sub(c.Since) > promotionFactor*c.lateLimit() {
			waiting = append(waiting, c)
		}
	}
	slices.SortStableFunc(waiting, func(a, b *Candidate) int { return a.Since.Compare(b.Since) })
	promoted := map[int]int64{}
	for _, c := range waiting {
		if promoted[c.Priority]*promotedShare <= started[c.Priority] {
			promoted[c.Priority]++
			c.placeRank, c.isPromoted = RankStarted, true
		}
	}
}
