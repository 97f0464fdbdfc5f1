package entry_test

import (
	"context"
	"io"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"github.com/laburnumridge/laburnumridge/internal/entry"
	"github.com/laburnumridge/laburnumridge/internal/kvstore"
	"github.com/laburnumridge/laburnumridge/internal/settings"
)

const (
	// leaseReliance is how long a host relies on a lease after a renewal was sent: the TTL of 1.6 s less 0.1 s.
	leaseReliance = 1500 * time.Millisecond
	// sessionInterval is the time from the answer to a renewal to the next one.
	sessionInterval = 400 * time.Millisecond
	// maxRenewalsInFlight is the number of renewals that end 1.5 s after they were sent and begin 0.4 s apart.
	maxRenewalsInFlight = 4
)

// renewalStore is a store that grants leases at once and answers renewals as the test wants.
type renewalStore struct {
	// answer returns the outcome of a renewal, given its number and lease.
	answer      func(ctx context.Context, number int, lease int64) error
	inFlight    int
	lease       int64
	maxInFlight int
	mu          sync.Mutex
	// read, if set, returns the outcome of a read.
	read func(ctx context.Context) error
	// sent holds when each renewal was sent.
	sent []time.Time
}

func (s *renewalStore) keepAlive(ctx context.Context, lease int64) error {
	s.mu.Lock()
	s.sent = append(s.sent, time.Now())
	number := len(s.sent)
	s.inFlight++
	s.maxInFlight = max(s.maxInFlight, s.inFlight)
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.inFlight--
	}()
	return s.answer(ctx, number, lease)
}

// renewals returns how many renewals were sent, and the largest number in flight.
func (s *renewalStore) renewals() (sent, maxInFlight int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.sent), s.maxInFlight
}

// sentAt returns when a renewal was sent.
func (s *renewalStore) sentAt(number int) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sent[number-1]
}

// answerAfter answers a renewal after a time, unless it is given up before.
func answerAfter(ctx context.Context, d time.Duration, err error) error {
	sleep(ctx, d)
	if ctx.Err() != nil {
		return ctx.Err()
	}
	return err
}

// silence gives no answer to a renewal.
func silence(ctx context.Context) error {
	<-ctx.Done()
	return ctx.Err()
}

// runSession runs a scenario on a host that has a lease, whose renewals are answered as given. The host must stop at once afterwards.
func runSession(t *testing.T, answer func(ctx context.Context, number int, lease int64) error,
	scenario func(t *testing.T, h *entry.Host, s *renewalStore, decisions *decisionLog),
) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		s, decisions := &renewalStore{answer: answer}, &decisionLog{}
		log := logrus.New()
		log.SetOutput(io.Discard)
		log.AddHook(decisions)
		h := entry.NewInVirtualTime(settings.Default(), entry.Platform{Store: kvstore.Store{
			Get: func(ctx context.Context, _ string) (kvstore.KV, error) {
				s.mu.Lock()
				read := s.read
				s.mu.Unlock()
				if read == nil {
					return kvstore.KV{}, kvstore.ErrUnavailable
				}
				return kvstore.KV{}, read(ctx)
			},
			Grant:     func(context.Context, time.Duration) (int64, error) { s.lease++; return s.lease, nil },
			KeepAlive: s.keepAlive,
			Revoke:    func(context.Context, int64) error { return kvstore.ErrUnavailable },
			Txn:       func(context.Context, kvstore.Txn) (kvstore.TxnResult, error) { return kvstore.TxnResult{}, nil },
		}}, log)
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			h.RunSession(ctx)
			close(done)
		}()
		synctest.Wait()
		scenario(t, h, s, decisions)
		cancel()
		synctest.Wait()
		select {
		case <-done:
		default:
			t.Error("the host has not stopped")
		}
		time.Sleep(time.Second) // background timers end
	})
}

// Guards against a host that renews its lease more often than it needs to, whose calls the store charges.
func TestHealthyHostRenewsOncePerInterval(t *testing.T) {
	runSession(t, func(ctx context.Context, _ int, _ int64) error { return answerAfter(ctx, storeLatency, nil) },
		func(t *testing.T, h *entry.Host, s *renewalStore, decisions *decisionLog) {
			time.Sleep(40 * time.Second)
			sent, maxInFlight := s.renewals()
			assert.Equal(t, sent, 99) // 0.4 s after the answer to the one before
			assert.Equal(t, maxInFlight, 1)
			assert.Equal(t, decisions.count("store_health"), 1)
			assert.Assert(t, h.IsHealthy())
		})
}

