package host

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/laburnumridge/laburnumridge/internal/kvstore"
	"github.com/laburnumridge/laburnumridge/internal/retry"
)

// Timing of the platform lease. The host treats the lease as lost sessionValidity after the start of the last renewal
// that succeeded, by its own monotonic clock. This is well before the platform's TTL ends.
const (
	sessionTTL      = 9 * time.Second
	sessionRenewal  = 3 * time.Second
	sessionValidity = 6 * time.Second
	livePrefix      = "live/"
)

// session maintains the host's platform lease and its key under live/.
type session struct {
	host  string
	lease int64
	log   *logrus.Entry
	mu    sync.Mutex
	// renewed is when the last successful renewal was sent.
	renewed time.Time
	store   kvstore.Store
}

func (s *session) revoke(ctx context.Context) {
	s.mu.Lock()
	lease := s.lease
	s.lease, s.renewed = 0, time.Time{}
	s.mu.Unlock()
	if lease != 0 {
		if err := s.store.Revoke(ctx, lease); err != nil {
			s.log.WithError(err).Warn("platform lease was not revoked; it expires by itself")
		}
	}
}

// current returns when the last successful renewal was sent (zero if never) and the lease.
func (s *session) current() (time.Time, int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.renewed, s.lease
}

func (s *session) isValid(now time.Time) bool {
	at, _ := s.current()
	return !at.IsZero() && now.Sub(at) < sessionValidity
}

func (s *session) run(ctx context.Context) {
	for ctx.Err() == nil {
		if err := s.renew(ctx); err != nil && ctx.Err() == nil {
			s.log.WithError(err).Warn("failed to renew the platform lease; trying again in a second")
			retry.Sleep(ctx, sessionRenewal/3)
			continue
		}
		retry.Sleep(ctx, sessionRenewal)
	}
}

func (s *session) renew(ctx context.Context) error {
	sent := time.Now()
	s.mu.Lock()
	lease := s.lease
	s.mu.Unlock()
	if lease != 0 {
		err := s.store.KeepAlive(ctx, lease)
		if err == nil {
			s.set(lease, sent)
			return nil
		}
		if !errors.Is(err, kvstore.ErrConflict) {
			return err
		}
	}
	return s.open(ctx)
}

// open creates a lease and writes the live key. It replaces a key that an earlier process of this host left.
func (s *session) open(ctx context.Context) error {
	sent := time.Now()
	lease, err := s.store.Grant(ctx, sessionTTL)
	if err != nil {
		return err
	}
	old, err := s.store.Get(ctx, livePrefix+s.host)
	if err != nil {
		return err
	}
	if _, err := s.store.CompareAndSwap(ctx, livePrefix+s.host, old.ModRevision, []byte(`"live"`), lease); err != nil {
		return err
	}
	s.set(lease, sent)
	return nil
}

func (s *session) set(lease int64, sent time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lease, s.renewed = lease, sent
}
