package host

import (
	"encoding/json"
	"time"

	"github.com/laburnumridge/laburnumridge/internal/fleet"
	"github.com/laburnumridge/laburnumridge/internal/kvstore"
	"github.com/laburnumridge/laburnumridge/internal/retry"
)

// ownershipProof says that this host owned a shard under a platform lease, and when the renewal was sent on which the owner may
// rely. The write that proves it may be later, but does not prolong the lease.
type ownershipProof struct {
	at    time.Time
	lease int64
}

// verifiedRenewal returns when the last renewal of the platform lease that is valid for the shard was sent. After the
// lease has lapsed, another host may have taken over, so a renewal is valid only once the shard's record has been
// verified again.
func (s *shards) verifiedRenewal(id fleet.ShardID, epoch int64) time.Time {
	renewed, lease := s.host.session.current()
	s.mu.Lock()
	verified := s.verified[id]
	s.mu.Unlock()
	if lease == verified.lease && renewed.Sub(verified.at) < sessionValidity {
		s.setVerified(id, ownershipProof{at: renewed, lease: lease})
		return renewed
	}
	s.verify(id, epoch)
	return verified.at
}

func (s *shards) setVerified(id fleet.ShardID, t ownershipProof) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if t.at.After(s.verified[id].at) {
		s.verified[id] = t
	}
}

// verify rewrites the shard's record unchanged, in the background and once at a time. The write makes a takeover fail
// if it read the record while the lease had lapsed.
func (s *shards) verify(id fleet.ShardID, epoch int64) {
	o, ok := s.get(id)
	if !ok || !o.verifying.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer o.verifying.Store(false)
		defer retry.Sleep(s.host.ownerContext(), contendInterval)
		renewed, lease := s.host.session.current()
		rec, mod, err := s.read(s.host.ownerContext(), id)
		if err != nil {
			return
		}
		if rec.Owner != s.host.id || rec.Epoch != epoch {
			o.post(func(time.Time) { o.ledger.Conflicted() })
			return
		}
		value, err := json.Marshal(rec)
		if err != nil {
			return
		}
		_, err = s.host.storeFor(kvstore.ClassOwnership).CompareAndSwap(s.host.ownerContext(), shardPrefix+id.String(), mod, value, 0)
		if err == nil {
			s.setVerified(id, ownershipProof{at: renewed, lease: lease})
		}
	}()
}
