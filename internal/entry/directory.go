package entry

import (
	"context"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/laburnumridge/laburnumridge/internal/election"
	"github.com/laburnumridge/laburnumridge/internal/kvstore"
	"github.com/laburnumridge/laburnumridge/internal/workflow"
)

// hostRecord is what a host publishes about itself under its lease.
type hostRecord struct {
	Draining    bool   `cbor:"1,keyasint,omitempty"`
	Host        string `cbor:"2,keyasint"`
	PeerAddress string `cbor:"3,keyasint"`
	// Incarnation identifies the process; a restarted host has a new one.
	Incarnation string `cbor:"4,keyasint"`
	Zone        string `cbor:"5,keyasint"`
	// Strength is the processor time available to the host, in cores; owners are chosen by it.
	Strength float64 `cbor:"6,keyasint,omitempty"`
	// PreviousEpoch is, in the owner and epoch keys of a shard, the revision of the epoch key that guarded the claim.
	PreviousEpoch int64 `cbor:"9,keyasint,omitempty"`
	// LeaseFromOrder and LeaseFromRenewal bound the leases of workers that the host requests as an owner: the time to their end, on a
	// worker's clock, from the order and from the last renewal of the host's own lease. They are 0 for older builds.
	LeaseFromOrder   time.Duration `cbor:"12,keyasint,omitempty"`
	LeaseFromRenewal time.Duration `cbor:"13,keyasint,omitempty"`
	// EarlierLeases is, in the owner and epoch keys of a shard, how long after the claim leases of earlier owners can last.
	EarlierLeases time.Duration `cbor:"11,keyasint,omitempty"`
	// SharesJobs is set by hosts whose build knows jobs whose tasks are held by several shards.
	SharesJobs bool `cbor:"10,keyasint,omitempty"`
	// ReadsCompact is set by hosts whose build reads compact records of jobs.
	ReadsCompact bool `cbor:"14,keyasint,omitempty"`
	// KeepsLateStarts is set by hosts whose build keeps the late starts of ended jobs on record.
	KeepsLateStarts bool `cbor:"17,keyasint,omitempty"`
	// SharesEnds is set by hosts whose build knows shared jobs whose tasks end.
	SharesEnds bool `cbor:"16,keyasint,omitempty"`
}

// layout assigns racks to shards. Racks are only added; an assigned rack never moves.
type layout struct {
	// Racks holds the shard of each rack, by rackKey.
	Racks map[string]int `cbor:"1,keyasint,omitempty"`
	// Shards is the number of shards; 0 means that there is no layout yet.
	Shards int `cbor:"2,keyasint"`
}

// ownerRecord is the record of a shard's owner with the lease and the revision of its key.
type ownerRecord struct {
	hostRecord
	lease    int64
	revision int64
}

// directory is the host's view of the live hosts, the shards' owners and the layout, kept up to date by a watch.
type directory struct {
	// changed is closed and replaced at each change.
	changed chan struct{}
	// epochsSeen holds when this host first saw the latest epoch of each shard.
	epochsSeen map[int]seenEpoch
	// epochs holds the store revision of each shard's epoch key, by shard.
	epochs map[int]int64
	// failedLoads holds the shards whose last owner gave them up because it could not load them.
	failedLoads map[int]failedLoad
	// formerOwners holds the last owner of each shard, from the epoch keys. It may not be alive.
	formerOwners map[int]hostRecord
	// histories holds what is remembered of each host, by name.
	histories map[string]election.History
	// hosts is keyed by store key.
	hosts map[string]hostRecord
	// lastJoin is when a host was last seen to register, or a new process of it.
	lastJoin time.Time
	layout   layout
	// layoutRevision is 0 while there is no layout.
	layoutRevision int64
	// loaded is set once the keys have been read from the store.
	loaded bool
	log    *logrus.Entry
	mu     sync.Mutex
	now    func() time.Time
	owners map[int]ownerRecord
	// panics holds the shards whose last owners gave them up after a panic.
	panics map[int]shardPanics
	// settled holds, by shard, the last epoch of which the owner has said that all leases of earlier owners have ended.
	settled map[int]int64
	// successors holds the hosts to which owners have handed shards over, by shard, until the next owner is seen.
	successors map[int]ownerRecord
}

func newDirectory(log *logrus.Entry, now func() time.Time) *directory {
	return &directory{
		changed: make(chan struct{}), epochs: map[int]int64{}, epochsSeen: map[int]seenEpoch{}, failedLoads: map[int]failedLoad{},
		formerOwners: map[int]hostRecord{}, histories: map[string]election.History{}, hosts: map[string]hostRecord{}, log: log, now: now,
		owners: map[int]ownerRecord{}, panics: map[int]shardPanics{},
		settled: map[int]int64{}, successors: map[int]ownerRecord{},
	}
}

