package host

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/laburnumridge/laburnumridge/internal/explain"
	"github.com/laburnumridge/laburnumridge/internal/fleet"
	"github.com/laburnumridge/laburnumridge/internal/job"
	"github.com/laburnumridge/laburnumridge/internal/kvstore"
	"github.com/laburnumridge/laburnumridge/internal/note"
	"github.com/laburnumridge/laburnumridge/internal/retry"
)

const scheduleInterval = time.Second

// runSchedule submits the due runs of scheduled work until ctx ends. For each work, the owner of one shard does so.
func (h *Host) runSchedule(ctx context.Context) {
	lastDue := map[string]time.Time{}
	for ctx.Err() == nil {
		c, _ := h.notes.current()
		for _, item := range c.Items() {
			if item.Work.Kind == note.KindBatch && item.Work.Every.Duration > 0 && h.ownsSchedule(item.Work.Name) {
				h.submitDue(ctx, item, lastDue)
			}
		}
		retry.Sleep(ctx, scheduleInterval)
	}
}

// ownsSchedule reports whether this host owns the shard whose owner submits the runs of a scheduled workload.
func (h *Host) ownsSchedule(work string) bool {
	zones := h.hosts.snapshot().Zones()
	if len(zones) == 0 {
		return false
	}
	_, ok := h.shards.get(fleet.ShardID{Zone: zones[fleet.Partition(work, len(zones))]})
	return ok
}

func (h *Host) submitDue(ctx context.Context, item note.Item, lastDue map[string]time.Time) {
	work := item.Work.Name
	store := h.storeFor(kvstore.ClassLedger)
	now := time.Now().UTC()
	if lastDue[work].IsZero() {
		kv, err := store.Get(ctx, schedulePrefix+work)
		if err != nil {
			return
		}
		// A work without a record has just come into force: its first run is the next one that is due.
		lastDue[work] = now
		if kv.ModRevision != 0 {
			var at time.Time
			if json.Unmarshal(kv.Value, &at) == nil {
				lastDue[work] = at
			}
		} else if err := h.recordDue(ctx, work, now); err != nil {
			delete(lastDue, work)
			return
		}
	}
	for _, run := range job.DueRuns(item.Work, lastDue[work], now) {
		shard, err := h.chooseShard("", item.Work)
		if err != nil {
			return
		}
		rec, err := h.jobs.create(ctx, jobRecord{
			ID: run.ID, Revision: item.ChangedRevision, Shard: shard, SubmittedAt: now, Tasks: 1, Work: work,
		})
		if err != nil && !errors.Is(err, errJobExists) {
			return // retried in the next round; the id keeps the run from being created twice
		}
		lastDue[work] = run.Due
		if err := h.recordDue(ctx, work, run.Due); err != nil {
			h.log.WithError(err).WithField("work", work).Warn("failed to record the due time of a submitted run; the next run's replaces it")
		}
		h.decisions.Add(explain.Decision{
			Decision: "submit_scheduled", Job: rec.ID, Note: item.NoteID, Reason: "due every " + item.Work.Every.String(),
			Revision: item.ChangedRevision, Work: work, Zone: shard.Zone,
		})
	}
}

func (h *Host) recordDue(ctx context.Context, work string, at time.Time) error {
	store := h.storeFor(kvstore.ClassLedger)
	kv, err := store.Get(ctx, schedulePrefix+work)
	if err != nil {
		return err
	}
	value, err := json.Marshal(at)
	if err != nil {
		return err
	}
	_, err = store.CompareAndSwap(ctx, schedulePrefix+work, kv.ModRevision, value, 0)
	return err
}
