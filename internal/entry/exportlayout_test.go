package entry

import (
	"context"

	"github.com/laburnumridge/laburnumridge/internal/kvstore"
	"github.com/laburnumridge/laburnumridge/internal/workflow"
)

// ElectionInterval is the time between two election rounds.
const ElectionInterval = electionInterval

// AddHost adds the record of a live host to the host's directory.
func (h *Host) AddHost(name string, strength float64) {
	h.directory.mu.Lock()
	defer h.directory.mu.Unlock()
	record := hostRecord{Host: name, Incarnation: name, Strength: strength}
	h.directory.put(kvstore.KV{Key: hostPrefix + name, Value: workflow.Encode(record), ModRevision: 1})
}

// CreateLayout does what an election round of a host with a valid lease does while there is no layout.
func (h *Host) CreateLayout(ctx context.Context) {
	h.session.setLease(1, h.now())
	h.createLayout(ctx)
}

// LayoutShards returns the number of shards in an encoded layout.
func LayoutShards(data []byte) (int, error) {
	l, err := workflow.Decode[layout](data)
	return l.Shards, err
}

// SetOwners sets a layout with one shard for each owner, given by the addresses of their peer listeners.
func (h *Host) SetOwners(addresses ...string) {
	h.directory.mu.Lock()
	defer h.directory.mu.Unlock()
	h.directory.layout, h.directory.layoutRevision = layout{Shards: len(addresses)}, 1
	for n, address := range addresses {
		h.directory.owners[n] = ownerRecord{hostRecord: hostRecord{Host: address, Incarnation: address, PeerAddress: address}}
	}
}

// SetShardCount sets a layout of shards without owners.
func (h *Host) SetShardCount(n int) {
	h.directory.mu.Lock()
	defer h.directory.mu.Unlock()
	h.directory.layout, h.directory.layoutRevision = layout{Shards: n}, 1
}
