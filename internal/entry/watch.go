package entry

import (
	"context"
	"errors"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/laburnumridge/laburnumridge/internal/kvstore"
	"github.com/laburnumridge/laburnumridge/internal/retry"
)

// Delays between attempts to read or watch the keys of a prefix.
const (
	watchRetryDelay    = 100 * time.Millisecond
	maxWatchRetryDelay = time.Second
)

// watchPrefix calls onSnapshot with all keys of a prefix and the revision at which they were read, and then onEvents with their
// changes, until ctx ends. If the watch falls behind the history that the store keeps, or a function panics, it starts again with a
// snapshot.
func watchPrefix(ctx context.Context, s kvstore.Store, log *logrus.Entry, prefix string,
	onSnapshot func(kvs []kvstore.KV, revision int64), onEvents func([]kvstore.Event),
) {
	backoff := retry.NewBackoff(watchRetryDelay, maxWatchRetryDelay, uint64(time.Now().UnixNano()))
	failures := 0
	for ctx.Err() == nil {
		kvs, revision, err := s.Range(ctx, prefix)
		if err != nil {
			failures++
			if failures == 1 {
				log.WithError(err).WithField("prefix", prefix).Warn("failed to read watched keys; retrying")
			}
			retry.Sleep(ctx, backoff.Pause(failures, 0))
			continue
		}
		if failures > 0 {
			log.WithField("prefix", prefix).WithField("revision", revision).Info("watched keys are readable again")
		}
		failures = 0
		isApplied := runSafely(log, prefix, func() { onSnapshot(kvs, revision) })
		for isApplied && ctx.Err() == nil {
			watchCtx, stopWatch := context.WithCancel(ctx)
			err := s.Watch(watchCtx, prefix, revision, func(events []kvstore.Event) {
				revision = max(revision, events[len(events)-1].KV.ModRevision)
				if isApplied = isApplied && runSafely(log, prefix, func() { onEvents(events) }); !isApplied {
					stopWatch()
				}
			})
			stopWatch()
			if errors.Is(err, kvstore.ErrCompacted) {
				log.WithField("prefix", prefix).WithField("revision", revision).
					Info("store no longer keeps the watch history; reading all keys again")
				break
			}
			failures++
			retry.Sleep(ctx, backoff.Pause(failures, 0))
		}
		failures = 0
		if !isApplied {
			retry.Sleep(ctx, maxWatchRetryDelay)
		}
	}
}

// runSafely runs f and returns false if it panics.
func runSafely(log *logrus.Entry, prefix string, f func()) (ok bool) {
	defer func() {
		if v := recover(); v != nil {
			logPanic(log.WithField("prefix", prefix), "watch", v)
		}
	}()
	f()
	return true
}
