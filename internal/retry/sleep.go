package retry

import (
	"context"
	"time"
)

// ShortestTimer is the shortest duration of a timer. In a test in virtual time, one of 0 or less fires inside the runtime call that
// sets it, which crashes the race detector.
const ShortestTimer = time.Nanosecond

// Sleep waits for d or until ctx ends.
func Sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(max(d, ShortestTimer))
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
