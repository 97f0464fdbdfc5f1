package entry

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/laburnumridge/laburnumridge/internal/kvstore"
	"github.com/laburnumridge/laburnumridge/internal/retry"
	"github.com/laburnumridge/laburnumridge/internal/workflow"
)

const (
	// retentionInterval is how often an owner checks for expired states of ended jobs.
	retentionInterval = 2 * time.Second
	// retentionMargin is added to the configured retention, since the clocks of callers and hosts differ.
	retentionMargin = 10 * time.Second
	// keptRecordRetention exceeds the delay of a call and the difference of the times of day of two hosts.
	keptRecordRetention = 30 * time.Second
)

// endedJob is a job whose final state is kept until its retention has passed.
type endedJob struct {
	endedAt time.Time
	id      string
	// revision is that of the job's location with the final state; 0 for records without a guard.
	revision int64
}

// deleteExpiredStates deletes the final states of jobs after their retention, and the late starts of ended jobs once these can't be carried
// out any more. States that an earlier owner recorded stay, since only the operator of the store can tell their age.
func (r *runner) deleteExpiredStates() {
	retention := r.host.settings.Platform.StatusRetention.Duration + retentionMargin
	for r.ctx.Err() == nil {
		retry.Sleep(r.ctx, retentionInterval)
		for {
			deleted := r.deleteExpired(&r.endedJobs, retention, locationKey)
			if len(deleted) == 0 {
				break
			}
			for _, e := range deleted {
				r.host.locations.remove(e.id)
			}
			r.log.WithFields(logrus.Fields{"decision": "forget", "jobs": len(deleted)}).Info("deleted expired states of ended jobs")
		}
		r.dropOpen(&r.keptRecords)
		r.deleteExpired(&r.keptRecords, keptRecordRetention, func(id string) string { return progressKey(r.shard, id) })
		r.dropOpen(&r.lateCancellations)
		for _, e := range r.deleteExpired(&r.lateCancellations, keptRecordRetention, func(id string) string { return cancelKey(r.shard, id) }) {
			r.locked(func() { delete(r.cancellations, e.id) })
		}
	}
}

// dropOpen removes from a list the jobs that the owner has.
func (r *runner) dropOpen(jobs *[]endedJob) {
	r.mu.Lock()
	defer r.mu.Unlock()
	*jobs = slices.DeleteFunc(*jobs, func(e endedJob) bool { return r.owner.IsOpen(e.id) })
}

// deleteExpired deletes the records of the first jobs of a list after a retention, as many as fit in one transaction, and removes the jobs from
// the list. It returns the jobs whose records are deleted; there may be more. Locations are guarded, as the job may be submitted again once its
// location is deleted. Late starts and cancellations need no guard: their job can't be submitted again for as long as a deletion may be late.
func (r *runner) deleteExpired(jobs *[]endedJob, retention time.Duration, key func(id string) string) []endedJob {
	r.mu.Lock()
	t, n := kvstore.Txn{Guards: []kvstore.Guard{{Key: ownerKey(r.shard), Revision: r.ownerKeyRevision}}}, 0
	for _, e := range *jobs {
		if time.Since(e.endedAt) < retention || t.Size() >= maxTxnEntries-1 {
			break
		}
		n++
		t.Deletes = append(t.Deletes, key(e.id))
		if e.revision != 0 {
			t.Guards = append(t.Guards, kvstore.Guard{Key: key(e.id), Revision: e.revision})
		}
	}
	allowed := r.mayAct(r.host.now())
	r.mu.Unlock()
	if len(t.Deletes) == 0 || !allowed {
		return nil
	}
	ctx, cancel := context.WithTimeout(r.ctx, storeCallTimeout)
	defer cancel()
	res, err := r.host.platform.Store.Txn(ctx, t)
	countWrite(err)
	if err != nil {
		r.log.WithError(err).WithFields(logrus.Fields{"decision": "forget_retry", "jobs": len(t.Deletes)}).
			Warn("failed to delete expired records of ended jobs; retrying in the next round")
		if errors.Is(err, kvstore.ErrConflict) {
			r.mu.Lock()
			defer r.mu.Unlock()
			*jobs = append(stillEnded((*jobs)[:n], res.Current, key), (*jobs)[n:]...)
		}
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	deleted := (*jobs)[:n]
	*jobs = (*jobs)[n:]
	return deleted
}

// stillEnded returns the ended jobs whose locations are still there, with the present revisions: an earlier attempt without a response may have
// deleted them, and the final commit may have been executed once more.
func stillEnded(jobs []endedJob, current []kvstore.KV, key func(id string) string) []endedJob {
	present := map[string]kvstore.KV{}
	for _, kv := range current {
		present[kv.Key] = kv
	}
	var out []endedJob
	for _, e := range jobs {
		kv, ok := present[key(e.id)]
		if location, err := workflow.Decode[workflow.JobLocation](kv.Value); ok && (err != nil || !location.State.IsFinal()) {
			continue
		}
		if ok {
			e.revision = kv.ModRevision
		}
		out = append(out, e)
	}
	return out
}

// restoreEnded passes the records of ended jobs to the owner. The caller holds r.mu.
func (r *runner) restoreEnded(now time.Time, recorded map[string]workflow.Progress, open map[string]bool) {
	for id, p := range recorded {
		if !open[id] && len(p.LateStarts) > 0 {
			r.owner.RestoreEnded(now, id, p)
			r.keptRecords = append(r.keptRecords, endedJob{endedAt: time.Now(), id: id})
		}
	}
}
