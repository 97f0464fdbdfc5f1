package entry

import (
	"errors"
	"sync"

	"github.com/laburnumridge/laburnumridge/internal/jobrecord"
	"github.com/laburnumridge/laburnumridge/internal/kvstore"
	"github.com/laburnumridge/laburnumridge/internal/shard"
)

// failedWrites collects the writes of a commit that the store refuses for good.
type failedWrites struct {
	list []shard.FailedWrite
	mu   sync.Mutex
}

func (f *failedWrites) add(job string, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.list = append(f.list, shard.FailedWrite{
		Error: err, IsGone: errors.Is(err, jobrecord.ErrJobGone), IsTooLarge: errors.Is(err, kvstore.ErrTooLarge), Job: job,
	})
}

// writeOrSplit writes a transaction of records. If the store refuses it for good, each job's records are written by themselves, so that one
// job's record does not hold up those of others; failed gets the jobs whose records are refused then. It returns false if the runner stops
// first.
func (r *runner) writeOrSplit(t kvstore.Txn, writes []shard.JobWrite, failed *failedWrites) bool {
	written, err := r.writeRecords(t, writes)
	switch {
	case err == nil:
		return written
	case len(writes) == 1:
		recordsFailed.Add(1)
		failed.add(writes[0].Job, err)
		return true
	}
	r.log.WithError(err).WithField("jobs", len(writes)).Warn("store refused records of several jobs; writing each by itself")
	for i := range writes {
		_, t := r.buildTxn(writes[i : i+1])
		if !r.writeOrSplit(t, writes[i:i+1], failed) {
			return false
		}
	}
	return true
}

func putBytes(t kvstore.Txn) int {
	n := 0
	for _, p := range t.Puts {
		n += len(p.Value)
	}
	return n
}
