package host

import (
	"context"
	"time"

	"github.com/laburnumridge/laburnumridge/internal/explain"
	"github.com/laburnumridge/laburnumridge/internal/fleet"
	"github.com/laburnumridge/laburnumridge/internal/retry"
)

const (
	// successorDelay is how long other hosts leave a released shard to its successor. It is several times as long as the
	// successor usually needs to take the shard.
	successorDelay = time.Second
	// moveTimeout bounds the wait for the successor of a shard. Keyed requests of the shard wait meanwhile.
	moveTimeout = 2 * time.Second
	// reclaimInterval is the interval of the attempts to take a shard back that its successor did not take.
	reclaimInterval = 200 * time.Millisecond
)

// move hands a shard over to another host of the zone while this host goes on serving. The keys of requests that this host still
// runs are handed over as running, and reportLateOutcome tells the successor how these requests end. Requests with other keys of
// the shard wait until the successor serves them. If the successor does not take the shard, this host takes it back with all keys,
// and move returns false.
func (s *shards) move(ctx context.Context, id fleet.ShardID, to string) bool {
	s.mu.Lock()
	o, ok := s.owned[id]
	s.mu.Unlock()
	if !ok {
		return true
	}
	epoch := o.owner.epoch
	o.requestHandover(ctx)
	<-o.done
	defer s.host.keyTables.remove(id, epoch)
	if o.err != nil {
		return true // another host owns the shard
	}
	keys := s.closeServingKeyTable(id, epoch)
	if s.releaseShard(ctx, id, shardRecord{Epoch: epoch, Successor: to}, to+" is less loaded") {
		sendCtx, cancel := context.WithTimeout(ctx, moveTimeout)
		err := s.handOverTo(sendCtx, to, id, epoch, keys)
		cancel()
		if err == nil {
			s.recordSuccessor(id, epoch+1, to)
			return true
		}
	}
	return s.reclaim(ctx, id, epoch, keys) == to
}

// closeServingKeyTable ends the claims of a shard's key table, without waiting for the requests that this host runs, and returns
// the table for the next owner. It returns nil if the table may not be handed over.
func (s *shards) closeServingKeyTable(id fleet.ShardID, epoch int64) *keyTransfer {
	table, ok := s.host.keyTables.get(id)
	if !ok || table.epoch != epoch {
		return nil
	}
	if !table.CanHandOver() {
		table.Close()
		return nil
	}
	// A request ends by its deadline, which is at most the request timeout from now; its outcome may be reported for
	// lateOutcomeTimeout after that.
	until := time.Now().Add(s.host.settings.Limits.RequestTimeout.Duration + lateOutcomeTimeout)
	var keys keyTransfer
	keys.Handed, keys.Since = table.HandOverWhileServing(maxHandoverResponseBytes, epoch, until)
	return &keys
}

// reclaim takes a shard back that was not handed over, unless another host has taken it. The record in the store decides, also
// if the successor took the shard and its reply was lost. It returns the shard's new owner, empty if that is unknown.
func (s *shards) reclaim(ctx context.Context, id fleet.ShardID, epoch int64, keys *keyTransfer) string {
	if keys != nil {
		s.mu.Lock()
		s.received[id] = receivedKeys{epoch: epoch, keys: *keys}
		s.mu.Unlock()
	}
	for ; ctx.Err() == nil; retry.Sleep(ctx, jitter(reclaimInterval)) {
		rec, mod, err := s.read(ctx, id)
		switch {
		case err != nil:
			continue
		case rec.Epoch == epoch && !s.host.isDraining():
			s.takeOver(ctx, id, rec, mod)
			if _, ok := s.get(id); ok {
				return s.host.id
			}
			continue
		case rec.Epoch > epoch && rec.Owner != "" && rec.Owner != s.host.id:
			s.recordSuccessor(id, rec.Epoch, rec.Owner)
		}
		s.mu.Lock()
		delete(s.received, id)
		s.mu.Unlock()
		return rec.Owner
	}
	return ""
}

// recordSuccessor records that another host has taken a shard that this host moved, so that requests are sent there before its
// first heartbeat says so.
func (s *shards) recordSuccessor(id fleet.ShardID, epoch int64, owner string) {
	now := time.Now()
	s.moves.recordTaken(id, now)
	s.mu.Lock()
	isNew := s.lastOwners[id].epoch < epoch
	if isNew {
		s.lastOwners[id] = ownerInfo{epoch: epoch, host: owner, seenAt: now}
	}
	s.mu.Unlock()
	if isNew {
		s.host.backends.sendAcks(now) // a new owner sends grants only to hosts that it knows
	}
}

// startMove moves a shard in the background. If the other host does not take it, recordMissed delays the next move to that host.
func (s *shards) startMove(id fleet.ShardID, to, reason string) {
	if !s.moves.begin(id) {
		return
	}
	s.host.decisions.Add(explain.Decision{
		Decision: "rebalance", Reason: reason, Task: "shard/" + id.String(), Zone: id.Zone,
	})
	go func() {
		defer s.moves.end(id)
		if !s.move(s.host.ownerContext(), id, to) {
			s.rebalancer.recordMissed(to, time.Now())
		}
	}()
}
