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

// tellNextOwner writes the leases of workers that the stopped runner knew, for the owner that took the shard without a handover.
func (o *ownedShards) tellNextOwner(ctx context.Context, r *runner) {
	ctx, cancel := context.WithTimeout(ctx, lateHandoverTimeout)
	defer cancel()
	known := r.endOrders(ctx)
	if known == nil || r.host.platform.Store.Get == nil {
		return
	}
	for ; ctx.Err() == nil; retry.Sleep(ctx, minWriteBackoff) {
		next, ok := o.host.directory.owner(r.shard)
		switch {
		case !ok || next.revision <= r.ownerRevision():
			continue // not seen yet
		case next.PreviousEpoch != known.Epoch:
			return // there is another owner in between
		}
		isTold, err := r.writeLateHandover(ctx, *known, next.revision)
		if err == nil {
			if isTold {
				r.log.WithField("decision", "late_handover").Info("told the next owner the leases of workers after it had taken the shard")
			}
			return
		}
	}
}

// writeLateHandover writes the leases of workers for the owner whose key has a revision. It returns false if that owner was handed over to
// by an attempt whose response was lost. The guards keep that handover, and what the next owner hands over in its turn, from being
// overwritten.
func (r *runner) writeLateHandover(ctx context.Context, known handoverRecord, nextRevision int64) (isTold bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	current, err := r.host.platform.Store.Get(ctx, handoverKey(r.shard))
	if err != nil {
		return false, err
	}
	if record, err := workflow.Decode[handoverRecord](current.Value); err == nil && record.Epoch == known.Epoch {
		return false, nil
	}
	record := handoverRecord{Handover: shard.Handover{Workers: known.Handover.Workers}, LateEpoch: known.Epoch}
	_, err = r.host.platform.Store.Txn(ctx, kvstore.Txn{
		Guards: []kvstore.Guard{{Key: ownerKey(r.shard), Revision: nextRevision}, {Key: handoverKey(r.shard), Revision: current.ModRevision}},
		Puts:   []kvstore.Put{{Key: handoverKey(r.shard), Value: workflow.Encode(record)}},
	})
	countWrite(err)
	return err == nil, err
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
