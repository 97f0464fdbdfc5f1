package entry

import (
	"context"
	"slices"
	"strings"
	"sync"

	"github.com/sirupsen/logrus"

	"github.com/laburnumridge/laburnumridge/internal/election"
	"github.com/laburnumridge/laburnumridge/internal/kvstore"
	"github.com/laburnumridge/laburnumridge/internal/workflow"
)

// hostRecord is what a host says of itself while its lease lasts.
type hostRecord struct {
	Draining bool   `cbor:"1,keyasint,omitempty"`
	Host     string `cbor:"2,keyasint"`
	Peer     string `cbor:"3,keyasint"`
	// Run is unique to the process.
	Run  string `cbor:"4,keyasint"`
	Zone string `cbor:"5,keyasint"`
	// Strength is the host's share of processors, by which owners are chosen.
	Strength float64 `cbor:"6,keyasint,omitempty"`
}

// layout assigns racks to shards. Racks are added to it and never move.
type layout struct {
	Racks  map[string]int `cbor:"1,keyasint,omitempty"`
	Shards int            `cbor:"2,keyasint"`
}

// owned is an owner's key as the store holds it.
type owned struct {
	hostRecord
	revision int64
}

// directory is what the host knows of hosts, owners and the layout.
type directory struct {
	changed chan struct{}
	epochs  map[int]int64
	hosts   map[string]hostRecord
	layout  layout
	// layoutRevision is 0 while there is no layout.
	layoutRevision int64
	loaded         bool
	log            *logrus.Entry
	mu             sync.Mutex
	owners         map[int]owned
}

func newDirectory(log *logrus.Entry) *directory {
	return &directory{
		changed: make(chan struct{}), epochs: map[int]int64{}, hosts: map[string]hostRecord{}, log: log,
		owners: map[int]owned{},
	}
}

func (d *directory) run(ctx context.Context, s kvstore.Store) {
	follow(ctx, s, d.log, controlPrefix, func(kvs []kvstore.KV) {
		d.mu.Lock()
		d.epochs, d.hosts, d.owners = map[int]int64{}, map[string]hostRecord{}, map[int]owned{}
		for _, kv := range kvs {
			d.put(kv)
		}
		d.loaded = true
		d.mu.Unlock()
		d.notify()
	}, func(events []kvstore.Event) {
		d.mu.Lock()
		for _, ev := range events {
			if ev.Deleted {
				d.remove(ev.KV.Key)
			} else {
				d.put(ev.KV)
			}
		}
		d.mu.Unlock()
		d.notify()
	})
}

func (d *directory) notify() {
	d.mu.Lock()
	defer d.mu.Unlock()
	close(d.changed)
	d.changed = make(chan struct{})
}

// watch returns a channel that is closed at the next change.
func (d *directory) watch() <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.changed
}

func (d *directory) put(kv kvstore.KV) {
	switch {
	case kv.Key == layoutKey:
		if l, err := workflow.Decode[layout](kv.Value); err == nil {
			d.layout, d.layoutRevision = l, kv.ModRevision
		} else {
			d.log.WithError(err).Error("layout can't be read")
		}
	case strings.HasPrefix(kv.Key, hostPrefix):
		if h, err := workflow.Decode[hostRecord](kv.Value); err == nil {
			d.hosts[kv.Key] = h
		} else {
			d.log.WithError(err).WithField("key", kv.Key).Error("host's record can't be read")
		}
	case strings.HasPrefix(kv.Key, ownerPrefix):
		n, ok := shardOfKey(kv.Key, ownerPrefix)
		h, err := workflow.Decode[hostRecord](kv.Value)
		if !ok || err != nil {
			d.log.WithField("key", kv.Key).Error("owner's record can't be read")
			return
		}
		if old := d.owners[n]; old.Run != h.Run {
			d.log.WithFields(logrus.Fields{
				"decision": "owner_seen", "shard": n, "owner": h.Host, "before": old.Host, "revision": kv.ModRevision,
			}).Info("shard has an owner")
		}
		d.owners[n] = owned{hostRecord: h, revision: kv.ModRevision}
	case strings.HasPrefix(kv.Key, epochPrefix):
		if n, ok := shardOfKey(kv.Key, epochPrefix); ok {
			d.epochs[n] = kv.ModRevision
		}
	}
}

func (d *directory) remove(key string) {
	if n, ok := shardOfKey(key, ownerPrefix); ok && strings.HasPrefix(key, ownerPrefix) {
		d.log.WithFields(logrus.Fields{"decision": "owner_lost", "shard": n, "before": d.owners[n].Host}).
			Info("shard has no owner")
		delete(d.owners, n)
	}
	delete(d.hosts, key)
}

func (d *directory) owner(shard int) (owned, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	o, ok := d.owners[shard]
	return o, ok
}

func (d *directory) epoch(shard int) int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.epochs[shard]
}

func (d *directory) layoutNow() (layout, int64, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.layout, d.layoutRevision, d.loaded
}

func (d *directory) shards() int {
	l, _, _ := d.layoutNow()
	return l.Shards
}

// strengths returns the strengths of all live hosts.
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

// peers returns the other hosts that do not drain, those of the zone first.
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
		if near := boolInt(b.Zone == self.Zone) - boolInt(a.Zone == self.Zone); near != 0 {
			return near
		}
		return strings.Compare(a.Host, b.Host)
	})
	return out
}

// rank returns how many live hosts come before self, which owns some shards, as the owner of another one.
func (d *directory) rank(self hostRecord, shard, owned int) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	shards := map[string]int{}
	for _, o := range d.owners {
		shards[o.Run]++
	}
	var others []election.Candidate
	for _, h := range d.hosts {
		if h.Host != self.Host && !h.Draining {
			others = append(others, election.Candidate{Host: h.Host, Shards: shards[h.Run], Strength: h.Strength})
		}
	}
	return election.Rank(election.Candidate{Host: self.Host, Shards: owned, Strength: self.Strength}, others, shard)
}

func boolInt(b bool) int {
	if b {
		return 1
	}
	return 0
}
