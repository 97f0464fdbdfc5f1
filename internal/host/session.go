package host

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"time"

	"github.com/rotisserie/eris"
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

// errReplaced means that a later process of the host has the live key.
var errReplaced = eris.New("a later process of the host is live")

// session maintains the host's platform lease and its key under live/, which names the process.
type session struct {
	// earlierLease is the lease of an earlier process of the host, which has to end before this process relies on its own;
	// 0 if there is none. Only the loop of run uses it.
	earlierLease int64
	host         string
	incarnation  string
	lease        int64
	log          *logrus.Entry
	mu           sync.Mutex
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

// open creates a lease and writes the live key. It replaces a key that an earlier process of this host left, and ends the
// lease of that process: the process may only have been paused, and would renew its lease for as long as it runs. Errors
// match errReplaced if a later process has replaced the key of this one.
func (s *session) open(ctx context.Context) error {
	sent := time.Now()
	value, err := json.Marshal(s.incarnation)
	if err != nil {
		return err
	}
	old, err := s.store.Get(ctx, livePrefix+s.host)
	if err != nil {
		return err
	}
	if old.ModRevision != 0 && string(old.Value) != string(value) {
		if _, lease := s.current(); lease != 0 {
			return eris.Wrap(errReplaced, s.host)
		}
		s.earlierLease = old.Lease
	}
	lease, err := s.store.Grant(ctx, sessionTTL)
	if err != nil {
		return err
	}
	if _, err := s.store.CompareAndSwap(ctx, livePrefix+s.host, old.ModRevision, value, lease); err != nil {
		return err
	}
	if err := s.endEarlierLease(ctx); err != nil {
		return err
	}
	s.set(lease, sent)
	return nil
}

// endEarlierLease ends the lease of an earlier process of the host, unless it has expired.
func (s *session) endEarlierLease(ctx context.Context) error {
	if s.earlierLease == 0 {
		return nil
	}
	// The store refuses to end a lease that has expired, and only a renewal tells that from other errors.
	if err := s.store.Revoke(ctx, s.earlierLease); err != nil && !errors.Is(s.store.KeepAlive(ctx, s.earlierLease), kvstore.ErrConflict) {
		return err
	}
	s.earlierLease = 0
	return nil
}

func (s *session) set(lease int64, sent time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lease, s.renewed = lease, sent
}
