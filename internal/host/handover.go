package host

import (
	"context"
	"encoding/json"
	"maps"
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

const (
	// maxHandoverResponseBytes limits the responses that are handed over with the keys. It is well below the size limit
	// of a peer frame.
	maxHandoverResponseBytes = 1 << 20
	// maxKeysPerMessage limits the keys of one handover message. A key takes about 300 bytes, and all responses may be in one
	// message, so that it stays below the size limit of a peer frame.
	maxKeysPerMessage = 5000
)

// errNotShardOwner means that this host can't do what only the owner of the shard may do.
var errNotShardOwner = eris.New("this host does not own the shard")

// keyTransfer is the key table of a shard, or the part of it that one handover message carries.
type keyTransfer struct {
	Handed []idempotency.HandoverEntry `json:"handed"`
	Since  time.Time                   `json:"since"`
}

// handOverAll hands all shards over on a drain, at the same time, once the moves that are under way have ended.
func (s *shards) handOverAll(ctx context.Context) {
	s.moves.finish(ctx)
	s.mu.Lock()
	owned := maps.Clone(s.owned)
	s.mu.Unlock()
	var all sync.WaitGroup
	for id, o := range owned {
		all.Go(func() { s.drainShard(ctx, id, o) })
	}
	all.Wait()
}

// requestHandover asks the owner's loop to prepare the handover of the shard and to end. It does nothing if the loop has ended.
func (o *ownedShard) requestHandover(ctx context.Context) {
	select {
	case o.owner.posted <- func(time.Time) { o.owner.handingOver = true }:
	case <-o.done:
	case <-ctx.Done():
	}
}

// drainShard stops the owner of a shard gracefully, releases the shard and hands it to the peer of the zone that owns the fewest
// shards. Without such a peer, or if it does not take the shard, another host takes it over without its keys.
func (s *shards) drainShard(ctx context.Context, id fleet.ShardID, o *ownedShard) {
	o.requestHandover(ctx)
	select {
	case <-o.done:
	case <-ctx.Done():
		o.cancel()
		<-o.done
	}
	keys := s.closeKeyTable(ctx, id, o.owner.epoch)
	if !s.releaseShard(ctx, id, shardRecord{Epoch: o.owner.epoch}, "host drains") {
		return
	}
	if to := s.handoverTarget(id); to != "" {
		_ = s.handOverTo(ctx, to, id, o.owner.epoch, keys)
	}
}

// closeKeyTable ends the claims of a shard's key table and returns the table for the next owner. It returns nil if the table may
// not be handed over.
func (s *shards) closeKeyTable(ctx context.Context, id fleet.ShardID, epoch int64) *keyTransfer {
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
	return &keys
}

// releaseShard replaces the shard's record, which names this host, by one of the same epoch without an owner. It returns true
// only if the write is known to have taken effect.
func (s *shards) releaseShard(ctx context.Context, id fleet.ShardID, released shardRecord, reason string) bool {
	rec, mod, err := s.read(ctx, id)
	if err != nil || rec.Owner != s.host.id || rec.Epoch != released.Epoch {
		return false
	}
	value, err := json.Marshal(released)
	if err != nil {
		return false
	}
	_, err = s.host.storeFor(kvstore.ClassOwnership).CompareAndSwap(ctx, shardPrefix+id.String(), mod, value, 0)
	s.host.decisions.Add(explain.Decision{
		Decision: "free_shard", Reason: reason, Task: "shard/" + id.String(), Zone: id.Zone,
	})
	if err != nil {
		s.host.log.WithError(err).Warn("failed to free the shard; another host takes it over when this host's platform lease expires")
	}
	return err == nil
}

// handOverTo hands a released shard and its keys, if there are any, to a peer and waits until it owns the shard. It logs the
// decision, also if the peer did not take the shard.
func (s *shards) handOverTo(ctx context.Context, to string, id fleet.ShardID, epoch int64, keys *keyTransfer) error {
	err := s.sendKeys(ctx, to, peer.Handover{Epoch: epoch, Index: id.Index, Zone: id.Zone}, keys)
	reason := "keys and shard were given to " + to
	if err != nil {
		reason = to + " did not take it: " + err.Error()
	}
	s.host.decisions.Add(explain.Decision{
		Decision: "hand_over", Reason: reason, Task: "shard/" + id.String(), Zone: id.Zone,
	})
	return err
}

// sendKeys sends the handover message m, in several parts if there are many keys.
func (s *shards) sendKeys(ctx context.Context, to string, m peer.Handover, keys *keyTransfer) error {
	if keys == nil {
		return s.requestHandover(ctx, to, m)
	}
	rest := keys.Handed
	for m.More = true; m.More; m.Part++ {
		n := min(len(rest), maxKeysPerMessage)
		data, err := json.Marshal(keyTransfer{Handed: rest[:n], Since: keys.Since})
		if err != nil {
			return eris.Wrapf(err, "keys of shard %d", m.Index)
		}
		rest = rest[n:]
		m.Keys, m.More = data, len(rest) > 0
		if err := s.requestHandover(ctx, to, m); err != nil {
			return err
		}
	}
	return nil
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
	keys, err := s.joinKeys(id, in)
	if err != nil || in.More {
		return err
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
		s.received[id] = keys
		s.mu.Unlock()
	}
	s.takeOver(ctx, id, rec, mod)
	if o, ok := s.get(id); !ok || o.epoch != in.Epoch+1 {
		return eris.Wrapf(errNotShardOwner, "%s was not taken", id)
	}
	return nil
}

// joinKeys returns the keys of a handover message and of the parts before it. Until the last part has been received, they are kept
// in s.partial and not used, since a request whose key is missing would run again.
func (s *shards) joinKeys(id fleet.ShardID, in peer.Handover) (receivedKeys, error) {
	out := receivedKeys{epoch: in.Epoch}
	if len(in.Keys) == 0 {
		return out, nil
	}
	if err := json.Unmarshal(in.Keys, &out.keys); err != nil {
		return out, eris.Wrapf(err, "keys of %s", id)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.partial[id]
	delete(s.partial, id)
	if in.Part > 0 {
		if before.epoch != in.Epoch || before.parts != in.Part {
			return out, eris.Errorf("keys of %s: part %d of epoch %d is out of order", id, in.Part, in.Epoch)
		}
		out.keys.Handed = append(before.keys.Handed, out.keys.Handed...)
	}
	out.parts = in.Part + 1
	if in.More {
		s.partial[id] = out
	}
	return out, nil
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
