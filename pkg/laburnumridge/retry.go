package laburnumridge

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"
)

// maxAttempts bounds the attempts of one call that the retry budget would allow.
const maxAttempts = 6

// backoff is exponential with jitter: a random time between half the step and the whole step.
type backoff struct {
	high time.Duration
	low  time.Duration
}

func (b backoff) wait(retry int) time.Duration {
	step := min(b.low<<min(retry, 16), b.high)
	return step/2 + rand.N(step/2+1)
}

// budget lets retries be a fixed part of the first attempts, so that they add little in an overload.
type budget struct {
	burst float64
	mu    sync.Mutex
	ratio float64
	saved float64
}

func newBudget(ratio, burst float64) *budget {
	return &budget{burst: burst, ratio: ratio, saved: burst}
}

// earn credits a first attempt.
func (b *budget) earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.saved = min(b.saved+b.ratio, b.burst)
}

// spend takes one retry and reports whether there was one.
func (b *budget) spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.saved < 1 {
		return false
	}
	b.saved--
	return true
}

// repeat calls send until it succeeds or must not be repeated. Moving on from an entry host that
// can't be reached costs no retry, because no host has seen the request.
func (c *Client) repeat(ctx context.Context, repeatable bool, send func(base string) error) error {
	c.budget.earn()
	uncertain, unreached := false, 0
	for attempt := 1; ; attempt++ {
		base := c.baseURL()
		err := send(base)
		var p *Problem
		if !errors.As(err, &p) {
			return err
		}
		if p.isTemporary() {
			c.skip(base)
		}
		if p.unreached && unreached < len(c.urls)-1 && ctx.Err() == nil {
			unreached++
			attempt--
			continue
		}
		uncertain = uncertain || p.Outcome == OutcomeUnknown
		if p.canRetry(repeatable) && attempt < maxAttempts && c.pause(ctx, p, attempt) {
			unreached = 0
			continue
		}
		// An earlier attempt may have run although the last one did not.
		if uncertain && p.Outcome == OutcomeNotRun {
			return p.withOutcome(OutcomeUnknown)
		}
		return p
	}
}

// pause waits before a retry; false means that the deadline or the budget does not allow it.
func (c *Client) pause(ctx context.Context, p *Problem, attempt int) bool {
	wait := max(c.backoff.wait(attempt-1), time.Duration(p.RetryAfter)*time.Second)
	if deadline, ok := ctx.Deadline(); ok && time.Until(deadline) <= wait {
		return false
	}
	if ctx.Err() != nil || !c.budget.spend() {
		return false
	}
	t := time.NewTimer(wait)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
