package entry

import (
	"context"
	"time"

	"github.com/laburnumridge/laburnumridge/internal/retry"
)

// The last part of a timeout consists of timeoutTicks waits of timeoutTick each.
const (
	timeoutTick  = 20 * time.Millisecond
	timeoutTicks = 10
)

// withTimeout returns a context for a call to the store, a worker or a peer. It ends after the timeout, which must be at least
// timeoutTicks times timeoutTick, and later if this host lacks processor time: when a host runs again after a pause, expired
// timers fire before it reads the answers that have arrived meanwhile, and a call that was answered would be repeated. Each
// wait of the last part starts when the one before has fired, so a pause uses up one wait only, and late timers prolong each
// wait. The context reports no deadline.
func withTimeout(ctx context.Context, timeout time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	var tick func(left int)
	tick = func(left int) {
		switch {
		case ctx.Err() != nil:
		case left == 0:
			cancel(context.DeadlineExceeded)
		default:
			time.AfterFunc(timeoutTick, func() { tick(left - 1) })
		}
	}
	first := time.AfterFunc(max(timeout-timeoutTicks*timeoutTick, retry.ShortestTimer), func() { tick(timeoutTicks) })
	return ctx, func() {
		first.Stop()
		cancel(nil)
	}
}
