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
	// ErrStale reports a grant that is older than the installed one, has expired, or is for another
	// host.
	ErrStale = eris.New("stale slot grant")
)

// Wallet holds the slots granted to one entry host and tracks their use. It is safe for concurrent use.
type Wallet struct {
	backends map[string]*backendSlots
	host     string
	mu       sync.Mutex
	shards   map[fleet.ShardID]*lease
	started  time.Time
}

// backendSlots are the granted slots on one backend server.
type backendSlots struct {
	count int
	inUse int
	lease *lease
}

// lease is the latest grant of a shard, shared by the backend servers that it covers.
type lease struct {
	// countsSeq is the sequence number of the last grant that listed counts.
	countsSeq int64
	epoch     int64
	expires   time.Time
	// minEpoch is the lowest epoch whose grants are usable.
	minEpoch int64
	seq      int64
	shard    fleet.ShardID
}

func (l *lease) isUsable(now time.Time) bool { return l.epoch >= l.minEpoch && now.Before(l.expires) }

// NewWallet returns a pool without slots for an entry host.
func NewWallet(host string, now time.Time) *Wallet {
	return &Wallet{
		backends: map[string]*backendSlots{}, host: host, shards: map[fleet.ShardID]*lease{}, started: now,
	}
}

// Ack returns the report to send to the shard's owner. Send it after each grant and at least every
// 500 ms, because the TTL of the next grant starts at its stamp.
func (p *Wallet) Ack(shard fleet.ShardID, now time.Time) Ack {
	p.mu.Lock()
	defer p.mu.Unlock()
	ack := Ack{Host: p.host, InUse: map[string]int{}, Shard: shard, Stamp: p.stamp(now)}
	l, ok := p.shards[shard]
	if !ok {
		ack.Expired = true
		return ack
	}
	ack.Epoch, ack.Expired, ack.Seq = l.epoch, !l.isUsable(now), l.seq
	for backend, e := range p.backends {
		if e.lease == l && (e.inUse > e.count || ack.Expired && e.inUse > 0) {
			ack.InUse[backend] = e.inUse
		}
	}
	return ack
}

// Fence makes the shard's grants under epochs lower than the given one unusable.
func (p *Wallet) Fence(shard fleet.ShardID, epoch int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.leaseOf(shard)
	l.minEpoch = max(l.minEpoch, epoch)
}

// Free returns the number of unused slots on a backend server and the epoch under which they were
// granted.
func (p *Wallet) Free(backend string, now time.Time) (int, int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	e, ok := p.backends[backend]
	if !ok || !e.lease.isUsable(now) {
		return 0, 0
	}
	return max(0, e.count-e.inUse), e.lease.epoch
}

// InUse returns the number of slots on a backend server that were taken and not yet released.
func (p *Wallet) InUse(backend string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if e, ok := p.backends[backend]; ok {
		return e.inUse
	}
	return 0
}

// Install replaces the grant of a shard. Its error matches ErrCountsNotReceived or ErrStale.
func (p *Wallet) Install(g Grant, now time.Time) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	expires := p.started.Add(time.Duration(g.Stamp) + g.TTL)
	if g.Host != p.host || g.Stamp > p.stamp(now) || !now.Before(expires) {
		return eris.Wrapf(ErrStale, "shard %s epoch %d seq %d is expired, stamped in the future or for another host",
			g.Shard, g.Epoch, g.Seq)
	}
	l := p.leaseOf(g.Shard)
	if g.Epoch < max(l.epoch, l.minEpoch) || g.Epoch == l.epoch && g.Seq <= l.seq {
		return eris.Wrapf(ErrStale, "shard %s epoch %d seq %d is fenced or not newer than the installed epoch %d seq %d",
			g.Shard, g.Epoch, g.Seq, l.epoch, l.seq)
	}
	if g.SameAs > 0 {
		if g.Epoch != l.epoch || l.countsSeq < g.SameAs {
			return eris.Wrapf(ErrCountsNotReceived, "shard %s epoch %d, renewed seq %d", g.Shard, g.Epoch, g.SameAs)
		}
		l.expires, l.seq = expires, g.Seq
		return nil
	}
	l.countsSeq, l.epoch, l.expires, l.seq = g.Seq, g.Epoch, expires, g.Seq
	p.replaceCounts(l, g.Counts)
	return nil
}

// Release frees a slot taken with Take.
func (p *Wallet) Release(backend string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if e, ok := p.backends[backend]; ok && e.inUse > 0 {
		e.inUse--
		p.removeUnused(backend, e)
	}
}

// Take takes a slot on a backend server for one request and reports whether one was free.
func (p *Wallet) Take(backend string, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	e, ok := p.backends[backend]
	if !ok || e.inUse >= e.count || !e.lease.isUsable(now) {
		return false
	}
	e.inUse++
	return true
}

func (p *Wallet) removeUnused(backend string, e *backendSlots) {
	if e.count == 0 && e.inUse == 0 {
		delete(p.backends, backend)
	}
}

func (p *Wallet) leaseOf(shard fleet.ShardID) *lease {
	l, ok := p.shards[shard]
	if !ok {
		l = &lease{shard: shard}
		p.shards[shard] = l
	}
	return l
}

func (p *Wallet) replaceCounts(l *lease, counts map[string]int) {
	for backend, e := range p.backends {
		if e.lease == l {
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
		e.count, e.lease = n, l
	}
}

func (p *Wallet) stamp(now time.Time) Stamp { return Stamp(now.Sub(p.started)) }
