package host

import (
	"context"
	"encoding/json"
	"strings"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/laburnumridge/laburnumridge/internal/fleet"
	"github.com/laburnumridge/laburnumridge/internal/kvstore"
	"github.com/laburnumridge/laburnumridge/internal/retry"
)

// Timing of watches. A watch may go silent without an error, so each is replaced after watchLifetime at the latest.
const (
	watchLifetime   = 60 * time.Second
	watchRetryDelay = time.Second
)

// hostList follows the platform's host list.
type hostList struct {
	onChange func(fleet.Snapshot)
	current  atomic.Pointer[fleet.Snapshot]
	log      *logrus.Entry
	store    kvstore.Store
}

func (l *hostList) snapshot() fleet.Snapshot {
	if s := l.current.Load(); s != nil {
		return *s
	}
	return fleet.Snapshot{}
}

func (l *hostList) run(ctx context.Context) {
	watchPrefix(ctx, l.store, kvstore.HostPrefix, l.log, func(kvs map[string]kvstore.KV) {
		hosts := make([]fleet.Host, 0, len(kvs))
		for key, kv := range kvs {
			var h fleet.Host
			if err := json.Unmarshal(kv.Value, &h); err != nil {
				l.log.WithField("key", key).WithError(err).Warn("skipped a malformed record on the host list")
				continue
			}
			hosts = append(hosts, h)
		}
		s := fleet.NewSnapshot(hosts...)
		l.current.Store(&s)
		l.onChange(s)
	})
}

// watchPrefix reads all keys with a prefix and then watches them until ctx ends. It calls onChange with the current
// keys after each read and each change.
func watchPrefix(
	ctx context.Context, store kvstore.Store, prefix string, log *logrus.Entry, onChange func(map[string]kvstore.KV),
) {
	var revision int64
	kvs := map[string]kvstore.KV{}
	loaded := false
	for ctx.Err() == nil {
		if !loaded {
			list, rev, err := store.Range(ctx, prefix)
			if err != nil {
				log.WithError(err).WithField("prefix", prefix).Warn("failed to read the platform store; trying again within a second")
				retry.Sleep(ctx, jitter(watchRetryDelay))
				continue
			}
			kvs = map[string]kvstore.KV{}
			for _, kv := range list {
				kvs[kv.Key] = kv
			}
			revision, loaded = rev, true
			onChange(kvs)
		}
		watchCtx, cancel := context.WithTimeout(ctx, watchLifetime/2+jitter(watchLifetime/2))
		err := store.Watch(watchCtx, prefix, revision, func(events []kvstore.Event) {
			for _, e := range events {
				revision = max(revision, e.KV.ModRevision)
				if e.Deleted {
					delete(kvs, e.KV.Key)
				} else if strings.HasPrefix(e.KV.Key, prefix) {
					kvs[e.KV.Key] = e.KV
				}
			}
			onChange(kvs)
		})
		ended := watchCtx.Err() != nil
		cancel()
		if !ended {
			// The store may no longer have the events that a broken watch missed, so all keys are read again. A watch
			// that was replaced resumes at its revision: reading all keys each time would cost more than the watch.
			loaded = false
			log.WithError(err).WithField("prefix", prefix).Warn("watch of the platform store broke; reading all keys again")
			retry.Sleep(ctx, jitter(watchRetryDelay))
		}
	}
}