func (d *directory) run(ctx context.Context, s kvstore.Store) {
	watchPrefix(ctx, s, d.log, controlPrefix, func(kvs []kvstore.KV, _ int64) {
		d.replaceAll(kvs)
		d.notifyWatchers()
	}, func(events []kvstore.Event) {
		d.apply(events)
		d.notifyWatchers()
	})
}

// replaceAll applies all keys as they were read.
func (d *directory) replaceAll(kvs []kvstore.KV) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.removeMissing(kvs)
	d.epochs, d.settled, d.successors = map[int]int64{}, map[int]int64{}, map[int]ownerRecord{}
	for _, kv := range kvs {
		d.put(kv)
	}
	maps.DeleteFunc(d.successors, func(n int, s ownerRecord) bool { return s.revision <= d.epochs[n] })
	d.loaded = true
}

func (d *directory) apply(events []kvstore.Event) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, ev := range events {
		if ev.Deleted {
			d.remove(ev.KV.Key)
		} else {
			d.recordMissedHandover(ev.KV)
			d.put(ev.KV)
		}
	}
}

func (d *directory) notifyWatchers() {
	d.mu.Lock()
	defer d.mu.Unlock()
	close(d.changed)
	d.changed = make(chan struct{})
}

// nextChange returns a channel that is closed at the next change.
func (d *directory) nextChange() <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.changed
}

// put applies a new or changed key; the caller holds d.mu.
func (d *directory) put(kv kvstore.KV) {
	switch {
	case kv.Key == layoutKey:
		if l, err := workflow.Decode[layout](kv.Value); err == nil {
			d.layout, d.layoutRevision = l, kv.ModRevision
		} else {
			d.log.WithError(err).Error("ignoring malformed layout record")
		}
	case strings.HasPrefix(kv.Key, hostPrefix):
		if h, err := workflow.Decode[hostRecord](kv.Value); err == nil {
			if d.hosts[kv.Key].Incarnation != h.Incarnation {
				d.lastJoin = d.now()
			}
			d.hosts[kv.Key] = h
			d.histories[h.Host] = d.histories[h.Host].WithRecord(d.now(), h.Incarnation)
			maps.Copy(d.histories, election.SharedReturns(d.now(), d.histories))
		} else {
			d.log.WithError(err).WithField("key", kv.Key).Error("ignoring malformed host record")
		}
	case strings.HasPrefix(kv.Key, ownerPrefix):
		n, ok := parseShardKey(kv.Key, ownerPrefix)
		h, err := workflow.Decode[hostRecord](kv.Value)
		if !ok || err != nil {
			d.log.WithField("key", kv.Key).Error("ignoring owner record whose key names no shard or whose value can't be decoded")
			return
		}
		if old := d.owners[n]; old.Incarnation != h.Incarnation {
			d.recordOwnershipChange(old.Host)
			d.recordOwnershipChange(h.Host)
			d.log.WithFields(logrus.Fields{
				"decision": "owner_seen", "shard": n, "owner": h.Host, "before": old.Host, "revision": kv.ModRevision,
			}).Info("shard has a new owner")
		}
		d.owners[n] = ownerRecord{hostRecord: h, lease: kv.Lease, revision: kv.ModRevision}
	case strings.HasPrefix(kv.Key, successorPrefix):
		n, ok := parseShardKey(kv.Key, successorPrefix)
		if s, err := workflow.Decode[successorRecord](kv.Value); ok && err == nil {
			d.putSuccessor(n, s, kv.ModRevision)
		}
	case strings.HasPrefix(kv.Key, settledPrefix):
		n, ok := parseShardKey(kv.Key, settledPrefix)
		if epoch, err := workflow.Decode[int64](kv.Value); ok && err == nil {
			d.settled[n] = epoch
		}
	case strings.HasPrefix(kv.Key, epochPrefix):
		if n, ok := parseShardKey(kv.Key, epochPrefix); ok {
			if d.epochsSeen[n].revision != kv.ModRevision {
				d.epochsSeen[n] = seenEpoch{at: d.now(), revision: kv.ModRevision}
			}
			d.epochs[n] = kv.ModRevision
			if h, err := workflow.Decode[hostRecord](kv.Value); err == nil {
				d.formerOwners[n] = h
			}
		}
	}
}

