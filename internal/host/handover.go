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

// handedResponses bounds the responses that are handed over with the keys, well below a peer frame's limit.
const handedResponses = 1 << 20

// handedKeys is the key table of a shard as it is handed over.
type handedKeys struct {
	Handed []idempotency.Handed `json:"handed"`
	Since  time.Time            `json:"since"`
}

// handTo gives a freed shard with its keys to the zone peer that owns the fewest shards.
func (s *shards) handTo(ctx context.Context, id fleet.ShardID, epoch int64, keys []byte) {
	to := s.successor(id)
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
	s.host.ring.Add(explain.Decision{
		Decision: "hand_over", Reason: reason, Task: "shard/" + id.String(), Zone: id.Zone,
	})
}

func (s *shards) successor(id fleet.ShardID) string {
	owned := map[string]int{}
	s.mu.Lock()
	for _, w := range s.seen {
		if time.Since(w.at) < gossipTrusted {
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
			owned[p.Host] == owned[best] && rendezvous(p.Host, id) > rendezvous(best, id) {
			best = p.Host
		}
	}
	return best
}

// takeHandover takes a shard that its last owner has freed, without waiting as others do.
func (s *shards) takeHandover(ctx context.Context, in peer.Handover) error {
	id := fleet.ShardID{Index: in.Index, Zone: in.Zone}
	var keys handedKeys
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
	s.handed[id] = handed{epoch: in.Epoch, keys: keys}
	s.mu.Unlock()
	s.take(ctx, id, rec, mod)
	if _, ok := s.get(id); !ok {
		return eris.Errorf("shard %s was not taken", id)
	}
	return nil
}

// inherit gives a new table what is known of earlier owners' keys.
func (s *shards) inherit(id fleet.ShardID, epoch int64, table *idempotency.Table) {
	s.mu.Lock()
	defer s.mu.Unlock()
	h, ok := s.handed[id]
	delete(s.handed, id)
	switch {
	case epoch == 1:
		table.Inherit(time.Now(), nil, time.Time{})
	case ok && h.epoch == epoch-1:
		table.Inherit(time.Now(), h.keys.Handed, h.keys.Since)
	}
}
