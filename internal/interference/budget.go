package interference

import "time"

// DefaultEvictions is the number of evictions that a shard may carry out in an hour.
const DefaultEvictions = 60

const budgetWindow = time.Hour

// Budget bounds the evictions of a shard in any hour.
type Budget struct {
	limit int
	// taken lists the times of the evictions of the last hour in order, at most limit of them.
	taken []time.Time
}

// NewBudget returns a budget of limit evictions an hour.
func NewBudget(limit int) *Budget { return &Budget{limit: limit} }

// Left returns the number of evictions that the budget admits now.
func (b *Budget) Left(now time.Time) int {
	n := 0
	for n < len(b.taken) && now.Sub(b.taken[n]) >= budgetWindow {
		n++
	}
	b.taken = b.taken[n:]
	return max(0, b.limit-len(b.taken))
}

// LeftBeyondRate returns the number of evictions that may be used now for urgent tasks beyond the usual rate
// of their work. They get a quarter of the budget, so that a flood leaves the rest to other urgent work.
func (b *Budget) LeftBeyondRate(now time.Time) int { return max(0, b.Left(now)-b.limit+b.limit/4) }

// LeftToMitigate returns the number of evictions that mitigation may use now. Half of the budget is kept for
// urgent tasks, which otherwise wait for a task to end once mitigation has used all of it.
func (b *Budget) LeftToMitigate(now time.Time) int { return max(0, b.Left(now)-b.limit/2) }

// Take uses n evictions, or none and returns false if fewer are left.
func (b *Budget) Take(now time.Time, n int) bool {
	if n > b.Left(now) {
		return false
	}
	for range n {
		b.taken = append(b.taken, now)
	}
	return true
}
