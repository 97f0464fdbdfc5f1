package entry

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/laburnumridge/laburnumridge/internal/kvstore"
	"github.com/laburnumridge/laburnumridge/internal/retry"
	"github.com/laburnumridge/laburnumridge/internal/workflow"
)

const (
	// answeredInterval is how often the mark of a shard is written by itself while there is something new to say, and answeredCommitInterval how
	// often it goes along with commits. What is younger counts as unknown if the owner is killed.
	answeredInterval       = 500 * time.Millisecond
	answeredCommitInterval = 100 * time.Millisecond
	// maxAnsweredMark limits the jobs and runs that a mark names. An owner that has taken a large shard writes none until it has heard of most
	// runs.
	maxAnsweredMark = 4096
)

// recordAnswers writes the mark of the shard while no commit takes it along. It makes one attempt each time: the mark is worth no retries while the
// store has no time for records.
func (r *runner) recordAnswers() {
	for r.ctx.Err() == nil {
		retry.Sleep(r.ctx, answeredInterval/5)
		mark := r.dueAnsweredMark(answeredInterval)
		if len(mark) == 0 {
			continue
		}
		ctx, cancel := withTimeout(r.ctx, storeCallTimeout)
		r.mu.Lock()
		t := kvstore.Txn{Guards: []kvstore.Guard{{Key: ownerKey(r.shard), Revision: r.ownerKeyRevision}}, Puts: mark}
		r.mu.Unlock()
		_, err := r.host.platform.Store.Txn(ctx, t)
		cancel()
		countWrite(err)
		if err != nil {
			r.log.WithError(err).WithField("decision", "answered_mark_unwritten").Warn("failed to record which starts have responses; it is repeated")
			r.updateOwner(func(now time.Time) { r.owner.MarkAnew(now) })
		}
	}
}

// dueAnsweredMark returns the write of the shard's mark if there have been answers for a time that the last one does not tell of.
func (r *runner) dueAnsweredMark(interval time.Duration) []kvstore.Put {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.host.now()
	if age, ok := r.owner.UnmarkedFor(now); !ok || age < interval || !r.mayAct(now) || r.hasSkippedRecord {
		return nil
	}
	mark := r.owner.AnsweredMark()
	if mark.Size() > maxAnsweredMark {
		return nil
	}
	mark.Epoch, mark.Through = r.epochKeyRevision, r.writtenThrough
	return []kvstore.Put{{Key: answeredKey(r.shard), Value: workflow.Encode(mark)}}
}

// applyAnsweredMark adds the answers to the progress records that the mark of the last owner covers. A mark of an earlier owner counts for nothing: an
// owner of an earlier build, which sends attempts again without a record of it, may have been between.
func (r *runner) applyAnsweredMark(mark workflow.AnsweredMark, recorded map[string]workflow.Progress) {
	if r.previousEpoch == 0 || mark.Epoch != r.previousEpoch {
		return
	}
	covered := 0
	r.locked(func() {
		for id, p := range recorded {
			if revision, ok := r.revisions.Progress(id); ok && mark.Covers(id, revision) {
				recorded[id] = p.WithAnswers(id, mark)
				covered++
			}
		}
	})
	r.log.WithFields(logrus.Fields{
		"covered": covered, "decision": "answered_mark", "except": len(mark.Except), "open": len(mark.Open), "records": len(recorded), "through": mark.Through,
	}).Info("the starts of covered records have responses")
}

// readAnsweredMark returns the mark of the shard, or one that covers nothing. It retries as all reads of the shard's records do.
func (r *runner) readAnsweredMark() workflow.AnsweredMark {
	for r.ctx.Err() == nil && r.host.platform.Store.Get != nil {
		ctx, cancel := context.WithTimeout(r.ctx, storeCallTimeout)
		kv, err := r.host.platform.Store.Get(ctx, answeredKey(r.shard))
		cancel()
		if err != nil {
			r.noteFailedRead()
			retry.Sleep(r.ctx, minWriteBackoff)
			continue
		}
		if mark, err := workflow.Decode[workflow.AnsweredMark](kv.Value); err == nil {
			return mark
		}
		break
	}
	return workflow.AnsweredMark{}
}
