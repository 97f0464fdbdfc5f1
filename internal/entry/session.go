package entry

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/laburnumridge/laburnumridge/internal/kvstore"
	"github.com/laburnumridge/laburnumridge/internal/retry"
	"github.com/laburnumridge/laburnumridge/internal/workflow"
)

// Timing of the host's lease in the store. The TTL is short since the shards of a failed host have no owner until its
// lease expires, but still allows renewal from a store that answers in 200 ms, fifty times its usual latency.
const (
	sessionTTL           = 1600 * time.Millisecond
	sessionRenewInterval = 400 * time.Millisecond
	sessionRetryInterval = 100 * time.Millisecond
	// sessionCallTimeout is after what time without an answer the store counts as unreachable.
	sessionCallTimeout  = 700 * time.Millisecond
	sessionExpiryMargin = 100 * time.Millisecond
)

// session keeps the host's lease and record in the store.
type session struct {
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
	// recordRevision is the revision of the host's record in the store, as far as this process knows.
	recordRevision int64
	store          kvstore.Store
}

// currentLease returns the lease, 0 if there is none, and the time until which it can be relied on.
func (s *session) currentLease() (int64, time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lease, s.expires
}

// renewedAt returns when the request or renewal of the present lease was sent that succeeded last.
func (s *session) renewedAt() time.Time {
	_, expires := s.currentLease()
	return expires.Add(sessionExpiryMargin - sessionTTL)
}

// isHealthy reports whether the newest outcome of a renewal was a success, and renewals are not without an answer for too long.
func (s *session) isHealthy() bool { return s.healthy.Load() }

// setHealthy records the outcome of a renewal or a request for a lease.
func (s *session) setHealthy(err error) {
	ok := err == nil
	if s.healthy.Swap(ok) == ok {
		return
	}
	lease, _ := s.currentLease()
	entry := s.log.WithFields(logrus.Fields{"decision": "store_health", "lease": lease, "healthy": ok})
	if ok {
		entry.Info("lease renewal succeeded; the store is reachable")
	} else {
		entry.WithError(err).Warn("failed to renew or request the host's lease")
	}
}

func (s *session) run(ctx context.Context) {
	for ctx.Err() == nil {
		lease, err := s.request(ctx)
		s.setHealthy(err)
		if err != nil {
			retry.Sleep(ctx, sessionRetryInterval)
			continue
		}
		s.keep(ctx, lease)
	}
}

// request requests a lease and writes the host's record under it. Only one request is made at a time, since a record that is written
// under an earlier lease would end with it. Both calls wait for processor time on a busy host, so each has its own deadline; the
// lease lasts for both.
func (s *session) request(ctx context.Context) (int64, error) {
	callCtx, cancel := withTimeout(ctx, sessionCallTimeout)
	defer cancel()
	sent := s.now()
	lease, err := s.store.Grant(callCtx, sessionTTL)
	if err != nil {
		return 0, err
	}
	recordCtx, cancelRecord := withTimeout(ctx, sessionCallTimeout)
	defer cancelRecord()
	if err := s.writeRecord(recordCtx, lease); err != nil {
		return 0, err
	}
	s.setLease(lease, sent)
	s.onLease(lease)
	return lease, nil
}

// writeRecord writes the host's record under a lease. The guard keeps a write whose response was lost from being executed after a later
// one: the record would end with the lease of the earlier one, and nobody would write it again.
func (s *session) writeRecord(ctx context.Context, lease int64) error {
	s.mu.Lock()
	value, revision := workflow.Encode(s.record), s.recordRevision
	s.mu.Unlock()
	key := hostPrefix + s.record.Host
	for {
		result, err := s.store.Txn(ctx, kvstore.Txn{
			Guards: []kvstore.Guard{{Key: key, Revision: revision}}, Puts: []kvstore.Put{{Key: key, Lease: lease, Value: value}},
		})
		if err == nil {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.recordRevision = result.Revision
			return nil
		}
		current := int64(0) // a key that is absent need not be listed
		for _, kv := range result.Current {
			current = kv.ModRevision
		}
		if !errors.Is(err, kvstore.ErrConflict) || current == revision {
			return err
		}
		revision = current
	}
}

// setLease replaces the lease by one that was requested at a time.
func (s *session) setLease(lease int64, sent time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lease, s.expires = lease, sent.Add(sessionTTL-sessionExpiryMargin)
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
	s.lease, s.expires = 0, time.Time{}
	s.mu.Unlock()
	s.log.WithFields(logrus.Fields{"decision": "lease_abandoned", "lease": lease}).
		Warn("abandoning the host's lease, since the store does not carry out the handover or claim of a shard")
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
