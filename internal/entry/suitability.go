package entry

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/laburnumridge/laburnumridge/internal/peer"
	"github.com/laburnumridge/laburnumridge/internal/shard"
)

const (
	// suitabilityAge is how long it is relied on that the workers of a shard can or can't hold some demands.
	suitabilityAge = time.Second
	// unansweredSuitabilityAge replaces suitabilityAge while the owner does not answer. An owner that is overloaded or being replaced may
	// be silent for seconds, and the labels and sizes of a shard's workers seldom change.
	unansweredSuitabilityAge = 10 * time.Second
	// maxSuitabilities limits the cache; it is cleared when it is full.
	maxSuitabilities = 1024
)

// suitability says whether the workers of a shard can hold some demands.
type suitability struct {
	// answeredAt is when the shard's owner said so last; zero if another host did not say it. checkedAt is when it was last asked.
	answeredAt, checkedAt time.Time
	suits                 bool
}

// suitabilityCache holds suitabilities by the shard and the demands.
type suitabilityCache struct {
	entries map[string]suitability
	mu      sync.Mutex
}

func (c *suitabilityCache) get(n int, demands []shard.Demand) suitability {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.entries[suitabilityKey(n, demands)]
}

func (c *suitabilityCache) update(n int, demands []shard.Demand, change func(*suitability)) {
	key := suitabilityKey(n, demands)
	c.mu.Lock()
	defer c.mu.Unlock()
	s, ok := c.entries[key]
	if c.entries == nil || !ok && len(c.entries) >= maxSuitabilities {
		c.entries = map[string]suitability{}
	}
	change(&s)
	c.entries[key] = s
}

func suitabilityKey(n int, demands []shard.Demand) string { return fmt.Sprint(n, demands) }

// noteSuitability notes what the owner of a shard has answered.
func (h *Host) noteSuitability(n int, demands []shard.Demand, suits bool) {
	if len(demands) > 0 {
		h.suitabilities.update(n, demands, func(s *suitability) { s.answeredAt, s.suits = time.Now(), suits })
	}
}

// isKnownUnsuitable reports whether the workers of a shard can't hold some demands, as far as is known without its owner: by the registry
// if this host follows it, else by the owner's last answer.
func (h *Host) isKnownUnsuitable(n int, demands []shard.Demand) bool {
	if room, ok := h.ownedShards.registryRoom(demands); ok {
		for i, d := range demands {
			if room.of(n, i) < d.Count {
				return true
			}
		}
		return false
	}
	s := h.suitabilities.get(n, demands)
	return !s.suits && time.Since(s.answeredAt) < unansweredSuitabilityAge
}

// shardSuits reports whether the workers of a shard can hold some demands. If nothing is known they are assumed to.
func (h *Host) shardSuits(ctx context.Context, n int, service string, demands []shard.Demand) bool {
	if s := h.suitabilities.get(n, demands); time.Since(s.checkedAt) < suitabilityAge {
		return s.suits
	}
	l := h.shardLoad(ctx, loadKey{service, n}, demands)
	h.suitabilities.update(n, demands, func(s *suitability) { s.checkedAt, s.suits = time.Now(), !l.isUnsuitable })
	return !l.isUnsuitable
}

func encodeDemands(demands []shard.Demand) []peer.Demand {
	out := make([]peer.Demand, len(demands))
	for i, d := range demands {
		out[i] = peer.Demand(d)
	}
	return out
}

func decodeDemands(demands []peer.Demand) []shard.Demand {
	out := make([]shard.Demand, len(demands))
	for i, d := range demands {
		out[i] = shard.Demand(d)
	}
	return out
}
