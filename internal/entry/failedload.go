package entry

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/laburnumridge/laburnumridge/internal/election"
	"github.com/laburnumridge/laburnumridge/internal/kvstore"
)

const (
	// shardLoadTimeout is how long an owner tries to read the records of a shard before it leaves the shard to another host. The tasks
	// of the shard keep running for at least 4.6 s after the last owner has stopped (see deletionTimeout): 1.6 s of them remain for the
	// deletion of the owner key, the claim of the next owner and its reads.
	shardLoadTimeout = 3 * time.Second
	// maxLoadTimeoutDoublings bounds the timeout to 48 s. It doubles with each host in turn that fails to load the shard, since the
	// cause is then probably the store, and each host begins to read anew.
	maxLoadTimeoutDoublings = 4
	// failedLoadMemory is how long a failed load counts, as long as a rejoin does.
	failedLoadMemory = time.Minute
)

// successorRecord names the host to which a shard is left, if any. Only an owner that could not load the shard sets FailedLoads and
// FailedHost, and only one that panicked sets Panics.
type successorRecord struct {
	hostRecord
	// FailedLoads is how many hosts in turn could not load the shard, the last of which was FailedHost.
	FailedLoads int    `cbor:"7,keyasint,omitempty"`
	FailedHost  string `cbor:"8,keyasint,omitempty"`
	// Panics is how many owners in turn gave the shard up after a panic.
	Panics int `cbor:"15,keyasint,omitempty"`
}

// failedLoad is what the directory remembers of a shard whose last owner could not load it.
type failedLoad struct {
	at       time.Time
	count    int
	host     string
	revision int64
}

// putSuccessor applies the key that names a shard's successor. An owner that could load the shard ends the count of failed loads.
// The caller holds d.mu.
func (d *directory) putSuccessor(shard int, s successorRecord, revision int64) {
	d.putPanics(shard, s, revision)
	d.successors[shard] = ownerRecord{hostRecord: s.hostRecord, revision: revision}
	switch {
	case s.FailedLoads == 0:
		delete(d.failedLoads, shard)
	case revision > d.failedLoads[shard].revision && revision > d.epochs[shard]:
		d.failedLoads[shard] = failedLoad{at: d.now(), count: s.FailedLoads, host: s.FailedHost, revision: revision}
		d.histories[s.FailedHost] = d.histories[s.FailedHost].WithFailedLoad(d.now())
	}
}

// failedLoadCount returns how many hosts in turn have failed to load the shard lately.
func (d *directory) failedLoadCount(shard int) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	if f := d.failedLoads[shard]; d.now().Sub(f.at) < failedLoadMemory {
		return f.count
	}
	return 0
}

// hasFailedLoad reports whether a host was the last one that failed to load a shard lately. The caller holds d.mu.
func (d *directory) hasFailedLoad(host string) bool {
	for _, f := range d.failedLoads {
		if f.host == host && d.now().Sub(f.at) < failedLoadMemory {
			return true
		}
	}
	return false
}

// loadReceiver returns the host to which self leaves a shard that it can't load. Shards under way to a host count as that host's.
func (d *directory) loadReceiver(self hostRecord, shard int, receivers map[int]string) (hostRecord, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	received := map[string]int{}
	for n, host := range receivers {
		if owner, ok := d.owners[n]; !ok || owner.Host != host {
			received[host]++
		}
	}
	var others []election.Member
	for _, m := range d.members() {
		if m.Host != self.Host {
			m.Shards += received[m.Host]
			others = append(others, m)
		}
	}
	to, ok := election.Receiver(others, shard)
	return d.hosts[hostPrefix+to.Host], ok
}

// loadStore returns the store from which the runner loads the shard and its workers. It notes failed reads: a load that takes long because
// the shard has many records or the store is slow is not given up as long as no read fails.
func (r *runner) loadStore() kvstore.Store {
	s := r.host.platform.Store
	read := s.Range
	s.Range = func(ctx context.Context, prefix string) ([]kvstore.KV, int64, error) {
		kvs, revision, err := read(ctx, prefix)
		if err != nil {
			r.noteFailedRead()
		}
		return kvs, revision, err
	}
	return s
}

// noteFailedRead notes that a read of the shard's records or of the workers' registry has failed.
func (r *runner) noteFailedRead() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.failedReadAt = r.host.now()
}

// isLoadLate reports whether the shard or the registry of its workers is not loaded although the shard was taken a timeout ago, the host's
// lease has been renewed for as long, and a read of one of them failed in that time. Without workers, an owner starts nothing.
func (r *runner) isLoadLate(now, lastUnhealthy time.Time, timeout time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	since := r.changedAt
	if lastUnhealthy.After(since) {
		since = lastUnhealthy
	}
	isComplete := r.loaded && r.appliedLayout != 0
	return !isComplete && now.Sub(since) >= timeout && r.failedReadAt.After(since)
}

// giveUpUnloaded leaves shards that this host can't load to other hosts. Without another host, it goes on trying. Only election rounds
// call it.
func (o *ownedShards) giveUpUnloaded(ctx context.Context) {
	h := o.host
	now := h.now()
	lease, expires := h.session.currentLease()
	if !h.session.isHealthy() || lease == 0 || !now.Before(expires) {
		o.lastUnhealthy = now
		return
	}
	if h.draining.Load() {
		return
	}
	for _, r := range o.allRunners() {
		failedLoads := h.directory.failedLoadCount(r.shard)
		timeout := shardLoadTimeout << min(failedLoads, maxLoadTimeoutDoublings)
		if !r.isLoadLate(now, o.lastUnhealthy, timeout) {
			continue
		}
		successor, ok := h.directory.loadReceiver(h.self, r.shard, o.handovers.pendingReceivers(h.directory))
		if !ok || !o.handovers.begin(r.shard, successor.Host) {
			continue
		}
		h.log.WithFields(logrus.Fields{
			"decision": "load_failed", "shard": r.shard, "to": successor.Host, "timeout": timeout.String(), "failed_loads": failedLoads + 1,
			"reason": "the shard's records or workers could not be read in time, although the host's lease is renewed",
		}).Warn("leaving the shard to another host")
		go o.leaveUnloaded(ctx, r, &successorRecord{hostRecord: successor, FailedLoads: failedLoads + 1, FailedHost: h.self.Host})
	}
}

// leaveUnloaded carries out the decision to leave a shard to another host.
func (o *ownedShards) leaveUnloaded(ctx context.Context, r *runner, successor *successorRecord) {
	defer o.wakeElection()
	defer o.handovers.end(r.shard)
	o.giveUp(ctx, r, successor, "this host can't load the shard", o.host.log.WithField("shard", r.shard))
}
