package host

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/laburnumridge/laburnumridge/internal/explain"
	"github.com/laburnumridge/laburnumridge/internal/fleet"
	"github.com/laburnumridge/laburnumridge/internal/idempotency"
	"github.com/laburnumridge/laburnumridge/internal/kvstore"
	"github.com/laburnumridge/laburnumridge/internal/peer"
	"github.com/laburnumridge/laburnumridge/internal/retry"
)

// maxHandoverResponseBytes limits the responses that are handed over with the keys. It is well below the size limit
// of a peer frame.
const maxHandoverResponseBytes = 1 << 20

// keyTransfer is the key table of a shard in a handover message.
type keyTransfer struct {
	Handed []idempotency.HandoverEntry `json:"handed"`
	Since  time.Time                   `json:"since"`
}

// handOver stops all owners gracefully and releases their shards.
func (s *shards) handOver(ctx context.Context) {
	s.mu.Lock()
	owned := map[fleet.ShardID]*ownedShard{}
	for id, o := range s.owned {
		owned[id] = o
	}
	s.mu.Unlock()
	var all sync.WaitGroup
	for id, o := range owned {
		all.Go(func() {
			o.owner.postUntil(ctx, func(time.Time) { o.owner.handingOver = true })
			select {
			case <-o.done:
			case <-ctx.Done():
				o.cancel()
				<-o.done
			}
			keys := s.closeKeyTable(ctx, id, o.owner.epoch)
			if s.releaseShard(ctx, id, o.owner.epoch) {
				s.sendHandover(ctx, id, o.owner.epoch, keys)
			}
		})
	}
	all.Wait()
}

// closeKeyTable ends the claims of a shard's key table and returns the encoded table for the next owner. It returns nil if the
// table may not be handed over.
func (s *shards) closeKeyTable(ctx context.Context, id fleet.ShardID, epoch int64) []byte {
	table, ok := s.host.keyTables.get(id)
	if !ok || table.epoch != epoch {
		return nil
	}
	defer s.host.keyTables.remove(id, epoch)
	for table.Close() > 0 && ctx.Err() == nil {
		retry.Sleep(ctx, pollInterval)
	}
	if !table.CanHandOver() {
		return nil
	}
	var keys keyTransfer
	keys.Handed, keys.Since = table.HandOver(maxHandoverResponseBytes)
	data, err := json.Marshal(keys)
	if err != nil {
		return nil
	}
	return data
}

// releaseShard removes this host from the shard's record. It returns true only if the write is known to have taken
// effect.
func (s *shards) releaseShard(ctx context.Context, id fleet.ShardID, epoch int64) bool {
	rec, mod, err := s.read(ctx, id)
	if err != nil || rec.Owner != s.host.id || rec.Epoch != epoch {
		return false
	}
	value, err := json.Marshal(shardRecord{Epoch: epoch})
	if err != nil {
		return false
	}
	_, err = s.host.storeFor(kvstore.ClassOwnership).CompareAndSwap(ctx, shardPrefix+id.String(), mod, value, 0)
	s.host.decisions.Add(explain.Decision{
		Decision: "free_shard", Reason: "host drains", Task: "shard/" + id.String(), Zone: id.Zone,
	})
	if err != nil {
		s.host.log.WithError(err).Warn("failed to free the shard; another host takes it over when this host's platform lease expires")
	}
	return err == nil
}

// sendHandover hands a released shard and its keys, if there are any, to the peer of the zone that owns the fewest shards.
func (s *shards) sendHandover(ctx context.Context, id fleet.ShardID, epoch int64, keys []byte) {
	to := s.handoverTarget(id)
	if to == "" {
		return
	}
	_, err := s.host.mesh.Request(ctx, to, peer.Message{Handover: &peer.Handover{
		Epoch: epoch, Index: id.Index, Keys: keys, Zone: id.Zone,
	}})
	reason := "keys and shard were given to " + to
	if err != nil {
		reason = to + " did not take it: " + err.Error()
	}
	s.host.decisions.Add(explain.Decision{
		Decision: "hand_over", Reason: reason, Task: "shard/" + id.String(), Zone: id.Zone,
	})
}

func (s *shards) handoverTarget(id fleet.ShardID) string {
	owned := map[string]int{}
	s.mu.Lock()
	for _, w := range s.lastOwners {
		if time.Since(w.seenAt) < heartbeatValidity {
			owned[w.host]++
		}
	}
	s.mu.Unlock()
	best := ""
	for _, p := range s.host.mesh.Zone(s.host.zone) {
		if s.host.isPeerDraining(p.Host) {
			continue
		}
		if best == "" || owned[p.Host] < owned[best] ||
			owned[p.Host] == owned[best] && rendezvousHash(p.Host, id) > rendezvousHash(best, id) {
			best = p.Host
		}
	}
	return best
}

// acceptHandover takes over a shard that its owner has released, without the delay of contend.
func (s *shards) acceptHandover(ctx context.Context, in peer.Handover) error {
	id := fleet.ShardID{Index: in.Index, Zone: in.Zone}
	var keys keyTransfer
	if len(in.Keys) > 0 {
		if err := json.Unmarshal(in.Keys, &keys); err != nil {
			return eris.Wrapf(err, "keys of %s", id)
		}
	}
	rec, mod, err := s.read(ctx, id)
	if err != nil {
		return err
	}
	if rec.Epoch != in.Epoch || rec.Owner != "" {
		return eris.Errorf("shard %s is at epoch %d with owner %q", id, rec.Epoch, rec.Owner)
	}
	if len(in.Keys) > 0 {
		s.mu.Lock()
		s.received[id] = receivedKeys{epoch: in.Epoch, keys: keys}
		s.mu.Unlock()
	}
	s.takeOver(ctx, id, rec, mod)
	if _, ok := s.get(id); !ok {
		return eris.Errorf("shard %s was not taken", id)
	}
	return nil
}

// inheritKeys passes the keys that the previous owner handed over to a new key table. The first epoch has no previous
// owner.
func (s *shards) inheritKeys(id fleet.ShardID, epoch int64, table *idempotency.Table) {
	s.mu.Lock()
	defer s.mu.Unlock()
	h, ok := s.received[id]
	delete(s.received, id)
	switch {
	case epoch == 1:
		table.AcceptHandover(time.Now(), nil, time.Time{})
	case ok && h.epoch == epoch-1:
		table.AcceptHandover(time.Now(), h.keys.Handed, h.keys.Since)
	}
}
