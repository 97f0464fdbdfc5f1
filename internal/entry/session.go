package entry

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/laburnumridge/laburnumridge/internal/kvstore"
	"github.com/laburnumridge/laburnumridge/internal/workflow"
)

// Timing of a host's lease in the store. A shard without an owner waits for the lease to end, and a store that
// answers fifty times slower than usual (200 ms) still renews it.
const (
	sessionTTL    = 1600 * time.Millisecond
	sessionRenew  = 400 * time.Millisecond
	sessionRetry  = 100 * time.Millisecond
	sessionCall   = 700 * time.Millisecond
	sessionMargin = 100 * time.Millisecond
)

// session keeps the host's lease and record in the store.
type session struct {
	expires time.Time
	healthy atomic.Bool
	lease   int64
	log     *logrus.Entry
	mu      sync.Mutex
	now     func() time.Time
	// onLease is called with each new lease.
	onLease func(lease int64)
	record  hostRecord
	store   kvstore.Store
	wake    chan struct{}
}

// lasting returns the lease and when it may no longer be relied on; 0 if there is none.
func (s *session) lasting() (int64, time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lease, s.expires
}

// isHealthy reports whether the store answered the last renewal.
func (s *session) isHealthy() bool { return s.healthy.Load() }

func (s *session) run(ctx context.Context) {
	for ctx.Err() == nil {
		err := s.renew(ctx)
		if ok := err == nil; s.healthy.Swap(ok) != ok {
			entry := s.log.WithFields(logrus.Fields{"decision": "store_health", "lease": s.lease, "healthy": ok})
			if ok {
				entry.Info("the store answers")
			} else {
				entry.WithError(err).Warn("the store does not answer")
			}
		}
		pause := sessionRenew
		if err != nil {
			pause = sessionRetry
		}
		t := time.NewTimer(pause)
		select {
		case <-ctx.Done():
		case <-s.wake:
		case <-t.C:
		}
		t.Stop()
	}
}

// renew keeps the lease, or takes a new one and writes the host's record under it.
func (s *session) renew(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, sessionCall)
	defer cancel()
	lease, _ := s.lasting()
	sent := s.now()
	if lease != 0 {
		err := s.store.KeepAlive(ctx, lease)
		if err == nil {
			s.extend(lease, sent)
			return nil
		}
		if !errors.Is(err, kvstore.ErrConflict) {
			return err
		}
		leaseLosses.Add(1)
		s.log.WithFields(logrus.Fields{"decision": "lease_ended", "lease": lease}).Warn("the host's lease has ended")
		s.extend(0, sent)
	}
	sent = s.now()
	lease, err := s.store.Grant(ctx, sessionTTL)
	if err != nil {
		return err
	}
	if err := s.write(ctx, lease); err != nil {
		return err
	}
	s.extend(lease, sent)
	s.onLease(lease)
	return nil
}

func (s *session) write(ctx context.Context, lease int64) error {
	s.mu.Lock()
	value := workflow.Encode(s.record)
	s.mu.Unlock()
	_, err := s.store.Txn(ctx, kvstore.Txn{Puts: []kvstore.Put{{Key: hostPrefix + s.record.Host, Lease: lease, Value: value}}})
	return err
}

func (s *session) extend(lease int64, sent time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lease = lease
	s.expires = sent.Add(sessionTTL - sessionMargin)
	if lease == 0 {
		s.expires = time.Time{}
	}
}

// drain marks the host's record, so that others do not choose it any more.
func (s *session) drain(ctx context.Context) {
	s.mu.Lock()
	s.record.Draining = true
	lease := s.lease
	s.mu.Unlock()
	if lease == 0 {
		return
	}
	if err := s.write(ctx, lease); err != nil {
		s.log.WithError(err).Warn("the host's record could not be marked as draining")
	}
}

// end gives the lease back, which deletes the host's keys.
func (s *session) end(ctx context.Context) {
	if lease, _ := s.lasting(); lease != 0 {
		if err := s.store.Revoke(ctx, lease); err != nil {
			s.log.WithError(err).Warn("the host's lease could not be given back; it runs out by itself")
		}
	}
}
