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
	// maxSuitabilities limits the cache; it is cleared when it is full.
	maxSuitabilities = 1024
)

// suitability says whether the workers of a shard can hold some demands.
type suitability struct {
	receivedAt time.Time
	suits      bool
}

// suitabilityCache holds suitabilities by the shard and the demands.
type suitabilityCache struct {
	entries map[string]suitability
	mu      sync.Mutex
}

// shardSuits reports whether the workers of a shard can hold some demands. Without an answer they are assumed to.
func (h *Host) shardSuits(ctx context.Context, n int, service string, demands []shard.Demand) bool {
	key := fmt.Sprint(n, demands)
	c := &h.suitabilities
	c.mu.Lock()
	known, ok := c.entries[key]
	c.mu.Unlock()
	if ok && time.Since(known.receivedAt) < suitabilityAge {
		return known.suits
	}
	l := h.shardLoad(ctx, loadKey{service, n}, demands)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.entries == nil || len(c.entries) >= maxSuitabilities {
		c.entries = map[string]suitability{}
	}
	c.entries[key] = suitability{receivedAt: time.Now(), suits: !l.isUnsuitable}
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
