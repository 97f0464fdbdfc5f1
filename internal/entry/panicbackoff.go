package entry

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/laburnumridge/laburnumridge/internal/kvstore"
	"github.com/laburnumridge/laburnumridge/internal/workflow"
)

const (
	// panicMemory is how long the panics of a shard's owners count. It exceeds maxPanicDelay, so that an owner that panics each time is
	// not replaced at once in between.
	panicMemory = time.Minute
	// panicDelay is how long a shard stays without an owner after the second panic in turn. It doubles with each further one: the next
	// owner reads the same records and calls the same workers, and takeovers take the time of the store from other shards.
	panicDelay = time.Second
	// maxPanicDelay bounds the delay.
	maxPanicDelay = 16 * time.Second
	// panicAmends is how long an owner has to serve the shard to make up for one panic of an earlier one: runs that it has renewed last beyond
	// the delay, and takeovers are seldom then.
	panicAmends = 2 * time.Second
)

// shardPanics is what the directory remembers of the owners of a shard that gave it up after a panic.
type shardPanics struct {
	at    time.Time
	count int
	// revision is that of the key that says so. It has ended the last owner's key until the epoch changes.
	revision int64
}

// putPanics applies what the key that names a shard's successor says of panics. The caller holds d.mu.
func (d *directory) putPanics(shard int, s successorRecord, revision int64) {
	if s.Panics > 0 && revision > d.panics[shard].revision {
		d.panics[shard] = shardPanics{at: d.now(), count: s.Panics, revision: revision}
	}
}

// panicCount returns how many owners of the shard in turn have given it up after a panic lately.
func (d *directory) panicCount(shard int) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	if p := d.panics[shard]; d.now().Sub(p.at) < panicMemory {
		return p.count
	}
	return 0
}

// panicClaimDelay returns how long the shard stays without an owner because its last owner gave it up after a panic. The caller holds
// d.mu.
func (d *directory) panicClaimDelay(shard int) time.Duration {
	p := d.panics[shard]
	if p.count < 2 || p.revision <= d.epochs[shard] || d.now().Sub(p.at) >= panicMemory {
		return 0
	}
	return min(panicDelay<<min(p.count-2, 8), maxPanicDelay)
}

// panicPuts returns the write that counts a panic of the shard's owner. It names no successor.
func (o *ownedShards) panicPuts(r *runner) []kvstore.Put {
	count := max(o.host.directory.panicCount(r.shard)-int(r.servedTime()/panicAmends), 0) + 1
	r.log.WithFields(logrus.Fields{"decision": "give_up_shard", "panics": count, "reason": "the owner panicked"}).
		Warn("giving the shard up, so that its next owner reads its records anew")
	return []kvstore.Put{{Key: successorKey(r.shard), Value: workflow.Encode(successorRecord{Panics: count})}}
}

// servedTime returns for how long the shard has been served: its jobs are read, and it was not taken again since.
func (r *runner) servedTime() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.loaded {
		return 0
	}
	return r.host.now().Sub(r.changedAt)
}
