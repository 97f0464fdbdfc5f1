package retry

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Backoff yields pauses between attempts; it is safe for concurrent use.
type Backoff struct {
	first, most time.Duration
	mu          sync.Mutex
	rand        *rand.Rand
}

// NewBackoff returns a backoff whose bound starts at first and doubles up to most.
func NewBackoff(first, most time.Duration, seed uint64) *Backoff {
	return &Backoff{first: first, most: most, rand: rand.New(rand.NewPCG(seed, seed))}
}

// Pause returns the pause before a retry; 1 is the first retry. It is uniform between zero and the
// bound (full jitter), which spreads callers that failed together, but never below atLeast, for
// example a Retry-After.
func (b *Backoff) Pause(retry int, atLeast time.Duration) time.Duration {
	bound := b.first
	for i := 1; i < retry && bound < b.most; i++ {
		bound *= 2
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	jitter := time.Duration(b.rand.Float64() * float64(min(bound, b.most)))
	if atLeast > 0 {
		return atLeast + jitter
	}
	return jitter
}
