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

// Timing of the host's lease in the store. The TTL is short since the shards of a failed host have no owner until its
// lease expires, but still allows renewal from a store that answers in 200 ms, fifty times its usual latency.
const (
	sessionTTL           = 1600 * time.Millisecond
	sessionRenewInterval = 400 * time.Millisecond
	sessionRetryInterval = 100 * time.Millisecond
	sessionCallTimeout   = 700 * time.Millisecond
	sessionExpiryMargin  = 100 * time.Millisecond
)

// session keeps the host's lease and record in the store.
type session struct {
	// abandoned is the lease that was abandoned last.
	abandoned int64
	// expires is when this host stops relying on the lease: sessionExpiryMargin before the store can end it.
	expires time.Time
	healthy atomic.Bool
	lease   int64
	log     *logrus.Entry
	mu      sync.Mutex
	now     func() time.Time
	// onLease is called after each new lease.
	onLease func(lease int64)
	record  hostRecord
	store   kvstore.Store
	wake    chan struct{}
}

// currentLease returns the lease, 0 if there is none, and the time until which it can be relied on.
func (s *session) currentLease() (int64, time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lease, s.expires
}

// isHealthy reports whether the last renewal of the lease succeeded.
func (s *session) isHealthy() bool { return s.healthy.Load() }

func (s *session) run(ctx context.Context) {
	for ctx.Err() == nil {
		err := s.renew(ctx)
		if ok := err == nil; s.healthy.Swap(ok) != ok {
			lease, _ := s.currentLease()
			entry := s.log.WithFields(logrus.Fields{"decision": "store_health", "lease": lease, "healthy": ok})
			if ok {
				entry.Info("lease renewal succeeded; the store is reachable")
			} else {
				entry.WithError(err).Warn("failed to renew or request the host's lease")
			}
		}
		pause := sessionRenewInterval
		if err != nil {
			pause = sessionRetryInterval
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

// renew extends the lease. If there is none or it has expired, it requests a new one and writes the host's record under it.
func (s *session) renew(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, sessionCallTimeout)
	defer cancel()
	lease, _ := s.currentLease()
	sent := s.now()
	if lease != 0 {
		err := s.store.KeepAlive(ctx, lease)
		if err == nil {
			s.setLease(lease, sent)
			return nil
		}
		if !errors.Is(err, kvstore.ErrConflict) {
			return err
		}
		leasesLost.Add(1)
		s.log.WithFields(logrus.Fields{"decision": "lease_ended", "lease": lease}).
			Warn("host's lease has expired; requesting a new one")
		s.setLease(0, sent)
	}
	sent = s.now()
	lease, err := s.store.Grant(ctx, sessionTTL)
	if err != nil {
		return err
	}
	if err := s.writeRecord(ctx, lease); err != nil {
		return err
	}
	s.setLease(lease, sent)
	s.onLease(lease)
	return nil
}

func (s *session) writeRecord(ctx context.Context, lease int64) error {
	s.mu.Lock()
	value := workflow.Encode(s.record)
	s.mu.Unlock()
	_, err := s.store.Txn(ctx, kvstore.Txn{Puts: []kvstore.Put{{Key: hostPrefix + s.record.Host, Lease: lease, Value: value}}})
	return err
}

func (s *session) setLease(lease int64, sent time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if lease != 0 && lease == s.abandoned {
		return // the renewal was under way
	}
	s.lease = lease
	s.expires = sent.Add(sessionTTL - sessionExpiryMargin)
	if lease == 0 {
		s.expires = time.Time{}
	}
}

// markDraining marks the host's record as draining, so that other hosts stop choosing this one. It makes one attempt only, since
// repeated ones would take the time that the drain needs.
func (s *session) markDraining(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, sessionCallTimeout)
	defer cancel()
	s.mu.Lock()
	s.record.Draining = true
	lease := s.lease
	s.mu.Unlock()
	if lease == 0 {
		return
	}
	if err := s.writeRecord(ctx, lease); err != nil {
		s.log.WithError(err).Warn("failed to mark the host's record as draining")
	}
}

// abandon ends a lease whose keys the host can't delete one by one, so that other hosts take its shards. The lease ends after its TTL
// if the call fails, as it is not renewed any more. The next renewal requests a new lease.
func (s *session) abandon(ctx context.Context, lease int64) error {
	s.mu.Lock()
	if lease == 0 || lease != s.lease {
		s.mu.Unlock()
		return nil
	}
	s.abandoned, s.lease, s.expires = lease, 0, time.Time{}
	s.mu.Unlock()
	s.log.WithFields(logrus.Fields{"decision": "lease_abandoned", "lease": lease}).
		Warn("abandoning the host's lease, since the store does not carry out the handover of a shard")
	ctx, cancel := withTimeout(ctx, storeCallTimeout)
	defer cancel()
	return s.store.Revoke(ctx, lease)
}

// revoke ends the lease, which deletes the keys that the host wrote under it.
func (s *session) revoke(ctx context.Context) {
	if lease, _ := s.currentLease(); lease != 0 {
		if err := s.store.Revoke(ctx, lease); err != nil {
			s.log.WithError(err).Warn("failed to revoke the host's lease; it expires after its TTL")
		}
	}
}
