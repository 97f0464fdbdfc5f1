package entry

import (
	"context"
	"time"

	"github.com/laburnumridge/laburnumridge/internal/kvstore"
	"github.com/laburnumridge/laburnumridge/internal/retry"
	"github.com/laburnumridge/laburnumridge/internal/shard"
	"github.com/laburnumridge/laburnumridge/internal/workflow"
)

const (
	// lateHandoverTimeout bounds the attempts of an owner to tell the next one what it knew, and lateHandoverPeriod is for how long the next
	// one looks for that: the time in which an owner learns that its lease has ended, after an outage as long as that lease.
	lateHandoverTimeout = 2 * time.Second
	lateHandoverPeriod  = 4 * time.Second
	// lateHandoverInterval is how often it looks. Each look is one read.
	lateHandoverInterval = 400 * time.Millisecond
)

// tellNextOwner writes the leases of workers that the stopped runner knew, for the owner that took the shard without a handover. The guard
// on the key of that owner keeps what it hands over in its turn from being overwritten.
func (o *ownedShards) tellNextOwner(ctx context.Context, r *runner) {
	ctx, cancel := context.WithTimeout(ctx, lateHandoverTimeout)
	defer cancel()
	known := r.endOrders(ctx)
	if known == nil {
		return
	}
	record := handoverRecord{Handover: shard.Handover{Workers: known.Handover.Workers}, LateEpoch: known.Epoch}
	puts := []kvstore.Put{{Key: handoverKey(r.shard), Value: workflow.Encode(record)}}
	for ; ctx.Err() == nil; retry.Sleep(ctx, minWriteBackoff) {
		next, ok := o.host.directory.owner(r.shard)
		switch {
		case !ok || next.revision <= r.ownerRevision():
			continue // not seen yet
		case next.PreviousEpoch != known.Epoch:
			return // there is another owner in between
		}
		callCtx, cancelCall := context.WithTimeout(ctx, storeCallTimeout)
		_, err := o.host.platform.Store.Txn(callCtx, kvstore.Txn{
			Guards: []kvstore.Guard{{Key: ownerKey(r.shard), Revision: next.revision}}, Puts: puts,
		})
		cancelCall()
		countWrite(err)
		if err == nil {
			r.log.WithField("decision", "late_handover").Info("told the next owner the leases of workers after it had taken the shard")
			return
		}
	}
}

// followLateHandover looks for what the last owner tells after this one has taken the shard.
func (r *runner) followLateHandover() {
	for end := r.takenAt.Add(lateHandoverPeriod); r.ctx.Err() == nil && r.host.now().Before(end); {
		retry.Sleep(r.ctx, lateHandoverInterval)
		r.mu.Lock()
		isRead, isKnown := r.isHandoverRead, r.inherited != nil || r.owner.IsTold()
		r.mu.Unlock()
		if isKnown {
			return
		}
		if isRead {
			_, _ = r.readHandover(r.ctx) // a failed read is logged there
		}
	}
}
