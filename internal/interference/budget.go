package interference

import "time"

// DefaultEvictions is the default number of evictions per shard and hour.
const DefaultEvictions = 60

const budgetWindow = time.Hour

// Budget limits the evictions of a shard in a sliding window of an hour.
type Budget struct {
	limit int
	// evictionTimes holds the times of the evictions in the last hour in order, at most limit of them.
	evictionTimes []time.Time
}

// NewBudget returns a budget of limit evictions per hour.
func NewBudget(limit int) *Budget { return &Budget{limit: limit} }

// Left returns the number of evictions that are still allowed.
func (b *Budget) Left(now time.Time) int {
	n := 0
	for n < len(b.evictionTimes) && now.Sub(b.evictionTimes[n]) >= budgetWindow {
		n++
	}
	b.evictionTimes = b.evictionTimes[n:]
	return max(0, b.limit-len(b.evictionTimes))
}

// LeftBeyondRate returns the number of evictions that are still allowed for urgent tasks of a work that starts
// tasks at more than its usual rate. Such tasks may use only a quarter of the budget, so that a flood of them
// leaves the rest to other urgent work.
func (b *Budget) LeftBeyondRate(now time.Time) int { return max(0, b.Left(now)-b.limit+b.limit/4) }

// LeftForMitigation returns the number of evictions that are still allowed for mitigation. Half of the budget is
// reserved for urgent tasks, which would otherwise wait for a task to end after mitigation has used it up.
func (b *Budget) LeftForMitigation(now time.Time) int { return max(0, b.Left(now)-b.limit/2) }

// Take consumes n evictions. If fewer are left it consumes none and returns false.
func (b *Budget) Take(now time.Time, n int) bool {
	if n > b.Left(now) {
		return false
	}
	for range n {
		b.evictionTimes = append(b.evictionTimes, now)
	}
	return true
}