// Guards against a store without answers that goes unnoticed because renewals go on, against more and more renewals in flight,
// and against a host that does not notice that the store is back.
func TestSilentStoreIsNoticed(t *testing.T) {
	var isSilent atomic.Bool
	runSession(t, func(ctx context.Context, _ int, _ int64) error {
		if isSilent.Load() {
			return silence(ctx)
		}
		return nil
	}, func(t *testing.T, h *entry.Host, s *renewalStore, decisions *decisionLog) {
		time.Sleep(2100 * time.Millisecond)
		isSilent.Store(true) // the last answer came 0.1 s before
		time.Sleep(950 * time.Millisecond)
		assert.Check(t, h.IsHealthy(), "the store may be slow")
		time.Sleep(100 * time.Millisecond)
		assert.Check(t, !h.IsHealthy(), "no renewal got an answer for 0.7 s")
		sent, _ := s.renewals()
		time.Sleep(20 * time.Second)
		assert.Check(t, !h.IsHealthy())
		lease, expires := h.Lease()
		assert.Check(t, lease == 1 && expires.Before(time.Now()), "lease %d", lease)
		later, maxInFlight := s.renewals()
		assert.Check(t, maxInFlight <= maxRenewalsInFlight, "%d renewals in flight", maxInFlight)
		assert.Check(t, later-sent <= 50, "%d renewals in 20 s", later-sent)
		assert.Check(t, decisions.count("store_health") == 2)
		isSilent.Store(false)
		time.Sleep(450 * time.Millisecond)
		assert.Check(t, h.IsHealthy())
		_, expires = h.Lease()
		assert.Check(t, expires.After(time.Now().Add(time.Second)))
	})
}

// Guards against a host that calls a store without pause that refuses its renewals, and that takes such a store for reachable.
func TestRefusedRenewalsAreRepeatedWithPauses(t *testing.T) {
	runSession(t, func(context.Context, int, int64) error { return kvstore.ErrUnavailable },
		func(t *testing.T, h *entry.Host, s *renewalStore, decisions *decisionLog) {
			time.Sleep(10450 * time.Millisecond)
			sent, maxInFlight := s.renewals()
			assert.Equal(t, sent, 101)
			assert.Equal(t, maxInFlight, 1)
			assert.Equal(t, decisions.count("store_health"), 2)
			assert.Assert(t, !h.IsHealthy())
		})
}

// Guards against a lost answer that ends the lease or counts as a store that can't be reached, although later renewals are answered.
func TestLostAnswerToRenewalHasNoEffect(t *testing.T) {
	runSession(t, func(ctx context.Context, number int, _ int64) error {
		if number%2 == 1 {
			return silence(ctx)
		}
		return nil
	}, func(t *testing.T, h *entry.Host, _ *renewalStore, decisions *decisionLog) {
		for range 200 {
			time.Sleep(100 * time.Millisecond)
			_, expires := h.Lease()
			assert.Assert(t, expires.After(time.Now()))
		}
		assert.Equal(t, decisions.count("store_health"), 1)
	})
}

// Guards against a host that relies on its lease for longer than the store keeps it, or for shorter than a later renewal allows,
// because answers arrive late and in another order.
func TestRenewalCountsFromItsSending(t *testing.T) {
	runSession(t, func(ctx context.Context, number int, _ int64) error {
		switch number {
		case 1:
			return answerAfter(ctx, time.Second, nil) // 0.55 s after the answer to the second
		case 2:
			return answerAfter(ctx, 50*time.Millisecond, nil)
		}
		return silence(ctx)
	}, func(t *testing.T, h *entry.Host, s *renewalStore, decisions *decisionLog) {
		granted := time.Now()
		_, expires := h.Lease()
		assert.Check(t, expires.Equal(granted.Add(leaseReliance)))
		time.Sleep(time.Second) // the second renewal is answered, the first is under way
		_, expires = h.Lease()
		assert.Check(t, expires.Equal(s.sentAt(2).Add(leaseReliance)), "%s after the second was sent", expires.Sub(s.sentAt(2)))
		time.Sleep(450 * time.Millisecond) // the first renewal is answered
		_, expires = h.Lease()
		assert.Check(t, expires.Equal(s.sentAt(2).Add(leaseReliance)), "%s after the second was sent", expires.Sub(s.sentAt(2)))
		assert.Check(t, decisions.count("store_health") == 1, "an early renewal that ends late shows nothing")
	})
}

