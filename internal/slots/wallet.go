package slots

import (
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/laburnumridge/laburnumridge/internal/fleet"
)

// Errors that Install returns.
var (
	// ErrMissed says that a grant renews counts that this host has not received.
	ErrMissed = eris.New("slot grant renews counts that were not received")
	// ErrStale says that a grant is older than one already installed, has expired, or is not for
	// this host.
	ErrStale = eris.New("stale slot grant")
)

// Wallet holds the slots granted to one entry host; it is safe for concurrent use.
type Wallet struct {
	entries map[string]*entry
	host    string
	mu      sync.Mutex
	shards  map[fleet.ShardID]*lease
	started time.Time
}

type entry struct {
	count int
	inUse int
	lease *lease
}

// lease is the newest grant of a shard, shared by its entries.
type lease struct {
	// countsSeq is the sequence number of the last grant that listed counts.
	countsSeq int64
	epoch     int64
	expires   time.Time
	fenced    int64
	seq       int64
	shard     fleet.ShardID
}

func (l *lease) isUsable(now time.Time) bool { return l.epoch >= l.fenced && now.Before(l.expires) }

// NewWallet returns an empty wallet of an entry host.
func NewWallet(host string, now time.Time) *Wallet {
	return &Wallet{
		entries: map[string]*entry{}, host: host, shards: map[fleet.ShardID]*lease{}, started: now,
	}
}

// Ack returns what to report to the shard's owner. It is to be sent after each grant and at least
// every 500 ms, because its stamp starts the time for which the next grant is good.
func (w *Wallet) Ack(shard fleet.ShardID, now time.Time) Ack {
	w.mu.Lock()
	defer w.mu.Unlock()
	a := Ack{Host: w.host, InUse: map[string]int{}, Shard: shard, Stamp: w.stamp(now)}
	l, ok := w.shards[shard]
	if !ok {
		a.Expired = true
		return a
	}
	a.Epoch, a.Expired, a.Seq = l.epoch, !l.isUsable(now), l.seq
	for backend, e := range w.entries {
		if e.lease == l && (e.inUse > e.count || a.Expired && e.inUse > 0) {
			a.InUse[backend] = e.inUse
		}
	}
	return a
}

// Fence makes grants of the shard under lower epochs unusable.
func (w *Wallet) Fence(shard fleet.ShardID, epoch int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	l := w.leaseOf(shard)
	l.fenced = max(l.fenced, epoch)
}

// Free returns the unspent slots on a backend server and the epoch under which they were granted.
func (w *Wallet) Free(backend string, now time.Time) (int, int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	e, ok := w.entries[backend]
	if !ok || !e.lease.isUsable(now) {
		return 0, 0
	}
	return max(0, e.count-e.inUse), e.lease.epoch
}

// InUse returns the number of slots taken on a backend server and not released.
func (w *Wallet) InUse(backend string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	if e, ok := w.entries[backend]; ok {
		return e.inUse
	}
	return 0
}

// Install replaces the grant of a shard; the error matches ErrMissed or ErrStale.
func (w *Wallet) Install(g Grant, now time.Time) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	expires := w.started.Add(time.Duration(g.Stamp) + g.TTL)
	if g.Host != w.host || g.Stamp > w.stamp(now) || !now.Before(expires) {
		return eris.Wrapf(ErrStale, "shard %s epoch %d seq %d", g.Shard, g.Epoch, g.Seq)
	}
	l := w.leaseOf(g.Shard)
	if g.Epoch < max(l.epoch, l.fenced) || g.Epoch == l.epoch && g.Seq <= l.seq {
		return eris.Wrapf(ErrStale, "shard %s epoch %d seq %d, installed is epoch %d seq %d",
			g.Shard, g.Epoch, g.Seq, l.epoch, l.seq)
	}
	if g.SameAs > 0 {
		if g.Epoch != l.epoch || l.countsSeq < g.SameAs {
			return eris.Wrapf(ErrMissed, "shard %s epoch %d seq %d", g.Shard, g.Epoch, g.SameAs)
		}
		l.expires, l.seq = expires, g.Seq
		return nil
	}
	l.countsSeq, l.epoch, l.expires, l.seq = g.Seq, g.Epoch, expires, g.Seq
	w.replaceCounts(l, g.Counts)
	return nil
}

// Release returns a slot that Take took.
func (w *Wallet) Release(backend string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if e, ok := w.entries[backend]; ok && e.inUse > 0 {
		e.inUse--
		w.dropIdle(backend, e)
	}
}

// Take takes a slot on a backend server for one request, if one is free.
func (w *Wallet) Take(backend string, now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	e, ok := w.entries[backend]
	if !ok || e.inUse >= e.count || !e.lease.isUsable(now) {
		return false
	}
	e.inUse++
	return true
}

func (w *Wallet) dropIdle(backend string, e *entry) {
	if e.count == 0 && e.inUse == 0 {
		delete(w.entries, backend)
	}
}

func (w *Wallet) leaseOf(shard fleet.ShardID) *lease {
	l, ok := w.shards[shard]
	if !ok {
		l = &lease{shard: shard}
		w.shards[shard] = l
	}
	return l
}

func (w *Wallet) replaceCounts(l *lease, counts map[string]int) {
	for backend, e := range w.entries {
		if e.lease == l {
			e.count = 0
			w.dropIdle(backend, e)
		}
	}
	for backend, n := range counts {
		e, ok := w.entries[backend]
		if !ok {
			e = &entry{}
			w.entries[backend] = e
		}
		e.count, e.lease = n, l
	}
}

func (w *Wallet) stamp(now time.Time) Stamp { return Stamp(now.Sub(w.started)) }
