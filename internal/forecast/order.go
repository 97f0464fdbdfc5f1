package forecast

import (
	"cmp"
	"slices"
	"time"
)

// Rank orders jobs of equal priority.
type Rank int

// Long-running jobs come first, since their tasks have to run whenever there are resources. Then come started jobs, also those that are
// late: a job that is left half done has used room for nothing. Then come jobs that can meet their objective if they start now, and all
// others. Otherwise jobs that are late anyway would delay others until these are late as well.
const (
	RankLongRunning Rank = iota - 1
	RankStarted
	RankInTime
	RankLate
)

const (
	// slackFactor is the multiple of the expected remaining time that must be left until the objective for a job to count as able to
	// meet it.
	slackFactor = 1.4
	// promotedShare is the part of the started jobs of a priority, one in so many, that may pass others because they have waited longest.
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
	// Remaining is the expected duration of the longest chain of unfinished steps, and Work the work that is left, in core milliseconds.
	Remaining time.Duration
	Work      int64
	// placeRank is Rank, or the rank to which the job is promoted. turn orders the jobs of a rank.
	placeRank Rank
	turn      time.Time
}

// RankAll ranks jobs for Compare.
func RankAll(now time.Time, jobs []*Candidate) {
	work, counts, started := map[int]int64{}, map[int]int64{}, map[int]int64{}
	for _, c := range jobs {
		c.Rank = c.rank(now)
		work[c.Priority] += c.Work
		counts[c.Priority]++
		if c.Rank == RankStarted {
			started[c.Priority]++
		}
	}
	for _, c := range jobs {
		c.placeRank, c.turn = c.Rank, c.Objective
		if c.Rank == RankStarted {
			c.turn = turn(c.Since, c.lateLimit(), c.Work, work[c.Priority]/counts[c.Priority])
		}
	}
	promote(now, jobs, started)
}

// Compare orders jobs that were ranked together, the most urgent first.
func (c *Candidate) Compare(other *Candidate) int {
	return cmp.Or(cmp.Compare(c.Priority, other.Priority), cmp.Compare(c.placeRank, other.placeRank), c.turn.Compare(other.turn))
}

func (c *Candidate) rank(now time.Time) Rank {
	switch {
	case c.IsLongRunning:
		return RankLongRunning
	case c.IsStarted:
		return RankStarted
	case c.Objective.Sub(now) < time.Duration(slackFactor*float64(c.Remaining)):
		return RankLate
	}
	return RankInTime
}

// lateLimit returns how long after Since the job is still of some use.
func (c *Candidate) lateLimit() time.Duration { return LateLimit(c.Objective.Sub(c.Since)) }

// turn returns the time by which started jobs are ordered, the earliest first. Those with less work left come first, so that most of them
// end soon. The work adds at most the job's late limit to the time at which it came, so a job is never passed by those that come later than
// its late limit, and no size starves. typical is the mean work of the jobs of the priority.
func turn(since time.Time, lateLimit time.Duration, work, typical int64) time.Time {
	if work <= 0 {
		return since
	}
	return since.Add(time.Duration(float64(lateLimit) * float64(work) / float64(work+max(typical, 1))))
}

// promote gives jobs that have not started by their late limit the turn of their arrival among the started ones, the oldest first, as long
// as jobs past their late limit are at most a tenth of the jobs of the priority that run. They are of no use any more, so they get no more
// than that, but each gets its turn. Their Rank stays.
func promote(now time.Time, jobs []*Candidate, started map[int]int64) {
	var overdue []*Candidate
	promoted := map[int]int64{}
	for _, c := range jobs {
		switch {
		case c.Rank == RankLongRunning || now.Sub(c.Since) <= c.lateLimit():
		case c.IsStarted:
			promoted[c.Priority]++
		default:
			overdue = append(overdue, c)
		}
	}
	slices.SortStableFunc(overdue, func(a, b *Candidate) int { return a.Since.Compare(b.Since) })
	for _, c := range overdue {
		if promoted[c.Priority]*promotedShare <= started[c.Priority] {
			promoted[c.Priority]++
			c.placeRank, c.turn = RankStarted, c.Since
		}
	}
}
