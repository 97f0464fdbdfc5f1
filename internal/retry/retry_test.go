package retry_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/laburnumridge/laburnumridge/internal/retry"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// Guards against a retry storm. In overload, when every attempt fails and every caller retries and hedges as
// often as the budget allows, there are at most 1.1 attempts per request, and at most 5% of requests are hedged.
func TestAttemptsPerRequestInOverload(t *testing.T) {
	for name, gap := range map[string]time.Duration{
		"10 per second":   100 * time.Millisecond,
		"1000 per second": time.Millisecond,
		"bursts":          0,
	} {
		t.Run(name, func(t *testing.T) {
			const requests = 20_000
			b, now, hedges, retries := retry.NewBudget(start), start, 0, 0
			for range requests {
				now = now.Add(gap)
				b.Started(now)
				for range 5 {
					if b.Spend(now, retry.KindHedge) {
						hedges++
					}
					if b.Spend(now, retry.KindRetry) {
						retries++
					}
				}
			}
			assert.Assert(t, hedges+retries <= requests/10+1, "%d hedges, %d retries", hedges, retries)
			assert.Assert(t, hedges <= requests/20+1, "%d hedges", hedges)
			assert.Assert(t, hedges+retries >= requests/10-1, "%d hedges, %d retries", hedges, retries)
		})
	}
}

// Guards against a burst of retries after a long time without failures.
func TestSavedTokensAreBounded(t *testing.T) {
	b, spent := retry.NewBudget(start), 0
	for range 100_000 {
		b.Started(start)
	}
	for b.Spend(start, retry.KindRetry) {
		spent++
	}
	assert.Equal(t, spent, 10)
}

// Guards against a single request on a quiet service that can't be retried, and against an idle refill that
// allows more than one retry of it.
func TestSingleRequestMayRetry(t *testing.T) {
	b, now := retry.NewBudget(start), start
	for range 5 {
		b.Started(now)
		assert.Assert(t, b.Spend(now, retry.KindRetry))
		assert.Assert(t, !b.Spend(now, retry.KindRetry))
		now = now.Add(10 * time.Second)
	}
}

// Guards against synchronized retries of callers that failed together, against pauses above the bound and
// against ignoring a Retry-After.
func TestBackoffSpreadsWithinBounds(t *testing.T) {
	for _, c := range []struct {
		retry          int
		atLeast, bound time.Duration
	}{
		{1, 0, 10 * time.Millisecond},
		{3, 0, 40 * time.Millisecond},
		{100, 0, 100 * time.Millisecond},
		{1, time.Second, 1010 * time.Millisecond},
	} {
		b, low, high := retry.NewBackoff(10*time.Millisecond, 100*time.Millisecond, 3), time.Hour, time.Duration(0)
		for range 1000 {
			pause := b.Pause(c.retry, c.atLeast)
			low, high = min(low, pause), max(high, pause)
		}
		spread := c.bound - c.atLeast
		assert.Assert(t, low >= c.atLeast && low < c.atLeast+spread/20, "%v %s", c, low)
		assert.Assert(t, high <= c.bound && high > c.bound-spread/20, "%v %s", c, high)
	}
}

// Guards against forwarding a request whose response can't arrive in time, against forwarding an expired
// deadline as no deadline, and against a retry that would end after the deadline.
func TestNextDeadlineSubtractsMargin(t *testing.T) {
	for _, c := range []struct {
		remaining, elapsed, next time.Duration
		ok                       bool
	}{
		{0, time.Hour, 0, true},
		{100 * time.Millisecond, 30 * time.Millisecond, 60 * time.Millisecond, true},
		{100 * time.Millisecond, 90 * time.Millisecond, 0, false},
		{100 * time.Millisecond, time.Hour, 0, false},
	} {
		next, ok := retry.DeadlineAfter(start, c.remaining).RemainingForNextHop(start.Add(c.elapsed))
		assert.Equal(t, next, c.next)
		assert.Equal(t, ok, c.ok)
	}
	d := retry.DeadlineAfter(start, 100*time.Millisecond)
	assert.Assert(t, d.Allows(start, 40*time.Millisecond, 50*time.Millisecond))
	assert.Assert(t, !d.Allows(start, 41*time.Millisecond, 50*time.Millisecond))
	assert.Assert(t, retry.Deadline{}.Allows(start, time.Hour, time.Hour))
}

// Guards against a hedge delay far below the 95th percentile, such as the mean, which hedges too many requests, and
// against one that does not follow changes of the latency.
func TestHedgeDelayFollowsP95(t *testing.T) {
	l := retry.NewLatency(time.Second)
	assert.Equal(t, l.HedgeDelay(), time.Second)
	for range 10 {
		for i := range 100 {
			l.Observe(time.Duration(i+1) * time.Millisecond)
		}
	}
	assert.Assert(t, l.HedgeDelay() > 88*time.Millisecond && l.HedgeDelay() <= 100*time.Millisecond)
	for range 600 {
		l.Observe(5 * time.Millisecond)
	}
	assert.Equal(t, l.HedgeDelay(), 5*time.Millisecond)
}

func BenchmarkBudget(b *testing.B) {
	budget := retry.NewBudget(start)
	b.ReportAllocs()
	for b.Loop() {
		budget.Started(start)
		budget.Spend(start, retry.KindRetry)
	}
}

func BenchmarkObserve(b *testing.B) {
	l, n := retry.NewLatency(time.Second), 0
	b.ReportAllocs()
	for b.Loop() {
		n++
		l.Observe(time.Duration(n*7919%1000) * time.Microsecond)
	}
}
