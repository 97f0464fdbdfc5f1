package host

import (
	"sync"
	"time"

	"github.com/laburnumridge/laburnumridge/internal/fleet"
	"github.com/laburnumridge/laburnumridge/internal/idempotency"
)

// keyTableSet holds the key tables of the shards that the host owns. A table lasts for one epoch.
type keyTableSet struct {
	mu     sync.Mutex
	tables map[fleet.ShardID]keyTable
}

type keyTable struct {
	*idempotency.Table
	epoch int64
}

func newKeyTableSet() *keyTableSet { return &keyTableSet{tables: map[fleet.ShardID]keyTable{}} }

func (k *keyTableSet) get(id fleet.ShardID) (keyTable, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	t, ok := k.tables[id]
	return t, ok
}

func (k *keyTableSet) remove(id fleet.ShardID, epoch int64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.tables[id].epoch == epoch {
		delete(k.tables, id)
	}
}

// mayClaim reports whether the owner of a shard may claim keys now.
func (k *keyTableSet) mayClaim(id fleet.ShardID, now time.Time) bool {
	t, ok := k.get(id)
	return ok && t.MayClaim(now)
}

func (k *keyTableSet) put(id fleet.ShardID, epoch int64, table *idempotency.Table) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.tables[id] = keyTable{Table: table, epoch: epoch}
}
