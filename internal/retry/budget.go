package retry

import (
	"sync"
	"time"
)

const (
	// HedgeRatio is the fraction of first attempts that may be hedged.
	HedgeRatio = 0.05
	// RetryRatio is the fraction of first attempts that may be retried.
	RetryRatio = 0.1

	// maxTokens bounds the accumulated tokens, so that a long time without failures does not allow a retry
	// storm.
	maxTokens = 10.0
	// idleRefillInterval is the time without first attempts after which a bucket is refilled to one token,
	// so that a single request on a quiet service can be retried. It adds nothing in overload; see refill.
	idleRefillInterval = 5 * time.Second
)

// Kind is the purpose of an attempt after the first.
type Kind int

// Kinds of attempts after the first.
const (
	KindHedge Kind = iota
	KindRetry
)

// Budget limits retries and hedges in proportion to first attempts. Retries and hedges together stay below
// RetryRatio of first attempts plus a constant. It is safe for concurrent use.
type Budget struct {
	mu     sync.Mutex
	hedges bucket
	total  bucket
}

// NewBudget returns a budget with one token in each bucket.
func NewBudget(now time.Time) *Budget {
	return &Budget{
		hedges: bucket{refilledAt: now, ratio: HedgeRatio, tokens: 1},
		total:  bucket{refilledAt: now, ratio: RetryRatio, tokens: 1},
	}
}

// Started records a first attempt.
func (b *Budget) Started(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.hedges.refill(now)
	b.total.refill(now)
}

// Spend takes a token for a retry or hedge and reports whether one was available. A hedge takes a token from
// both buckets.
func (b *Budget) Spend(now time.Time, kind Kind) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.total.refillIdle(now)
	if kind == KindRetry {
		return b.total.spend()
	}
	b.hedges.refillIdle(now)
	return b.hedges.tokens >= 1 && b.total.spend() && b.hedges.spend()
}

// bucket is a token bucket. Each first attempt adds ratio tokens.
type bucket struct {
	refilledAt time.Time
	ratio      float64
	tokens     float64
}

// refill adds ratio tokens for a first attempt. It also restarts the idle interval, so that the idle refill
// takes place only between first attempts that are far apart and adds nothing in overload.
func (b *bucket) refill(now time.Time) {
	b.refillIdle(now)
	b.tokens = min(maxTokens, b.tokens+b.ratio)
	b.refilledAt = now
}

// refillIdle raises the tokens to one after idleRefillInterval without a first attempt.
func (b *bucket) refillIdle(now time.Time) {
	if now.Sub(b.refilledAt) >= idleRefillInterval {
		b.tokens = max(1, b.tokens)
		b.refilledAt = now
	}
}

func (b *bucket) spend() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
