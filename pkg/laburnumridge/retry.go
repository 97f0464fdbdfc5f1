package laburnumridge

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"
)

// maxAttempts limits the attempts of one call, even if the retry budget would allow more.
const maxAttempts = 6

// backoff is exponential backoff with jitter: the delay is random between half of the current step and the full step.
type backoff struct {
	maxDelay time.Duration
	minDelay time.Duration
}

func (b backoff) delay(retry int) time.Duration {
	step := min(b.minDelay<<min(retry, 16), b.maxDelay)
	return step/2 + rand.N(step/2+1)
}

// retryBudget is a token bucket that limits retries to a fixed ratio of first attempts, so that retries add little load
// during an overload.
type retryBudget struct {
	burst  float64
	mu     sync.Mutex
	ratio  float64
	tokens float64
}

func newRetryBudget(ratio, burst float64) *retryBudget {
	return &retryBudget{burst: burst, ratio: ratio, tokens: burst}
}

// credit adds the tokens for a first attempt.
func (b *retryBudget) credit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+b.ratio, b.burst)
}

// spend takes the token for a retry and reports whether there was one.
func (b *retryBudget) spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// withRetries calls send until it succeeds or a retry is unsafe or not allowed. Failing over from an unreachable entry
// host does not use the retry budget, because no host has received the request.
func (c *Client) withRetries(ctx context.Context, repeatable bool, send func(base string) error) error {
	c.budget.credit()
	mayHaveRun, retriable, unreached := false, false, 0
	for attempt := 1; ; attempt++ {
		base := c.baseURL()
		err := send(base)
		var p *Problem
		if !errors.As(err, &p) {
			return err
		}
		if p.isTemporary() || p.unreached {
			c.advanceURL(base)
		}
		retriable = retriable || p.canRetry(repeatable)
		if p.unreached && unreached < len(c.urls)-1 && ctx.Err() == nil {
			unreached++
			attempt--
			continue
		}
		mayHaveRun = mayHaveRun || p.Outcome == OutcomeUnknown
		if retriable && attempt < maxAttempts && c.waitRetry(ctx, p, attempt) {
			retriable, unreached = false, 0
			continue
		}
		// The last attempt did not run, but an earlier one may have.
		if mayHaveRun && p.Outcome == OutcomeNotRun {
			return p.withOutcome(OutcomeUnknown)
		}
		return p
	}
}

// waitRetry waits until the next retry is due. It returns false if the deadline or the retry budget does not allow one.
func (c *Client) waitRetry(ctx context.Context, p *Problem, attempt int) bool {
	wait := max(c.backoff.delay(attempt-1), time.Duration(p.RetryAfter)*time.Second)
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
