package kvstore

import (
	"context"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// Class is the priority of a call when the rate limit is reached.
type Class int

// Classes of calls, from the highest priority to the lowest.
const (
	ClassOwnership Class = iota
	ClassNotes
	ClassLedger
	ClassReads
	classCount
)

// reservedFraction is the fraction of the burst that calls of each class leave for the classes of higher priority.
var reservedFraction = [classCount]float64{0, 0.1, 0.25, 0.4}

// Limiter is a token-bucket rate limiter that keeps a process within its part of the store's read and write budgets.
type Limiter struct {
	mu     sync.Mutex
	now    func() time.Time
	reads  tokenBucket
	sleep  func(ctx context.Context, d time.Duration) error
	writes tokenBucket
}

type tokenBucket struct {
	refilledAt time.Time
	rate       float64
	burst      float64
	tokens     float64
}

// NewLimiter returns a limiter with the given rates; the burst is the rate of one second, but at least one call.
func NewLimiter(readsPerSecond, writesPerSecond float64) *Limiter {
	return &Limiter{
		now:    time.Now,
		reads:  tokenBucket{rate: readsPerSecond, burst: max(readsPerSecond, 1), tokens: max(readsPerSecond, 1)},
		sleep:  sleepContext,
		writes: tokenBucket{rate: writesPerSecond, burst: max(writesPerSecond, 1), tokens: max(writesPerSecond, 1)},
	}
}

// Limited returns a store whose calls wait for a token of the limiter in the given class.
func Limited(s Store, l *Limiter, c Class) Store {
	return Store{
		Get: func(ctx context.Context, key string) (KV, error) {
			if err := l.waitForToken(ctx, &l.reads, c); err != nil {
				return KV{}, err
			}
			return s.Get(ctx, key)
		},
		Grant: func(ctx context.Context, ttl time.Duration) (int64, error) {
			if err := l.waitForToken(ctx, &l.writes, c); err != nil {
				return 0, err
			}
			return s.Grant(ctx, ttl)
		},
		KeepAlive: func(ctx context.Context, lease int64) error {
			if err := l.waitForToken(ctx, &l.writes, c); err != nil {
				return err
			}
			return s.KeepAlive(ctx, lease)
		},
		Range: func(ctx context.Context, prefix string) ([]KV, int64, error) {
			if err := l.waitForToken(ctx, &l.reads, c); err != nil {
				return nil, 0, err
			}
			return s.Range(ctx, prefix)
		},
		Revoke: func(ctx context.Context, lease int64) error {
			if err := l.waitForToken(ctx, &l.writes, c); err != nil {
				return err
			}
			return s.Revoke(ctx, lease)
		},
		CompareAndSwap: func(ctx context.Context, key string, expect int64, value []byte, lease int64) (int64, error) {
			if len(value) > MaxValueBytes {
				return 0, eris.Wrapf(ErrTooLarge, "%s: %d bytes", key, len(value))
			}
			if err := l.waitForToken(ctx, &l.writes, c); err != nil {
				return 0, err
			}
			return s.CompareAndSwap(ctx, key, expect, value, lease)
		},
		Watch: func(ctx context.Context, prefix string, since int64, each func([]Event)) error {
			if err := l.waitForToken(ctx, &l.reads, c); err != nil {
				return err
			}
			return s.Watch(ctx, prefix, since, each)
		},
	}
}

// waitForToken blocks until it has taken a token or ctx ends. Errors match ErrUnavailable, since nothing was sent.
func (l *Limiter) waitForToken(ctx context.Context, b *tokenBucket, c Class) error {
	for {
		delay := l.takeToken(b, c)
		if delay == 0 {
			return nil
		}
		if err := l.sleep(ctx, delay); err != nil {
			return eris.Wrapf(ErrUnavailable, "no budget left for the call: %s", err)
		}
	}
}

func (l *Limiter) takeToken(b *tokenBucket, c Class) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	if !b.refilledAt.IsZero() {
		b.tokens = min(b.burst, b.tokens+now.Sub(b.refilledAt).Seconds()*b.rate)
	}
	b.refilledAt = now
	// With a burst of one token, nothing can be reserved.
	required := 1 + reservedFraction[c]*(b.burst-1)
	if b.tokens >= required {
		b.tokens--
		return 0
	}
	return time.Duration((required-b.tokens)/b.rate*float64(time.Second)) + time.Millisecond
}

func sleepContext(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}