// recordMissedHandover notes that a host did not take a shard that was handed over to it if the event is the write of an owner key
// by another host. The first owner after the handover decides. Epochs are not compared, since the events of the transaction that
// writes owner key and epoch key come in any order. The caller holds d.mu.
func (d *directory) recordMissedHandover(kv kvstore.KV) {
	n, ok := parseShardKey(kv.Key, ownerPrefix)
	if !ok || !strings.HasPrefix(kv.Key, ownerPrefix) {
		return
	}
	s, ok := d.successors[n]
	h, err := workflow.Decode[hostRecord](kv.Value)
	if !ok || err != nil || kv.ModRevision <= s.revision {
		return
	}
	delete(d.successors, n)
	if _, ok := d.activeHost(s.Incarnation); ok && s.Incarnation != h.Incarnation {
		d.histories[s.Host] = d.histories[s.Host].WithMissedHandover(d.now())
	}
}

// recordFailedHandover notes that a host did not get one of its shards handed over.
func (d *directory) recordFailedHandover(host string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.histories[host] = d.histories[host].WithFailedHandover(d.now())
}

// remove applies a deleted key; the caller holds d.mu.
func (d *directory) remove(key string) {
	if n, ok := parseShardKey(key, ownerPrefix); ok && strings.HasPrefix(key, ownerPrefix) {
		d.log.WithFields(logrus.Fields{"decision": "owner_lost", "shard": n, "before": d.owners[n].Host}).
			Info("shard has lost its owner")
		d.recordOwnershipChange(d.owners[n].Host)
		delete(d.owners, n)
	}
	if h, ok := d.hosts[key]; ok {
		d.histories[h.Host] = d.histories[h.Host].WithRecordGone()
		delete(d.hosts, key)
		maps.DeleteFunc(d.histories, func(_ string, h election.History) bool { return h.IsForgettable(d.now()) })
	}
}

// removeMissing removes the hosts and owners whose keys are not among all keys that were read again. The others stay, so that a read
// after a lost history does not count as a change of each of them. The caller holds d.mu.
func (d *directory) removeMissing(kvs []kvstore.KV) {
	present := map[string]bool{}
	for _, kv := range kvs {
		present[kv.Key] = true
	}
	for n := range d.owners {
		if key := ownerKey(n); !present[key] {
			d.remove(key)
		}
	}
	for key := range d.hosts {
		if !present[key] {
			d.remove(key)
		}
	}
}

// recordOwnershipChange notes that the shards of a host have changed; the caller holds d.mu.
func (d *directory) recordOwnershipChange(host string) {
	if h, ok := d.histories[host]; ok {
		d.histories[host] = h.WithOwnershipChange(d.now())
	}
}

func (d *directory) owner(shard int) (ownerRecord, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	o, ok := d.owners[shard]
	return o, ok
}

// epoch returns the store revision of the shard's epoch key, or 0 if there is no such key.
func (d *directory) epoch(shard int) int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.epochs[shard]
}

// currentLayout returns the layout with the revision of its key, and whether the directory has been read from the store.
func (d *directory) currentLayout() (layout, int64, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.layout, d.layoutRevision, d.loaded
}

// allShareEnds reports whether all live hosts know shared jobs whose tasks end.
func (d *directory) allShareEnds() bool {
	return d.allHosts(func(h hostRecord) bool { return h.SharesEnds })
}

// allShareJobs reports whether all live hosts know jobs whose tasks are held by several shards.
func (d *directory) allShareJobs() bool {
	return d.allHosts(func(h hostRecord) bool { return h.SharesJobs })
}

// allHosts reports whether a condition holds for each live host. It is false if no host is known.
func (d *directory) allHosts(holds func(hostRecord) bool) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, h := range d.hosts {
		if !holds(h) {
			return false
		}
	}
	return len(d.hosts) > 0
}

func (d *directory) shardCount() int {
	l, _, _ := d.currentLayout()
	return l.Shards
}

// hostCount returns the number of hosts whose records are known.
func (d *directory) hostCount() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.hosts)
}

// strengths returns the strengths of self and all other live hosts.
func (d *directory) strengths(self hostRecord) []float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := []float64{self.Strength}
	for _, h := range d.hosts {
		if h.Host != self.Host {
			out = append(out, h.Strength)
		}
	}
	return out
}

// peers returns the other hosts that are not draining, those in self's zone first.
func (d *directory) peers(self hostRecord) []hostRecord {
	d.mu.Lock()
	defer d.mu.Unlock()
	var out []hostRecord
	for _, h := range d.hosts {
		if h.Host != self.Host && !h.Draining {
			out = append(out, h)
		}
	}
	slices.SortFunc(out, func(a, b hostRecord) int {
		if byZone := boolInt(b.Zone == self.Zone) - boolInt(a.Zone == self.Zone); byZone != 0 {
			return byZone
		}
		return strings.Compare(a.Host, b.Host)
	})
	return out
}

func boolInt(b bool) int {
	if b {
		return 1
	}
	return 0
}
