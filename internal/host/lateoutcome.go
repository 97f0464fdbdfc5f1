package host

import (
	"context"
	"encoding/json"
	"time"

	"github.com/rotisserie/eris"

	"github.com/laburnumridge/laburnumridge/internal/fleet"
	"github.com/laburnumridge/laburnumridge/internal/idempotency"
	"github.com/laburnumridge/laburnumridge/internal/peer"
	"github.com/laburnumridge/laburnumridge/internal/retry"
)

const (
	// lateOutcomeWait is how long a caller's response waits for the new owner to know the outcome, so that a repeat of the
	// request gets the response too. It is ten times as long as a new owner usually needs to start.
	lateOutcomeWait = 500 * time.Millisecond
	// lateOutcomeTimeout bounds the attempts to report an outcome. A new owner after a crash needs up to 10 s to start.
	lateOutcomeTimeout = 30 * time.Second
	lateOutcomeRetry   = 50 * time.Millisecond
)

// reportLateOutcome tells the present owner of the shard how a request ended whose key was handed over while it ran; late is nil
// for other requests. It returns once the owner knows, or after lateOutcomeWait, and then goes on in the background. Until the
// owner is told, the request counts as running there, and in the end as of unknown outcome.
func (h *Host) reportLateOutcome(id fleet.ShardID, late *idempotency.LateOutcome) {
	if late == nil {
		return
	}
	reported := make(chan struct{})
	go func() {
		defer close(reported)
		ctx, cancel := context.WithTimeout(h.ownerContext(), lateOutcomeTimeout)
		defer cancel()
		for !h.sendLateOutcome(ctx, id, *late) {
			if ctx.Err() != nil {
				h.log.WithField("shard", id.String()).Warn("the shard's owner was not told the outcome of a request; it stays unknown")
				return
			}
			retry.Sleep(ctx, lateOutcomeRetry)
		}
	}()
	select {
	case <-reported:
	case <-time.After(lateOutcomeWait):
	}
}

// sendLateOutcome makes one attempt to tell the owner of the shard, which may be this host again. It returns false if the owner is
// unknown or did not record the outcome.
func (h *Host) sendLateOutcome(ctx context.Context, id fleet.ShardID, late idempotency.LateOutcome) bool {
	if table, ok := h.keyTables.get(id); ok && table.epoch > late.Epoch {
		return table.AcceptLateOutcome(late)
	}
	owner, ok := h.shards.ownerOf(id)
	if !ok || owner.epoch <= late.Epoch {
		return false
	}
	data, err := json.Marshal(late)
	if err != nil {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	_, err = h.requestPeer(ctx, owner.host, peer.Message{KeyOutcome: &peer.KeyOutcome{
		Index: id.Index, Outcome: data, Zone: id.Zone,
	}})
	return err == nil
}

// acceptLateOutcome records the outcome of a request that an earlier owner of the shard ran.
func (h *Host) acceptLateOutcome(in peer.KeyOutcome) error {
	id := fleet.ShardID{Index: in.Index, Zone: in.Zone}
	var late idempotency.LateOutcome
	if err := json.Unmarshal(in.Outcome, &late); err != nil {
		return eris.Wrapf(err, "outcome for %s", id)
	}
	table, ok := h.keyTables.get(id)
	if !ok || table.epoch <= late.Epoch || !table.AcceptLateOutcome(late) {
		return eris.Wrapf(errNotShardOwner, "%s", id)
	}
	return nil
}
