package entry

import (
	"context"
	"time"
)

// The last part of a timeout is made of timeoutTicks waits of timeoutTick each.
const (
	timeoutTick  = 20 * time.Millisecond
	timeoutTicks = 10
)

// withTimeout returns a context for a call to another machine. It ends after a timeout of at least timeoutTicks * timeoutTick, and
// later if this host is late: after a pause or in overload, all timers that have expired meanwhile fire before an answer is read
// that has long been received. A repeated call would then only add load. As the end of the timeout is made of short waits,
// each of which starts when the one before has fired, the time that the host was away counts once, and its lag with each of
// them.
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
	first := time.AfterFunc(timeout-timeoutTicks*timeoutTick, func() { tick(timeoutTicks) })
	return ctx, func() {
		first.Stop()
		cancel(nil)
	}
}
