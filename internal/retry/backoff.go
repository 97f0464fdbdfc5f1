package retry

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Backoff computes pauses between attempts, by exponential backoff with jitter. It is safe for concurrent use.
type Backoff struct {
	initial, limit time.Duration
	mu             sync.Mutex
	rand           *rand.Rand
}

// NewBackoff returns a backoff whose upper bound starts at initial and doubles up to limit.
func NewBackoff(initial, limit time.Duration, seed uint64) *Backoff {
	return &Backoff{initial: initial, limit: limit, rand: rand.New(rand.NewPCG(seed, seed))}
}

// Pause returns the pause before a retry; the first retry is number 1. The pause is atLeast, for example from a
// Retry-After header, plus a random time up to the upper bound (full jitter), which spreads the retries of
// callers that failed together.
func (b *Backoff) Pause(retry int, atLeast time.Duration) time.Duration {
	bound := b.initial
	for i := 1; i < retry && bound < b.limit; i++ {
		bound *= 2
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	jitter := time.Duration(b.rand.Float64() * float64(min(bound, b.limit)))
	if atLeast > 0 {
		return atLeast + jitter
	}
	return jitter
}
