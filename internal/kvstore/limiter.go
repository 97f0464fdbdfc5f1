package kvstore

import (
	"context"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// Class orders calls by importance when the budget is short.
type Class int

// Classes of calls, the most important first.
const (
	ClassOwnership Class = iota
	ClassNotes
	ClassLedger
	ClassReads
	classCount
)

// reserve is the part of a full bucket that calls of each class leave to the more important ones.
var reserve = [classCount]float64{0, 0.1, 0.25, 0.4}

// Limiter keeps a process inside its part of the store's budgets.
type Limiter struct {
	mu     sync.Mutex
	now    func() time.Time
	reads  bucket
	sleep  func(ctx context.Context, d time.Duration) error
	writes bucket
}

type bucket struct {
	filled time.Time
	rate   float64
	size   float64
	tokens float64
}

// NewLimiter returns a limiter with budgets in calls a second; a second's worth may be spent at once.
func NewLimiter(readsPerSecond, writesPerSecond float64) *Limiter {
	return &Limiter{
		now:    time.Now,
		reads:  bucket{rate: readsPerSecond, size: max(readsPerSecond, 1), tokens: max(readsPerSecond, 1)},
		sleep:  sleepFor,
		writes: bucket{rate: writesPerSecond, size: max(writesPerSecond, 1), tokens: max(writesPerSecond, 1)},
	}
}

// Limited returns a store whose calls of the given class take tokens from the limiter first.
func Limited(s Store, l *Limiter, c Class) Store {
	return Store{
		Get: func(ctx context.Context, key string) (KV, error) {
			if err := l.wait(ctx, &l.reads, c); err != nil {
				return KV{}, err
			}
			return s.Get(ctx, key)
		},
		Grant: func(ctx context.Context, ttl time.Duration) (int64, error) {
			if err := l.wait(ctx, &l.writes, c); err != nil {
				return 0, err
			}
			return s.Grant(ctx, ttl)
		},
		KeepAlive: func(ctx context.Context, lease int64) error {
			if err := l.wait(ctx, &l.writes, c); err != nil {
				return err
			}
			return s.KeepAlive(ctx, lease)
		},
		Range: func(ctx context.Context, prefix string) ([]KV, int64, error) {
			if err := l.wait(ctx, &l.reads, c); err != nil {
				return nil, 0, err
			}
			return s.Range(ctx, prefix)
		},
		Revoke: func(ctx context.Context, lease int64) error {
			if err := l.wait(ctx, &l.writes, c); err != nil {
				return err
			}
			return s.Revoke(ctx, lease)
		},
		Swap: func(ctx context.Context, key string, expect int64, value []byte, lease int64) (int64, error) {
			if len(value) > MaxValueBytes {
				return 0, eris.Wrapf(ErrTooLarge, "%s: %d bytes", key, len(value))
			}
			if err := l.wait(ctx, &l.writes, c); err != nil {
				return 0, err
			}
			return s.Swap(ctx, key, expect, value, lease)
		},
		Watch: func(ctx context.Context, prefix string, since int64, each func([]Event)) error {
			if err := l.wait(ctx, &l.reads, c); err != nil {
				return err
			}
			return s.Watch(ctx, prefix, since, each)
		},
	}
}

// wait takes a token; errors match ErrUnavailable since nothing was sent.
func (l *Limiter) wait(ctx context.Context, b *bucket, c Class) error {
	for {
		delay := l.take(b, c)
		if delay == 0 {
			return nil
		}
		if err := l.sleep(ctx, delay); err != nil {
			return eris.Wrapf(ErrUnavailable, "no budget left for the call: %s", err)
		}
	}
}

func (l *Limiter) take(b *bucket, c Class) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	if !b.filled.IsZero() {
		b.tokens = min(b.size, b.tokens+now.Sub(b.filled).Seconds()*b.rate)
	}
	b.filled = now
	// A bucket of a single token has nothing to reserve.
	need := 1 + reserve[c]*(b.size-1)
	if b.tokens >= need {
		b.tokens--
		return 0
	}
	return time.Duration((need-b.tokens)/b.rate*float64(time.Second)) + time.Millisecond
}

func sleepFor(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}
