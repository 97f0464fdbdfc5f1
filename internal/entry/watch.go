package entry

import (
	"context"
	"errors"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/laburnumridge/laburnumridge/internal/kvstore"
	"github.com/laburnumridge/laburnumridge/internal/retry"
)

// Pauses between attempts to read keys that a host follows.
const (
	followPause    = 100 * time.Millisecond
	maxFollowPause = time.Second
)

// follow calls snapshot with all keys of a prefix and then each with every change, until ctx ends. After a gap in the
// history it begins anew with a snapshot.
func follow(ctx context.Context, s kvstore.Store, log *logrus.Entry, prefix string,
	snapshot func([]kvstore.KV), each func([]kvstore.Event),
) {
	backoff := retry.NewBackoff(followPause, maxFollowPause, uint64(time.Now().UnixNano()))
	failures := 0
	for ctx.Err() == nil {
		kvs, revision, err := s.Range(ctx, prefix)
		if err != nil {
			failures++
			if failures == 1 {
				log.WithError(err).WithField("prefix", prefix).Warn("keys can't be read")
			}
			retry.Sleep(ctx, backoff.Pause(failures, 0))
			continue
		}
		if failures > 0 {
			log.WithField("prefix", prefix).WithField("revision", revision).Info("keys can be read again")
		}
		failures = 0
		snapshot(kvs)
		for ctx.Err() == nil {
			err := s.Watch(ctx, prefix, revision, func(events []kvstore.Event) {
				revision = max(revision, events[len(events)-1].KV.ModRevision)
				each(events)
			})
			if errors.Is(err, kvstore.ErrCompacted) {
				log.WithField("prefix", prefix).WithField("revision", revision).Info("history is gone; keys are read anew")
				break
			}
			failures++
			retry.Sleep(ctx, backoff.Pause(failures, 0))
		}
		failures = 0
	}
}
