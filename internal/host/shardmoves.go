package host

import (
	"context"
	"sync"
	"time"

	"github.com/laburnumridge/laburnumridge/internal/fleet"
	"github.com/laburnumridge/laburnumridge/internal/retry"
)

// shardMoves tracks the shards that this host hands over while it goes on serving.
type shardMoves struct {
	active   map[fleet.ShardID]bool
	isClosed bool // no further move may begin
	// movedAt is when a successor has taken each shard.
	movedAt map[fleet.ShardID]time.Time
	mu      sync.Mutex
}

func newShardMoves() *shardMoves {
	return &shardMoves{active: map[fleet.ShardID]bool{}, movedAt: map[fleet.ShardID]time.Time{}}
}

// begin marks a shard as being moved. It returns false if a shard is already, since one move at a time lets the other hosts
// decide on what they see, or if no move may begin.
func (m *shardMoves) begin(id fleet.ShardID) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.isClosed || len(m.active) > 0 {
		return false
	}
	m.active[id] = true
	return true
}

func (m *shardMoves) end(id fleet.ShardID) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.active, id)
}

// finish lets no further move begin and waits until none is active or ctx ends.
func (m *shardMoves) finish(ctx context.Context) {
	m.mu.Lock()
	m.isClosed = true
	m.mu.Unlock()
	for m.isAnyActive() && ctx.Err() == nil {
		retry.Sleep(ctx, pollInterval)
	}
}

func (m *shardMoves) isActive(id fleet.ShardID) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.active[id]
}

func (m *shardMoves) isAnyActive() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.active) > 0
}

func (m *shardMoves) recordMoved(id fleet.ShardID, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.movedAt[id] = now
}

// isRecent reports whether the shard was moved so recently that another host may still take this one for its owner.
func (m *shardMoves) isRecent(id fleet.ShardID, now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	at, ok := m.movedAt[id]
	return ok && now.Sub(at) < ownerValidity
}
