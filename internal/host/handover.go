package host

import (
	"context"
	"encoding/json"
	"time"

	"github.com/rotisserie/eris"

	"github.com/laburnumridge/laburnumridge/internal/explain"
	"github.com/laburnumridge/laburnumridge/internal/fleet"
	"github.com/laburnumridge/laburnumridge/internal/idempotency"
	"github.com/laburnumridge/laburnumridge/internal/peer"
)

// maxHandoverResponseBytes limits the responses that are handed over with the keys. It is well below the size limit
// of a peer frame.
const maxHandoverResponseBytes = 1 << 20

// keyTransfer is the key table of a shard in a handover message.
type keyTransfer struct {
	Handed []idempotency.HandoverEntry `json:"handed"`
	Since  time.Time                   `json:"since"`
}

// sendHandover hands a released shard and its keys to the peer of the zone that owns the fewest shards.
func (s *shards) sendHandover(ctx context.Context, id fleet.ShardID, epoch int64, keys []byte) {
	to := s.handoverTarget(id)
	if to == "" || keys == nil {
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
	if err := json.Unmarshal(in.Keys, &keys); err != nil {
		return eris.Wrapf(err, "keys of %s", id)
	}
	rec, mod, err := s.read(ctx, id)
	if err != nil {
		return err
	}
	if rec.Epoch != in.Epoch || rec.Owner != "" {
		return eris.Errorf("shard %s is at epoch %d with owner %q", id, rec.Epoch, rec.Owner)
	}
	s.mu.Lock()
	s.received[id] = receivedKeys{epoch: in.Epoch, keys: keys}
	s.mu.Unlock()
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
