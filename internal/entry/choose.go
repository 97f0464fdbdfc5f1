package entry

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/laburnumridge/laburnumridge/internal/peer"
	"github.com/laburnumridge/laburnumridge/internal/shard"
	"github.com/laburnumridge/laburnumridge/internal/workflow"
)

const (
	// shardChoices is the number of randomly drawn shards whose loads are compared for a job. With more, hosts that have
	// the same load figures would all choose the same shard until the figures are refreshed.
	shardChoices = 2
	// loadTimeout bounds a load query: two round trips between zones.
	loadTimeout = 60 * time.Millisecond
	// maxLoadAge is how long a reported load is reused: about the time until a new job shows in the load that the owner reports.
	maxLoadAge = 50 * time.Millisecond
	// maxUnansweredLoadAge is how long a reported load is used while the owner does not answer, which allows for a lost packet. An
	// owner that is silent for longer is probably overloaded, so its shard counts as full.
	maxUnansweredLoadAge = 500 * time.Millisecond
)

type loadKey struct {
	service string
	shard   int
}

type cachedLoad struct {
	receivedAt time.Time
	shard.Load
}

// loadCache holds the last load that each shard's owner reported.
type loadCache struct {
	loads map[loadKey]cachedLoad
	mu    sync.Mutex
}

// chooseShard returns the shard for a new job: the shard of the first assigned rack that a step names, otherwise the one of
// shardChoices random shards whose load suits the job best. It returns false while the layout has no shards.
func (h *Host) chooseShard(ctx context.Context, j workflow.Job) (int, bool) {
	l, _, _ := h.directory.currentLayout()
	if l.Shards <= 1 {
		return 0, l.Shards == 1
	}
	for _, s := range j.Steps {
		if n, ok := l.Racks[s.Rack]; ok && s.Rack != "" {
			return n, true
		}
	}
	q, _ := h.config.config().Queue(j.Queue)
	candidates := rand.Perm(l.Shards)[:min(shardChoices, l.Shards)]
	loads := make([]cachedLoad, len(candidates))
	var queries sync.WaitGroup
	for i, n := range candidates {
		queries.Go(func() { loads[i] = h.shardLoad(ctx, loadKey{q.Service, n}) })
	}
	queries.Wait()
	best := 0
	for i := range candidates {
		if loads[i].Suitability(j) > loads[best].Suitability(j) {
			best = i
		}
	}
	return candidates[best], true
}

// shardLoad returns a shard's load: the last one reported if that is younger than maxLoadAge, else the owner's answer. If the owner
// does not answer, it is the last one reported if that is younger than maxUnansweredLoadAge, else a load without room.
func (h *Host) shardLoad(ctx context.Context, k loadKey) cachedLoad {
	if l, ok := h.ownedShards.serviceLoad(k.shard, k.service); ok {
		return cachedLoad{receivedAt: time.Now(), Load: l}
	}
	h.loads.mu.Lock()
	last := h.loads.loads[k]
	h.loads.mu.Unlock()
	age := time.Since(last.receivedAt)
	if age < maxLoadAge {
		return last
	}
	if age > maxUnansweredLoadAge {
		last = cachedLoad{}
	}
	o, ok := h.directory.owner(k.shard)
	if !ok {
		return last
	}
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	m, err := h.request(ctx, o.PeerAddress, peer.Message{LoadQuery: &peer.LoadQuery{Service: k.service, Shard: k.shard}})
	if err != nil || m.LoadReply == nil || !m.LoadReply.Known {
		return last
	}
	last = cachedLoad{receivedAt: time.Now(), Load: shard.Load{
		Fill: m.LoadReply.Fill, Free: m.LoadReply.Free, Left: m.LoadReply.Left, Room: m.LoadReply.Room,
	}}
	h.loads.mu.Lock()
	defer h.loads.mu.Unlock()
	h.loads.loads[k] = last
	return last
}
