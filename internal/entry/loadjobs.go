package entry

import (
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/laburnumridge/laburnumridge/internal/kvstore"
	"github.com/laburnumridge/laburnumridge/internal/retry"
	"github.com/laburnumridge/laburnumridge/internal/workflow"
)

// readProgress reads the shard's progress records. It retries until it succeeds or the runner stops. The store bounds the read of
// each page; a bound for all would keep a shard with many records from being loaded while the store is slow.
func (r *runner) readProgress(s kvstore.Store) map[string]workflow.Progress {
	for r.ctx.Err() == nil {
		kvs, _, err := s.Range(r.ctx, shardProgressPrefix(r.shard))
		if err != nil {
			r.log.WithError(err).Warn("failed to read progress records; retrying")
			retry.Sleep(r.ctx, watchRetryDelay)
			continue
		}
		out := make(map[string]workflow.Progress, len(kvs))
		r.locked(func() {
			for _, kv := range kvs {
				id := strings.TrimPrefix(kv.Key, shardProgressPrefix(r.shard))
				r.progressRevisions[id] = kv.ModRevision
				p, err := workflow.Decode[workflow.Progress](kv.Value)
				if err != nil {
					r.log.WithError(err).WithField("job", id).Error("ignoring malformed progress record")
					continue
				}
				out[id] = p
			}
		})
		return out
	}
	return nil
}

// loadJobs restores the shard's jobs, which were read at a store revision or later, with their recorded progress. Called again
// after a gap in the watch history, it adds the jobs that were missed.
func (r *runner) loadJobs(kvs []kvstore.KV, revision int64, recorded map[string]workflow.Progress) {
	r.updateOwner(func(now time.Time) {
		for _, kv := range kvs {
			if id, cancelled := parseJobKey(kv.Key, r.shard); cancelled {
				r.cancellations[id] = true
			}
		}
		if !r.loaded && r.inherited != nil {
			r.owner.Inherit(*r.inherited)
		}
		jobs := 0
		for _, kv := range kvs {
			if _, cancelled := parseJobKey(kv.Key, r.shard); cancelled {
				continue
			}
			j, ok := r.decodeJob(kv)
			if !ok {
				continue
			}
			jobs++
			if r.loaded {
				r.owner.Add(now, j)
			} else {
				r.owner.Restore(now, j, recorded[j.ID], r.cancellations[j.ID])
			}
		}
		for id := range r.cancellations {
			r.owner.Cancel(now, id)
		}
		if !r.loaded {
			r.loaded, r.changedAt = true, now
		}
		r.appliedJobs = max(r.appliedJobs, revision)
		r.log.WithFields(logrus.Fields{
			"decision": "load", "handed_over": r.inherited != nil, "jobs": jobs, "records": len(recorded), "revision": r.ownerKeyRevision,
		}).Info("shard loaded")
	})
}

func (r *runner) applyJobEvents(events []kvstore.Event) {
	r.updateOwner(func(now time.Time) {
		for _, ev := range events {
			r.appliedJobs = max(r.appliedJobs, ev.KV.ModRevision)
			if ev.Deleted {
				continue
			}
			if id, cancelled := parseJobKey(ev.KV.Key, r.shard); cancelled {
				r.cancellations[id] = true
				r.owner.Cancel(now, id)
				continue
			}
			if j, ok := r.decodeJob(ev.KV); ok {
				r.owner.Add(now, j)
				if r.cancellations[j.ID] {
					r.owner.Cancel(now, j.ID) // one transaction may write both, and its events come in any order
				}
			}
		}
	})
}

func (r *runner) decodeJob(kv kvstore.KV) (workflow.Job, bool) {
	j, err := workflow.Decode[workflow.Job](kv.Value)
	if err != nil || j.Check() != nil {
		r.log.WithField("key", kv.Key).Error("ignoring job record that can't be decoded or has invalid values")
		return j, false
	}
	return j, true
}

// parseJobKey returns the job id in a key under the shard's job prefix, and whether it is the key of a cancellation rather than
// of the job itself.
func parseJobKey(key string, shard int) (string, bool) {
	return strings.CutSuffix(strings.TrimPrefix(key, shardJobsPrefix(shard)), cancelSuffix)
}
