package host

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/laburnumridge/laburnumridge/internal/fleet"
	"github.com/laburnumridge/laburnumridge/internal/peer"
	"github.com/laburnumridge/laburnumridge/internal/routing"
	"github.com/laburnumridge/laburnumridge/internal/slots"
)

// backends tracks the backend servers of this host's zone: where replicas run, and which slots and connections the
// host may use.
type backends struct {
	lastAcks    map[fleet.ShardID]time.Time // time of the last acknowledgement
	connections *slots.Pool
	freedSlot   chan struct{} // closed and replaced when a slot may have become free
	host        *Host
	mu          sync.Mutex
	shards      map[fleet.ShardID]*shardBackends
	slots       *slots.Pool
	startedAt   time.Time
}

// firstGrantWait is how long a starting host waits for grants before it reports that it is ready without any.
const firstGrantWait = 5 * time.Second

type shardBackends struct {
	epoch           int64
	workers         []string // in the last grant
	replicas        map[string][]string
	replicasVersion int64
}

func newBackends(h *Host, incarnation string, now time.Time) *backends {
	return &backends{
		lastAcks:    map[fleet.ShardID]time.Time{},
		connections: slots.NewPool(incarnation, now),
		freedSlot:   make(chan struct{}),
		host:        h,
		shards:      map[fleet.ShardID]*shardBackends{},
		slots:       slots.NewPool(incarnation, now),
		startedAt:   now,
	}
}

// install applies a grant and returns its acknowledgement.
func (b *backends) install(g peer.Grant, now time.Time) peer.GrantAck {
	id := g.Slots.Shard
	b.mu.Lock()
	s := b.shards[id]
	if s == nil || g.Slots.Epoch > s.epoch {
		s = &shardBackends{epoch: g.Slots.Epoch, replicasVersion: -1}
		if old := b.shards[id]; old != nil {
			s.replicas = old.replicas // replicas keep running across a takeover
		}
		b.shards[id] = s
	}
	if g.Slots.Epoch == s.epoch {
		b.installGrant(s, g, now)
	}
	b.mu.Unlock()
	b.notifySlotFreed()
	return b.ack(id, now)
}

// ack returns an acknowledgement with the grants that the host has of a shard and with its demand. It is also sent
// without a grant, so that a new owner learns of the host.
func (b *backends) ack(id fleet.ShardID, now time.Time) peer.GrantAck {
	ack := peer.GrantAck{
		Connections: b.connections.Ack(id, now), ReplicasVersion: -1, Slots: b.slots.Ack(id, now),
	}
	b.mu.Lock()
	b.lastAcks[id] = now
	if s := b.shards[id]; s != nil {
		ack.ReplicasVersion = s.replicasVersion
	}
	b.mu.Unlock()
	ack.SlotDemand, ack.ConnectionDemand = b.host.demand()
	return ack
}

// isAckDue reports whether the last acknowledgement is old enough to send another. Each grant is acknowledged as
// well.
func (b *backends) isAckDue(id fleet.ShardID, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return now.Sub(b.lastAcks[id]) >= grantInterval-grantInterval/10
}

// run sends acknowledgements to the owners of the zone's shards until ctx ends, so that new owners learn of the host.
func (b *backends) run(ctx context.Context) {
	ticker := time.NewTicker(grantInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			b.sendAcks(now)
		}
	}
}

func (b *backends) sendAcks(now time.Time) {
	for i := range b.host.shardCount(b.host.zone) {
		id := fleet.ShardID{Index: i, Zone: b.host.zone}
		if o, ok := b.host.shards.get(id); ok {
			o.grants.handleAck(b.host.incarnation, b.ack(id, now))
			continue
		}
		if owner, ok := b.host.shards.ownerOf(id); ok && b.isAckDue(id, now) {
			ack := b.ack(id, now)
			_ = b.host.mesh.Send(owner.host, peer.Message{GrantAck: &ack}) // a lost acknowledgement is replaced by the next
		}
	}
}

func (b *backends) installGrant(s *shardBackends, g peer.Grant, now time.Time) {
	// The acknowledgement shows that a grant could not be installed, and the owner then sends a full one.
	slotsErr, connectionsErr := b.slots.Install(g.Slots, now), b.connections.Install(g.Connections, now)
	if slotsErr == nil && g.Slots.Counts != nil {
		s.workers = slices.Collect(maps.Keys(g.Slots.Counts))
	}
	if slotsErr != nil || connectionsErr != nil {
		b.host.log.WithFields(logrus.Fields{"shard": g.Slots.Shard.String(), "epoch": g.Slots.Epoch}).
			Debug("grant was not installed")
	}
	if g.Replicas != nil || g.ReplicasVersion == s.replicasVersion {
		if g.Replicas != nil {
			s.replicas = g.Replicas
		}
		s.replicasVersion = g.ReplicasVersion
	}
}

// candidates returns the backend servers of a workload with their free slots or connections in the pool.
func (b *backends) candidates(work string, wallet *slots.Pool, now time.Time) []routing.Backend {
	hosts := b.host.hosts.snapshot()
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []routing.Backend
	for id, s := range b.shards {
		for _, w := range s.replicas[work] {
			h, ok := hosts.Host(w)
			if !ok {
				continue
			}
			free, epoch := wallet.Free(w, now)
			out = append(out, routing.Backend{
				Address: h.Address, Epoch: epoch, Free: free, Leaving: h.IsLeaving(), Worker: w, Zone: id.Zone,
			})
		}
	}
	slices.SortFunc(out, func(x, y routing.Backend) int {
		if x.Worker < y.Worker {
			return -1
		}
		return 1
	})
	return out
}

// grantedSlots returns the number of slots that the host uses or may use now.
func (b *backends) grantedSlots(now time.Time) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	sum := 0
	for _, s := range b.shards {
		for _, w := range s.workers {
			free, _ := b.slots.Free(w, now)
			sum += free + b.slots.InUse(w)
		}
	}
	return sum
}

// fence invalidates the grants of a worker's shard from earlier epochs.
func (b *backends) fence(worker string, epoch int64) {
	id := b.shardOf(worker)
	b.slots.Fence(id, epoch)
	b.connections.Fence(id, epoch)
}

// shardOf returns the shard that a worker belongs to.
func (b *backends) shardOf(worker string) fleet.ShardID {
	h, _ := b.host.hosts.snapshot().Host(worker)
	return fleet.ShardOf(h.Zone, h.Rack, b.host.shardCount(h.Zone))
}

// isReady reports whether the owners of all the zone's shards have granted slots to the host, or firstGrantWait has
// passed: without an owner, the host still forwards requests to other zones.
func (b *backends) isReady(now time.Time) bool {
	shards := b.host.shardCount(b.host.zone)
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.shards) >= shards || now.Sub(b.startedAt) > firstGrantWait
}

// slotFreed returns a channel that is closed when a slot may have become free.
func (b *backends) slotFreed() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.freedSlot
}

func (b *backends) notifySlotFreed() {
	b.mu.Lock()
	defer b.mu.Unlock()
	close(b.freedSlot)
	b.freedSlot = make(chan struct{})
}
