package retry

import (
	"sync"
	"time"
)

const (
	// HedgeRatio is the part of first attempts that may be hedged.
	HedgeRatio = 0.05
	// RetryRatio is the part of first attempts that may be retried.
	RetryRatio = 0.1

	// budgetBurst bounds the tokens saved up, so that a quiet day does not pay for a retry storm.
	budgetBurst = 10.0
	// floorEvery is the time in which an idle budget earns one token, so that lone requests can be
	// retried. In overload it is not paid: see earn.
	floorEvery = 5 * time.Second
)

// Kind is what an attempt beyond the first is for.
type Kind int

// Kinds of further attempts.
const (
	KindHedge Kind = iota
	KindRetry
)

// Budget bounds retries and hedges by the number of first attempts; it is safe for concurrent use.
// Retries and hedges together stay below RetryRatio of first attempts plus a bounded number.
type Budget struct {
	mu     sync.Mutex
	hedges bucket
	total  bucket
}

// NewBudget returns a budget that starts with one token for each kind.
func NewBudget(now time.Time) *Budget {
	return &Budget{
		hedges: bucket{earnedAt: now, ratio: HedgeRatio, tokens: 1},
		total:  bucket{earnedAt: now, ratio: RetryRatio, tokens: 1},
	}
}

// Started records a first attempt.
func (b *Budget) Started(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.hedges.earn(now)
	b.total.earn(now)
}

// Spend takes a token for a further attempt, if there is one. A hedge draws on both budgets.
func (b *Budget) Spend(now time.Time, kind Kind) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.total.floor(now)
	if kind == KindRetry {
		return b.total.spend()
	}
	b.hedges.floor(now)
	return b.hedges.tokens >= 1 && b.total.spend() && b.hedges.spend()
}

// bucket holds tokens; each first attempt earns a part of one.
type bucket struct {
	earnedAt time.Time
	ratio    float64
	tokens   float64
}

// earn adds the part of a first attempt. It also restarts the floor, which therefore pays only
// between attempts that are far apart and adds nothing in overload.
func (b *bucket) earn(now time.Time) {
	b.floor(now)
	b.tokens = min(budgetBurst, b.tokens+b.ratio)
	b.earnedAt = now
}

// floor raises the tokens to one after a time without attempts.
func (b *bucket) floor(now time.Time) {
	if now.Sub(b.earnedAt) >= floorEvery {
		b.tokens = max(1, b.tokens)
		b.earnedAt = now
	}
}

func (b *bucket) spend() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
