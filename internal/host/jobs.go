package host

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"github.com/laburnumridge/laburnumridge/internal/fleet"
	"github.com/laburnumridge/laburnumridge/internal/kvstore"
	"github.com/laburnumridge/laburnumridge/internal/retry"
)

const (
	jobsPrefix     = "jobs/"
	schedulePrefix = "schedules/"
	// maxTasks limits the size of a job, so that accepting it fits in one ledger entry.
	maxTasks = 10_000
)

// Errors of job intake.
var (
	errJobInvalid  = eris.New("invalid job")
	errJobNotFound = eris.New("job not found")
	errJobExists   = eris.New("job id was used for another job")
)

// jobRecord is the intake record of a job. The job is accepted once the record is stored.
type jobRecord struct {
	Cancelled bool   `json:"cancelled,omitempty"`
	ID        string `json:"id"`
	// Revision is the catalogue revision of the host that accepted the job.
	Revision    int64         `json:"revision"`
	Shard       fleet.ShardID `json:"shard"`
	SubmittedAt time.Time     `json:"submitted_at"`
	Tasks       int           `json:"tasks"`
	Work        string        `json:"work"`
}

// jobs holds the intake records. Each host follows all of them, since it may become the owner of any shard.
type jobs struct {
	log          *logrus.Entry
	mu           sync.Mutex
	modRevisions map[string]int64
	records      map[string]jobRecord
	// removals holds the ids of jobs whose records are to be deleted.
	removals chan string
	store    kvstore.Store
}

func newJobs(store kvstore.Store, log *logrus.Entry) *jobs {
	return &jobs{
		log: log, modRevisions: map[string]int64{}, records: map[string]jobRecord{},
		removals: make(chan string, 1024), store: store,
	}
}

// create stores the intake record of a job. If a record with this id, work and number of tasks exists, it returns
// that record.
func (j *jobs) create(ctx context.Context, rec jobRecord) (jobRecord, error) {
	value, err := json.Marshal(rec)
	if err != nil {
		return rec, eris.Wrapf(err, "job %s", rec.ID)
	}
	_, err = j.store.CompareAndSwap(ctx, jobsPrefix+rec.ID, 0, value, 0)
	if err == nil {
		return rec, nil
	}
	if !errors.Is(err, kvstore.ErrConflict) && !errors.Is(err, kvstore.ErrUnknownOutcome) {
		return rec, err
	}
	existing, _, readErr := j.read(ctx, rec.ID)
	switch {
	case errors.Is(readErr, errJobNotFound):
		return rec, err
	case readErr != nil:
		return rec, eris.Wrapf(kvstore.ErrUnknownOutcome, "job %s: %s", rec.ID, readErr)
	case existing.Work != rec.Work || existing.Tasks != rec.Tasks:
		return existing, eris.Wrapf(errJobExists, "%s is %d tasks of %s", rec.ID, existing.Tasks, existing.Work)
	}
	return existing, nil
}

// cancel marks a job's record as cancelled; the owner of its shard then withdraws the job.
func (j *jobs) cancel(ctx context.Context, id string) (jobRecord, error) {
	for {
		rec, mod, err := j.read(ctx, id)
		if err != nil || rec.Cancelled {
			return rec, err
		}
		rec.Cancelled = true
		value, err := json.Marshal(rec)
		if err != nil {
			return rec, eris.Wrapf(err, "job %s", id)
		}
		_, err = j.store.CompareAndSwap(ctx, jobsPrefix+id, mod, value, 0)
		if !errors.Is(err, kvstore.ErrConflict) && !errors.Is(err, kvstore.ErrUnknownOutcome) {
			return rec, err
		}
		retry.Sleep(ctx, jitter(50*time.Millisecond))
		if ctx.Err() != nil {
			return rec, eris.Wrapf(kvstore.ErrUnknownOutcome, "job %s", id)
		}
	}
}

func (j *jobs) read(ctx context.Context, id string) (jobRecord, int64, error) {
	kv, err := j.store.Get(ctx, jobsPrefix+id)
	if err != nil {
		return jobRecord{}, 0, err
	}
	if kv.ModRevision == 0 {
		return jobRecord{}, 0, eris.Wrap(errJobNotFound, id)
	}
	var rec jobRecord
	err = json.Unmarshal(kv.Value, &rec)
	return rec, kv.ModRevision, eris.Wrapf(err, "job %s", id)
}

// cached returns a job's record as last seen by the watch.
func (j *jobs) cached(id string) (jobRecord, bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	rec, ok := j.records[id]
	return rec, ok
}

// ofShard returns the records of a shard in order of submission.
func (j *jobs) ofShard(id fleet.ShardID) []jobRecord {
	j.mu.Lock()
	defer j.mu.Unlock()
	var out []jobRecord
	for _, rec := range j.records {
		if rec.Shard == id {
			out = append(out, rec)
		}
	}
	slices.SortFunc(out, func(a, b jobRecord) int {
		if c := a.SubmittedAt.Compare(b.SubmittedAt); c != 0 {
			return c
		}
		return strings.Compare(a.ID, b.ID)
	})
	return out
}

// remove requests the deletion of a record. The shard's owner requests it again while the record exists.
func (j *jobs) remove(id string) {
	select {
	case j.removals <- id:
	default:
	}
}

func (j *jobs) run(ctx context.Context) {
	go j.runRemovals(ctx)
	watchPrefix(ctx, j.store, jobsPrefix, j.log, func(kvs map[string]kvstore.KV) {
		records, mods := make(map[string]jobRecord, len(kvs)), make(map[string]int64, len(kvs))
		for key, kv := range kvs {
			var rec jobRecord
			if err := json.Unmarshal(kv.Value, &rec); err != nil {
				j.log.WithField("key", key).WithError(err).Warn("skipped a malformed job record")
				continue
			}
			records[rec.ID], mods[rec.ID] = rec, kv.ModRevision
		}
		j.mu.Lock()
		defer j.mu.Unlock()
		j.records, j.modRevisions = records, mods
	})
}

func (j *jobs) runRemovals(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case id := <-j.removals:
			j.mu.Lock()
			mod := j.modRevisions[id]
			j.mu.Unlock()
			if mod == 0 {
				continue
			}
			if _, err := j.store.CompareAndSwap(ctx, jobsPrefix+id, mod, nil, 0); err != nil {
				j.log.WithError(err).WithField("job", id).Debug("failed to delete a job record; the shard's owner requests the deletion again")
			}
		}
	}
}
