package entry

import (
	"context"
	"time"

	"github.com/laburnumridge/laburnumridge/internal/kvstore"
	"github.com/laburnumridge/laburnumridge/internal/retry"
	"github.com/laburnumridge/laburnumridge/internal/shard"
	"github.com/laburnumridge/laburnumridge/internal/workflow"
)

// handoverRecord is what the last owner of a shard handed over to the next one.
type handoverRecord struct {
	// Epoch is the revision of the shard's epoch key under which that owner acted. The record is meant for the owner whose claim was
	// guarded by this revision: with any other, an owner in between may have granted leases.
	Epoch    int64          `cbor:"1,keyasint"`
	Handover shard.Handover `cbor:"2,keyasint"`
	// CrashedEpoch replaces Epoch in the record that a host writes for an earlier process of its own, which has ended. All leases of that
	// owner end CrashedLeases after the record was written at the latest. Owners of older builds find no record of theirs then.
	CrashedEpoch  int64         `cbor:"3,keyasint,omitempty"`
	CrashedLeases time.Duration `cbor:"4,keyasint,omitempty"`
	// LateEpoch replaces Epoch in the record of an owner that learned of the loss of its shard only when another host had taken it. The
	// leases in Handover count from the read of the record then, and the rest of it is empty.
	LateEpoch int64 `cbor:"5,keyasint,omitempty"`
}

// readHandover returns what the last owner of the shard handed over, or nil if there is no record of that owner, as after a crash. The
// new owner then relies on the longest lease of a worker.
func (r *runner) readHandover(ctx context.Context) (handover *shard.Handover, err error) {
	defer func() {
		if v := recover(); v != nil {
			logPanic(r.log, "handover", v)
			handover, err = nil, nil
		}
	}()
	if r.previousEpoch == 0 || r.host.platform.Store.Get == nil {
		return nil, nil
	}
	ctx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	kv, err := r.host.platform.Store.Get(ctx, handoverKey(r.shard))
	if err != nil {
		r.log.WithError(err).WithField("decision", "handover_unread").Warn("failed to read what the last owner handed over")
		return nil, err
	}
	if kv.ModRevision == 0 {
		return nil, nil
	}
	record, err := workflow.Decode[handoverRecord](kv.Value)
	switch {
	case err != nil:
		r.log.WithError(err).WithField("key", kv.Key).Error("ignoring malformed handover record")
		return nil, nil
	case record.CrashedEpoch == r.previousEpoch:
		r.noteCrash(record.CrashedLeases)
		return nil, nil
	case record.LateEpoch == r.previousEpoch:
		r.updateOwner(func(now time.Time) { r.owner.InheritLate(now, record.Handover) })
		return nil, nil
	case record.Epoch != r.previousEpoch:
		return nil, nil
	}
	return &record.Handover, nil
}

// loadHandover reads what the last owner handed over, for the load of the shard. It retries until it succeeds or the runner stops: an
// owner that does without would hand the longest leases over in its turn.
func (r *runner) loadHandover() {
	for r.ctx.Err() == nil {
		h, err := r.readHandover(r.ctx)
		if err != nil {
			r.noteFailedRead()
			retry.Sleep(r.ctx, minWriteBackoff)
			continue
		}
		r.mu.Lock()
		defer r.mu.Unlock()
		r.inherited, r.isHandoverRead = h, true
		return
	}
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
		readCtx, cancel := context.WithTimeout(ctx, commitWaitTimeout)
		defer cancel()
		var err error
		for inherited, err = r.readHandover(readCtx); err != nil; inherited, err = r.readHandover(readCtx) {
			if readCtx.Err() != nil {
				return nil
			}
			retry.Sleep(readCtx, minWriteBackoff)
		}
	}
	if inherited == nil {
		return nil
	}
	return &handoverRecord{Epoch: r.epochRevision(), Handover: inherited.WithAge(now.Sub(r.takenAt))}
}

// handoverPuts stops the runner and returns the write of what the next owner has to know, if this owner knows it.
func (r *runner) handoverPuts(ctx context.Context) []kvstore.Put {
	handover := r.endOrders(ctx)
	if handover == nil {
		return nil
	}
	return []kvstore.Put{{Key: handoverKey(r.shard), Value: workflow.Encode(*handover)}}
}
