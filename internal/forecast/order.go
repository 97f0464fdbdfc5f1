package forecast

import (
	"cmp"
	"slices"
	"time"
)

// Rank orders jobs of equal priority.
type Rank int

// Long-running jobs come first, since their tasks have to run whenever there are resources. Then come jobs that have started in time, also
// if they are late meanwhile: a job that is left half done has used room for nothing. Then come jobs that can meet their objective if they
// start now, those that can't, and those past their late limit. Otherwise jobs that are late anyway would delay others until these are late
// as well. A job that could not meet its objective when it started does not pass those in time once it has a first task on room that they
// left.
const (
	RankLongRunning Rank = iota - 1
	RankStarted
	RankInTime
	RankLate
	RankOverdue
)

const (
	// slackFactor is the multiple of the expected remaining time that must be left until the objective for a job to count as able to
	// meet it.
	slackFactor = 1.4
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
	// Rank is set by RankAll. Before, it is that of the last time.
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
		if c.Rank == RankStarted || c.Rank == RankLate {
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
	left := c.Objective.Sub(now)
	isInTime := left >= time.Duration(slackFactor*float64(c.Remaining))
	switch {
	case c.IsLongRunning:
		return RankLongRunning
	case c.IsStarted && (c.Rank < RankLate || left >= c.Remaining):
		return RankStarted
	case isInTime:
		return RankInTime
	case now.Sub(c.Since) <= c.lateLimit():
		return RankLate
	}
	return RankOverdue
}

// lateLimit returns how long after Since the job is still of some use.
func (c *Candidate) lateLimit() time.Duration { return LateLimit(c.Objective.Sub(c.Since)) }

// turn returns the time by which jobs of a rank are ordered, the earliest first. Those with less work left come first, so that most of
// them end soon. The work adds at most the job's late limit to the time at which it came, so a job is never passed by those that come later
// than its late limit, and no size starves. typical is the mean work of the jobs of the priority.
func turn(since time.Time, lateLimit time.Duration, work, typical int64) time.Time {
	if work <= 0 {
		return since
	}
	return since.Add(time.Duration(float64(lateLimit) * float64(work) / float64(work+max(typical, 1))))
}

// promote gives jobs that have waited for promotionFactor times their late limit the turn of their arrival among the started ones, the
// oldest first, at most one in promotedShare and always one. They are of no use any more, so they get no more than that, but each gets its
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
			c.placeRank, c.turn = RankStarted, c.Since
		}
	}
}
