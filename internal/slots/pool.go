package slots

import (
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/laburnumridge/laburnumridge/internal/fleet"
)

// Errors that Install returns.
var (
	// ErrCountsNotReceived reports a grant that renews counts that this host has not received.
	ErrCountsNotReceived = eris.New("slot grant renews counts that were not received")
	// ErrStale reports a grant that is not newer than the installed one, is of a fenced epoch, has
	// expired, is stamped later than the host's clock, or is for another host.
	ErrStale = eris.New("stale slot grant")
)

// Pool holds the slots, or the connections, granted to one entry host and tracks their use. It is safe
// for concurrent use.
type Pool struct {
	backends map[string]*backendSlots
	host     string
	mu       sync.Mutex
	shards   map[fleet.ShardID]*shardGrant
	started  time.Time
}

// backendSlots are the granted slots on one backend server.
type backendSlots struct {
	count int
	inUse int
	grant *shardGrant
}

// shardGrant is the latest grant of a shard, shared by the backend servers that it covers.
type shardGrant struct {
	// countsSeq is the sequence number of the last grant that listed counts.
	countsSeq int64
	epoch     int64
	expires   time.Time
	// minEpoch is the lowest epoch whose grants are usable; Fence raises it.
	minEpoch int64
	seq      int64
	shard    fleet.ShardID
}

func (sg *shardGrant) isUsable(now time.Time) bool {
	return sg.epoch >= sg.minEpoch && now.Before(sg.expires)
}

// NewPool returns a pool without slots for an entry host.
func NewPool(host string, now time.Time) *Pool {
	return &Pool{
		backends: map[string]*backendSlots{}, host: host, shards: map[fleet.ShardID]*shardGrant{}, started: now,
	}
}

// Ack returns the report to send to the shard's owner. Send it after each grant and at least every
// 500 ms, because the TTL of a grant starts at the latest stamp that the owner received from the host.
func (p *Pool) Ack(shard fleet.ShardID, now time.Time) Ack {
	p.mu.Lock()
	defer p.mu.Unlock()
	ack := Ack{Host: p.host, InUse: map[string]int{}, Shard: shard, Stamp: p.stamp(now)}
	sg, ok := p.shards[shard]
	if !ok {
		ack.Expired = true
		return ack
	}
	ack.Epoch, ack.Expired, ack.Seq = sg.epoch, !sg.isUsable(now), sg.seq
	for backend, e := range p.backends {
		if e.grant == sg && (e.inUse > e.count || ack.Expired && e.inUse > 0) {
			ack.InUse[backend] = e.inUse
		}
	}
	return ack
}

// Fence makes the shard's grants under epochs lower than the given one unusable.
func (p *Pool) Fence(shard fleet.ShardID, epoch int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	sg := p.shardGrantOf(shard)
	sg.minEpoch = max(sg.minEpoch, epoch)
}

// Free returns the number of unused slots on a backend server and the epoch under which they were
// granted.
func (p *Pool) Free(backend string, now time.Time) (int, int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	e, ok := p.backends[backend]
	if !ok || !e.grant.isUsable(now) {
		return 0, 0
	}
	return max(0, e.count-e.inUse), e.grant.epoch
}

// InUse returns the number of slots on a backend server that were taken and not yet released.
func (p *Pool) InUse(backend string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if e, ok := p.backends[backend]; ok {
		return e.inUse
	}
	return 0
}

// Install replaces the grant of a shard. Its error matches ErrCountsNotReceived or ErrStale.
func (p *Pool) Install(g Grant, now time.Time) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	expires := p.started.Add(time.Duration(g.Stamp) + g.TTL)
	if g.Host != p.host || g.Stamp > p.stamp(now) || !now.Before(expires) {
		return eris.Wrapf(ErrStale, "grant of shard %s epoch %d seq %d is expired, stamped in the future or for another host",
			g.Shard, g.Epoch, g.Seq)
	}
	sg := p.shardGrantOf(g.Shard)
	if g.Epoch < max(sg.epoch, sg.minEpoch) || g.Epoch == sg.epoch && g.Seq <= sg.seq {
		return eris.Wrapf(ErrStale, "grant of shard %s epoch %d seq %d is fenced or not newer than the installed epoch %d seq %d",
			g.Shard, g.Epoch, g.Seq, sg.epoch, sg.seq)
	}
	if g.RenewedSeq > 0 {
		if g.Epoch != sg.epoch || sg.countsSeq < g.RenewedSeq {
			return eris.Wrapf(ErrCountsNotReceived, "grant of shard %s epoch %d renews seq %d", g.Shard, g.Epoch, g.RenewedSeq)
		}
		sg.expires, sg.seq = expires, g.Seq
		return nil
	}
	sg.countsSeq, sg.epoch, sg.expires, sg.seq = g.Seq, g.Epoch, expires, g.Seq
	p.replaceCounts(sg, g.Counts)
	return nil
}

// Release frees a slot taken with Take.
func (p *Pool) Release(backend string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if e, ok := p.backends[backend]; ok && e.inUse > 0 {
		e.inUse--
		p.removeUnused(backend, e)
	}
}

// Take takes a slot on a backend server for one request and reports whether one was free.
func (p *Pool) Take(backend string, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	e, ok := p.backends[backend]
	if !ok || e.inUse >= e.count || !e.grant.isUsable(now) {
		return false
	}
	e.inUse++
	return true
}

func (p *Pool) removeUnused(backend string, e *backendSlots) {
	if e.count == 0 && e.inUse == 0 {
		delete(p.backends, backend)
	}
}

func (p *Pool) shardGrantOf(shard fleet.ShardID) *shardGrant {
	sg, ok := p.shards[shard]
	if !ok {
		sg = &shardGrant{shard: shard}
		p.shards[shard] = sg
	}
	return sg
}

func (p *Pool) replaceCounts(sg *shardGrant, counts map[string]int) {
	for backend, e := range p.backends {
		if e.grant == sg {
			e.count = 0
			p.removeUnused(backend, e)
		}
	}
	for backend, n := range counts {
		e, ok := p.backends[backend]
		if !ok {
			e = &backendSlots{}
			p.backends[backend] = e
		}
		e.count, e.grant = n, sg
	}
}

func (p *Pool) stamp(now time.Time) Stamp { return Stamp(now.Sub(p.started)) }