// Guards against a renewal of an earlier lease that extends the present one, or ends it, because its answer arrives late.
func TestRenewalOfEarlierLeaseHasNoEffect(t *testing.T) {
	for name, outcome := range map[string]error{"success": nil, "conflict": kvstore.ErrConflict} {
		t.Run(name, func(t *testing.T) {
			runSession(t, func(_ context.Context, number int, lease int64) error {
				switch {
				case lease > 1:
					return nil
				case number == 1:
					time.Sleep(900 * time.Millisecond) // even if the host gives the call up
					return outcome
				}
				return kvstore.ErrConflict
			}, func(t *testing.T, h *entry.Host, _ *renewalStore, decisions *decisionLog) {
				time.Sleep(801 * time.Millisecond) // the second renewal has shown that the first lease has ended
				replaced := time.Now()
				lease, expires := h.Lease()
				assert.Check(t, lease == 2)
				for range 4 {
					time.Sleep(130 * time.Millisecond)
					lease, later := h.Lease()
					assert.Check(t, lease == 2)
					assert.Check(t, later.Equal(expires) || time.Since(replaced) >= 399*time.Millisecond)
				}
				time.Sleep(2 * time.Second)
				assert.Check(t, decisions.count("lease_ended") == 1)
				assert.Check(t, decisions.count("store_health") == 1)
			})
		})
	}
}

// Guards against an abandoned lease that comes back because a renewal was under way, or that the host renews once more.
func TestLateRenewalDoesNotReviveAbandonedLease(t *testing.T) {
	for name, at := range map[string]time.Duration{
		"before an answer": 2850 * time.Millisecond, "before the next renewal": 3 * time.Second,
	} {
		t.Run(name, func(t *testing.T) {
			var renewals atomic.Int64
			runSession(t, func(ctx context.Context, _ int, lease int64) error {
				if lease == 1 {
					renewals.Add(1)
				}
				return answerAfter(ctx, 500*time.Millisecond, nil)
			}, func(t *testing.T, h *entry.Host, _ *renewalStore, _ *decisionLog) {
				time.Sleep(at) // renewals are sent each 0.4 s
				assert.ErrorIs(t, h.AbandonLease(t.Context()), kvstore.ErrUnavailable)
				before := renewals.Load()
				for range 100 {
					time.Sleep(20 * time.Millisecond)
					lease, expires := h.Lease()
					assert.Assert(t, lease != 1)
					assert.Assert(t, lease != 0 || expires.IsZero(), "relies on no lease until %s", expires)
				}
				lease, _ := h.Lease()
				assert.Equal(t, lease, int64(2))
				assert.Equal(t, renewals.Load(), before)
			})
		})
	}
}

// Guards against a host that does not renew its lease for longer than it relies on it although the store answers again: renewals pause
// while they get no answer.
func TestAnswerEndsGapBetweenRenewals(t *testing.T) {
	for name, c := range map[string]struct {
		silence time.Duration
		sent    int
	}{
		"in the gap": {4 * time.Second, 9}, "after the gap": {7 * time.Second, 13},
	} {
		t.Run(name, func(t *testing.T) {
			var isAnswered atomic.Bool
			runSession(t, func(ctx context.Context, number int, _ int64) error {
				for number > 1 && !isAnswered.Load() {
					sleep(ctx, 10*time.Millisecond)
					if ctx.Err() != nil {
						return ctx.Err()
					}
				}
				return nil
			}, func(t *testing.T, h *entry.Host, s *renewalStore, decisions *decisionLog) {
				time.Sleep(c.silence)
				assert.Equal(t, decisions.count("renewal_gap"), 1)
				sent, _ := s.renewals()
				assert.Equal(t, sent, c.sent)
				isAnswered.Store(true)
				time.Sleep(sessionInterval)
				for range 100 {
					time.Sleep(50 * time.Millisecond)
					_, expires := h.Lease()
					assert.Assert(t, expires.After(time.Now()))
				}
			})
		})
	}
}

// Guards against a host that acts later after an outage of the store because it pauses its renewals as the store returns: no renewal is
// under way any more that could be answered.
func TestReadEndsGapBetweenRenewals(t *testing.T) {
	var isUp atomic.Bool
	runSession(t, func(ctx context.Context, number int, _ int64) error {
		if number > 1 && !isUp.Load() {
			return silence(ctx)
		}
		return nil
	}, func(t *testing.T, h *entry.Host, s *renewalStore, decisions *decisionLog) {
		s.mu.Lock()
		s.read = func(ctx context.Context) error {
			if !isUp.Load() {
				return silence(ctx)
			}
			return nil
		}
		s.mu.Unlock()
		time.Sleep(4 * time.Second)
		assert.Equal(t, decisions.count("renewal_gap"), 1)
		isUp.Store(true)
		time.Sleep(sessionInterval)
		_, expires := h.Lease()
		assert.Check(t, expires.After(time.Now()), "the next renewal would follow at the end of the gap, 1.3 s later")
	})
}
