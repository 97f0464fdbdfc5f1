package entry

import (
	"context"

	"github.com/laburnumridge/laburnumridge/internal/kvstore"
	"github.com/laburnumridge/laburnumridge/internal/shard"
	"github.com/laburnumridge/laburnumridge/internal/workflow"
)

// handoverRecord is what the last owner of a shard handed over to the next one.
type handoverRecord struct {
	// Epoch is the revision of the shard's epoch key under which that owner acted. The record is meant for the owner whose claim was
	// guarded by this revision: with any other, an owner in between may have granted leases.
	Epoch    int64          `cbor:"1,keyasint"`
	Handover shard.Handover `cbor:"2,keyasint"`
}

// readHandover returns what the last owner of the shard handed over, or nil if there is no record of that owner, as after a crash, or
// it can't be read. The new owner then relies on the longest lease of a worker.
func (r *runner) readHandover(ctx context.Context) (handover *shard.Handover) {
	defer func() {
		if v := recover(); v != nil {
			logPanic(r.log, "handover", v)
			handover = nil
		}
	}()
	if r.previousEpoch == 0 || r.host.platform.Store.Get == nil {
		return nil
	}
	kv, err := r.getHandover(ctx)
	if err != nil {
		kv, err = r.getHandover(ctx)
	}
	if err != nil {
		r.log.WithError(err).WithField("decision", "handover_unread").
			Warn("failed to read what the last owner handed over; relying on the longest lease of a worker")
		return nil
	}
	if kv.ModRevision == 0 {
		return nil
	}
	record, err := workflow.Decode[handoverRecord](kv.Value)
	switch {
	case err != nil:
		r.log.WithError(err).WithField("key", kv.Key).Error("ignoring malformed handover record")
		return nil
	case record.Epoch != r.previousEpoch:
		return nil
	}
	return &record.Handover
}

func (r *runner) getHandover(ctx context.Context) (kvstore.KV, error) {
	ctx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	return r.host.platform.Store.Get(ctx, handoverKey(r.shard))
}

// loadHandover reads what the last owner handed over, for the load of the shard.
func (r *runner) loadHandover() {
	h := r.readHandover(r.ctx)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.inherited, r.isHandoverRead = h, true
}

// endOrders stops the runner and returns what the next owner has to know, or nil if this owner does not know it. An owner that has not
// loaded the shard has sent no orders and passes on what it was handed over.
func (r *runner) endOrders(ctx context.Context) *handoverRecord {
	r.mu.Lock()
	r.cancel() // no round and no acknowledgement begins from here on
	now := r.host.now()
	if r.loaded {
		defer r.mu.Unlock()
		return &handoverRecord{Epoch: r.epochKeyRevision, Handover: r.owner.Handover(now)}
	}
	inherited, isRead := r.inherited, r.isHandoverRead
	r.mu.Unlock()
	if !isRead {
		// The deletion of the owner key, which follows, has its own timeout.
		readCtx, cancel := context.WithTimeout(ctx, storeCallTimeout)
		defer cancel()
		inherited = r.readHandover(readCtx)
	}
	if inherited == nil {
		return nil
	}
	return &handoverRecord{Epoch: r.epochRevision(), Handover: inherited.WithAge(now.Sub(r.takenAt))}
}
