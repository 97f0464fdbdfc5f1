package entry

import (
	"context"
	"time"

	"github.com/laburnumridge/laburnumridge/internal/kvstore"
)

// txnOutcome is what a transaction of an attempt returned.
type txnOutcome struct {
	err    error
	result kvstore.TxnResult
}

// attemptTxn begins an attempt to carry out a transaction that is harmless if it is carried out late or twice. It returns the next
// outcome of this attempt or of an earlier one with the same channel, and whether there was one within storeCallTimeout and before ctx
// ended; otherwise the outcome is unknown. The attempt goes on until ctx ends, sessionTTL at most: a host that is short of processor
// time would give up each attempt before its turn comes, and the following ones bound the time that a lost response costs.
func (h *Host) attemptTxn(ctx context.Context, t kvstore.Txn, outcomes chan txnOutcome) (txnOutcome, bool) {
	go func() {
		callCtx, cancel := context.WithTimeout(ctx, sessionTTL)
		defer cancel()
		result, err := h.platform.Store.Txn(callCtx, t)
		select {
		case outcomes <- txnOutcome{err: err, result: result}:
		case <-ctx.Done():
		}
	}()
	select {
	case outcome := <-outcomes:
		return outcome, true
	case <-ctx.Done():
	case <-time.After(storeCallTimeout):
	}
	return txnOutcome{err: kvstore.ErrUnknownOutcome}, false
}
