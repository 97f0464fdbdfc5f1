package host

import (
	"context"
	"sync"
	"time"

	"github.com/laburnumridge/laburnumridge/internal/fleet"
	"github.com/laburnumridge/laburnumridge/internal/retry"
)

// shardMoves tracks moves: handovers of shards while this host goes on serving.
type shardMoves struct {
	active   map[fleet.ShardID]bool
	isClosed bool // no further move may begin
	// takenAt is when another host took each shard that was moved.
	takenAt map[fleet.ShardID]time.Time
	mu      sync.Mutex
}

func newShardMoves() *shardMoves {
	return &shardMoves{active: map[fleet.ShardID]bool{}, takenAt: map[fleet.ShardID]time.Time{}}
}

// begin marks a shard as being moved. It returns false if a move is under way, since the other hosts see its result only when it
// has ended, or if no further move may begin.
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

func (m *shardMoves) recordTaken(id fleet.ShardID, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.takenAt[id] = now
}

// wasTakenRecently reports whether another host took the shard so recently that hosts may still send requests for it here.
func (m *shardMoves) wasTakenRecently(id fleet.ShardID, now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	at, ok := m.takenAt[id]
	return ok && now.Sub(at) < ownerValidity
}
