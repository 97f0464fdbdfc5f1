package entry

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/laburnumridge/laburnumridge/internal/kvstore"
	"github.com/laburnumridge/laburnumridge/internal/retry"
)

const (
	// retentionPause is how often an owner looks for states that need not be kept any longer.
	retentionPause = 2 * time.Second
	// retentionSlack is added to the time for which callers may ask, since their clocks and ours differ.
	retentionSlack = 10 * time.Second
)

// endedJob is a job whose state is kept until it is too old.
type endedJob struct {
	at time.Time
	id string
}

// forgetEnded deletes the states of jobs that ended long ago. Those that an earlier owner recorded stay: only the
// store's operator can tell their age.
func (r *runner) forgetEnded() {
	keep := r.host.settings.Platform.StatusRetention.Duration + retentionSlack
	for r.ctx.Err() == nil {
		retry.Sleep(r.ctx, retentionPause)
		for r.forgetSome(keep) {
			continue
		}
	}
}

// forgetSome deletes one transaction's worth of states; it returns whether there may be more.
func (r *runner) forgetSome(keep time.Duration) bool {
	r.mu.Lock()
	t := kvstore.Txn{Guards: []kvstore.Guard{{Key: ownerKey(r.shard), Revision: r.revision}}}
	for _, e := range r.ended {
		if time.Since(e.at) < keep || t.Size() == txnEntries {
			break
		}
		t.Deletes = append(t.Deletes, placedKey(e.id))
	}
	allowed := r.mayAct(r.host.now())
	r.mu.Unlock()
	if len(t.Deletes) == 0 || !allowed {
		return false
	}
	ctx, cancel := context.WithTimeout(r.ctx, storeCall)
	defer cancel()
	_, err := r.host.platform.Store.Txn(ctx, t)
	countWrite(err)
	if err != nil {
		r.log.WithError(err).WithFields(logrus.Fields{"decision": "forget_retry", "jobs": len(t.Deletes)}).
			Warn("states of ended jobs are not deleted yet")
		return false
	}
	r.mu.Lock()
	forgotten := r.ended[:len(t.Deletes)]
	r.ended = r.ended[len(t.Deletes):]
	r.mu.Unlock()
	for _, e := range forgotten {
		r.host.known.remove(e.id)
	}
	r.log.WithFields(logrus.Fields{"decision": "forget", "jobs": len(forgotten)}).Info("states of ended jobs are deleted")
	return true
}
