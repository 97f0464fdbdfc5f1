package entry

import (
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"github.com/laburnumridge/laburnumridge/internal/kvstore"
	"github.com/laburnumridge/laburnumridge/internal/retry"
	"github.com/laburnumridge/laburnumridge/internal/workflow"
)

// maxLocationReads is the number of locations that an owner reads at the same time while it loads its shard.
const maxLocationReads = 16

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
				r.revisions.NoteProgress(id, kv.ModRevision)
				p, err := workflow.Decode[workflow.Progress](kv.Value)
				if err != nil {
					r.hasSkippedRecord = true
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
	var ended map[string]workflow.State
	if recorded != nil {
		ended = r.readEnded(kvs)
	}
	r.updateOwner(func(now time.Time) {
		for _, kv := range kvs {
			if id, cancelled := parseJobKey(kv.Key, r.shard); cancelled {
				r.cancellations[id] = true
			}
		}
		if !r.loaded && r.inherited != nil {
			r.owner.Inherit(*r.inherited)
		}
		jobs, open := 0, map[string]bool{}
		for _, kv := range kvs {
			id, cancelled := parseJobKey(kv.Key, r.shard)
			if _, _, ok := parseReturnedKey(id); ok || cancelled {
				continue
			}
			j, shared, ok := r.decodeJob(kv)
			if !ok {
				continue
			}
			jobs, open[j.ID] = jobs+1, true
			r.revisions.NoteJob(j.ID, kv.ModRevision)
			switch {
			case r.loaded:
				r.addOrApply(now, j, shared)
			case shared != nil:
				r.owner.RestoreShared(now, *shared, recorded[j.ID], r.cancellations[j.ID])
			default:
				r.owner.Restore(now, j, recorded[j.ID], r.cancellations[j.ID])
			}
			if state, ok := ended[j.ID]; ok {
				r.owner.End(now, j.ID, state)
			}
		}
		r.restoreEnded(now, recorded, open)
		for _, kv := range kvs {
			r.takeBack(now, kv)
		}
		for id := range r.cancellations {
			r.owner.Cancel(now, id)
			r.noteLateCancellation(id)
		}
		if !r.loaded {
			r.loaded, r.changedAt = true, now
			r.owner.MarkAnew(now.Add(-answeredInterval)) // at once: the next owner does not use the mark of the last one
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
				r.noteLateCancellation(id)
				continue
			}
			if r.takeBack(now, ev.KV) {
				continue
			}
			if j, shared, ok := r.decodeJob(ev.KV); ok {
				r.revisions.NoteJob(j.ID, ev.KV.ModRevision)
				r.addOrApply(now, j, shared)
				if r.cancellations[j.ID] {
					r.owner.Cancel(now, j.ID) // one transaction may write both, and its events come in any order
				}
			}
		}
	})
}

// readEnded returns the final states of jobs that have ended although they have a record. Owners of earlier builds could write the record of a
// job once more after its end, but only a record other than that of the submission.
func (r *runner) readEnded(kvs []kvstore.KV) map[string]workflow.State {
	out := map[string]workflow.State{}
	var mu sync.Mutex
	var reads errgroup.Group
	reads.SetLimit(maxLocationReads)
	for _, kv := range kvs {
		id, isCancellation := parseJobKey(kv.Key, r.shard)
		if _, _, isReturned := parseReturnedKey(id); isCancellation || isReturned {
			continue
		}
		_, isCompact := workflow.DecodeCompactJob(kv.Value)
		if _, isShared := workflow.DecodeSharedJob(kv.Value); !isCompact && !isShared {
			continue
		}
		reads.Go(func() error {
			if state, isEnded := r.readFinalState(id); isEnded {
				mu.Lock()
				defer mu.Unlock()
				out[id] = state
			}
			return nil
		})
	}
	_ = reads.Wait() // no read returns an error
	return out
}

// readFinalState returns the final state of a job. A job without a location has ended, and its state has expired. It retries until it succeeds or
// the runner stops.
func (r *runner) readFinalState(id string) (workflow.State, bool) {
	for r.ctx.Err() == nil {
		ctx, cancel := withTimeout(r.ctx, storeCallTimeout)
		kv, err := r.host.platform.Store.Get(ctx, locationKey(id))
		cancel()
		if err != nil {
			r.noteFailedRead()
			retry.Sleep(r.ctx, watchRetryDelay)
			continue
		}
		if kv.ModRevision == 0 {
			return workflow.StateCancelled, true
		}
		location, err := workflow.Decode[workflow.JobLocation](kv.Value)
		return location.State, err == nil && location.State.IsFinal()
	}
	return "", false
}

// noteLateCancellation lists a cancellation for deletion if the owner does not have the job: it was recorded while the final state of the job was
// on its way to the store. The job itself may follow, as one transaction may write both.
func (r *runner) noteLateCancellation(id string) {
	if !r.owner.IsOpen(id) {
		r.lateCancellations = append(r.lateCancellations, endedJob{endedAt: time.Now(), id: id})
	}
}

// addOrApply passes a job to the owner, or the present record of a shared one.
func (r *runner) addOrApply(now time.Time, j workflow.Job, shared *workflow.SharedJob) {
	if shared != nil {
		r.owner.ApplyShared(now, *shared)
	} else {
		r.owner.Add(now, j)
	}
}

// decodeJob returns the job of a record, and the record itself if the job is shared. The caller holds r.mu.
func (r *runner) decodeJob(kv kvstore.KV) (workflow.Job, *workflow.SharedJob, bool) {
	j, err := workflow.Decode[workflow.Job](kv.Value)
	if err == nil && j.Check() == nil {
		return j, nil, true
	}
	if j, ok := workflow.DecodeCompactJob(kv.Value); ok && j.Check() == nil {
		return j, nil, true
	}
	if shared, ok := workflow.DecodeSharedJob(kv.Value); ok && shared.Job.Check() == nil {
		return shared.Job, &shared, true
	}
	r.hasSkippedRecord = true
	r.log.WithField("key", kv.Key).Error("ignoring job record that can't be decoded or has invalid values")
	return j, nil, false
}

// takeBack passes the tasks that a guest returned to the owner. It returns false if the key is that of another record.
func (r *runner) takeBack(now time.Time, kv kvstore.KV) bool {
	id, _ := parseJobKey(kv.Key, r.shard)
	job, guest, ok := parseReturnedKey(id)
	if !ok {
		return false
	}
	tasks, err := workflow.Decode[[]workflow.HeldTask](kv.Value)
	if err != nil {
		r.log.WithError(err).WithField("key", kv.Key).Error("ignoring malformed list of returned tasks")
		return true
	}
	r.owner.TakeBack(now, job, guest, tasks)
	return true
}

// parseJobKey returns the job id in a key under the shard's job prefix, and whether it is the key of a cancellation rather than
// of the job itself.
func parseJobKey(key string, shard int) (string, bool) {
	return strings.CutSuffix(strings.TrimPrefix(key, shardJobsPrefix(shard)), cancelSuffix)
}

// parseReturnedKey splits what follows the shard's job prefix in the key of a list of returned tasks. ok is false for other keys.
func parseReturnedKey(rest string) (id string, guest int, ok bool) {
	id, number, ok := strings.Cut(rest, returnedInfix)
	if !ok {
		return "", 0, false
	}
	guest, err := strconv.Atoi(number)
	return id, guest, err == nil
}
