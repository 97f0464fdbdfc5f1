package entry

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/laburnumridge/laburnumridge/internal/kvstore"
	"github.com/laburnumridge/laburnumridge/internal/peer"
	"github.com/laburnumridge/laburnumridge/internal/settings"
	"github.com/laburnumridge/laburnumridge/internal/shard"
	"github.com/laburnumridge/laburnumridge/internal/workflow"
)

// NewInVirtualTime returns a host whose clock is the one of a synctest bubble.
func NewInVirtualTime(s settings.Settings, p Platform, log *logrus.Logger) *Host {
	h := New(s, p, log)
	h.now, h.directory.now, h.session.now = time.Now, time.Now, time.Now
	return h
}

// RunWithoutListeners does what Run does, without callers and peers. When ctx ends it stops as a killed process does.
func (h *Host) RunWithoutListeners(ctx context.Context) {
	var running sync.WaitGroup
	for _, f := range []func(context.Context){
		h.session.run,
		func(ctx context.Context) { h.directory.run(ctx, h.platform.Store) },
		func(ctx context.Context) { h.config.run(ctx, h.platform.Store) },
		h.ownedShards.runElection,
	} {
		running.Go(func() { f(ctx) })
	}
	running.Wait()
}

// SetRequest sets the function that sends messages to peers.
func (h *Host) SetRequest(f func(ctx context.Context, address string, m peer.Message) (peer.Message, error)) {
	h.request = f
}

// HandlePeerMessage answers a request of another host.
func (h *Host) HandlePeerMessage(ctx context.Context, m peer.Message) (peer.Message, error) {
	return h.handlePeerMessage(ctx, m)
}

// SeeHost adds a host, whose name is also its address, to the hosts that this one knows.
func (h *Host) SeeHost(name string) {
	h.directory.mu.Lock()
	defer h.directory.mu.Unlock()
	h.directory.put(kvstore.KV{
		Key: hostPrefix + name, Value: workflow.Encode(hostRecord{Host: name, Incarnation: name, PeerAddress: name}),
	})
}

// RunSession keeps a lease until ctx ends.
func (h *Host) RunSession(ctx context.Context) { h.session.run(ctx) }

// AbandonLease abandons the present lease.
func (h *Host) AbandonLease(ctx context.Context) error {
	lease, _ := h.session.currentLease()
	return h.session.abandon(ctx, lease)
}

// Lease returns the present lease and until when the host relies on it.
func (h *Host) Lease() (int64, time.Time) { return h.session.currentLease() }

// IsHealthy reports whether the host takes the store for reachable.
func (h *Host) IsHealthy() bool { return h.session.isHealthy() }

// DrainShards marks the host as draining and gives up its shards.
func (h *Host) DrainShards(ctx context.Context) {
	h.draining.Store(true)
	h.giveUpShards(ctx)
}

// JobRecords returns the keys and values with which a host accepts a job.
func JobRecords(shard int, j workflow.Job) map[string][]byte {
	return map[string][]byte{
		jobKey(shard, j.ID): workflow.Encode(j), locationKey(j.ID): workflow.Encode(workflow.JobLocation{Shard: shard}),
	}
}

// HostRecord returns the key and value of the record of a host whose name is also its incarnation.
func HostRecord(name string, strength float64) (key string, value []byte) {
	return hostPrefix + name, workflow.Encode(hostRecord{Host: name, Incarnation: name, Strength: strength})
}

// LayoutRecord returns the key and value of a layout.
func LayoutRecord(shards int, racks map[string]int) (key string, value []byte) {
	return layoutKey, workflow.Encode(layout{Shards: shards, Racks: racks})
}

// OwnershipTxn returns the transaction with which a host that is known by HostRecord takes a shard.
func OwnershipTxn(shard int, host string) kvstore.Txn {
	_, record := HostRecord(host, 0)
	return kvstore.Txn{Puts: []kvstore.Put{{Key: ownerKey(shard), Value: record}, {Key: epochKey(shard), Value: record}}}
}

// RecordedHandover returns what a handover record in the store says.
func RecordedHandover(value []byte) (shard.Handover, error) {
	record, err := workflow.Decode[handoverRecord](value)
	return record.Handover, err
}

// EncodeHandover returns the value of a handover record.
func EncodeHandover(epoch int64, h shard.Handover) []byte {
	return workflow.Encode(handoverRecord{Epoch: epoch, Handover: h})
}

// LocationKey returns the key of the location of a job.
func LocationKey(id string) string { return locationKey(id) }

// MovesTasks reports whether a write is one of those that move tasks of a shared job between shards.
func MovesTasks(key string, value []byte) bool {
	_, isShared := workflow.DecodeSharedJob(value)
	return isShared || strings.Contains(key, returnedInfix)
}

// EpochRecord returns the value of an epoch key of a host of this build, or of an older one.
func EpochRecord(host string, earlier time.Duration, isOlderBuild bool) []byte {
	r := hostRecord{EarlierLeases: earlier, Host: host, Incarnation: host, LeaseFromOrder: 7 * time.Second, LeaseFromRenewal: 7600 * time.Millisecond}
	if isOlderBuild {
		r.EarlierLeases, r.LeaseFromOrder, r.LeaseFromRenewal = 0, 0, 0
	}
	return workflow.Encode(r)
}

// SeeEpoch shows the epoch key of shard 0 to the host, and that the leases before it have ended if isSettled is set.
func (h *Host) SeeEpoch(revision int64, record []byte, isSettled bool) {
	h.directory.mu.Lock()
	defer h.directory.mu.Unlock()
	h.directory.put(kvstore.KV{Key: epochKey(0), ModRevision: revision, Value: record})
	if isSettled {
		h.directory.put(kvstore.KV{Key: settledKey(0), ModRevision: revision + 1, Value: workflow.Encode(revision)})
	}
}

// EarlierLeases returns how long leases of earlier owners can last from now on, for a claim that is guarded by an epoch.
func (h *Host) EarlierLeases(epoch int64) time.Duration {
	return h.directory.earlierLeases(0, epoch, h.timing()).total
}

// Prefixes of the keys of jobs, locations, owners and successors.
const (
	JobPrefix       = jobPrefix
	LocationPrefix  = locationPrefix
	OwnerPrefix     = ownerPrefix
	ProgressPrefix  = progressPrefix
	SuccessorPrefix = successorPrefix
)

// RecordedHost returns the name in the record of a host or owner.
func RecordedHost(value []byte) (string, error) {
	h, err := workflow.Decode[hostRecord](value)
	return h.Host, err
}

// HostRecordBeforeSharedEnds returns the key and value of the record of a host whose build shares only jobs whose tasks last.
func HostRecordBeforeSharedEnds(name string) (key string, value []byte) {
	return hostPrefix + name, workflow.Encode(hostRecord{Host: name, Incarnation: name, ReadsCompact: true, SharesJobs: true})
}
