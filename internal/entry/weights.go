package entry

import (
	"bytes"
	"context"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/laburnumridge/laburnumridge/internal/interference"
	"github.com/laburnumridge/laburnumridge/internal/kvstore"
	"github.com/laburnumridge/laburnumridge/internal/retry"
	"github.com/laburnumridge/laburnumridge/internal/workflow"
)

// weightsInterval is how often an owner writes its learned interference weights and reads those of other owners. The weight
// of a pair of images can be estimated after about a second of samples.
const weightsInterval = 2 * time.Second

// syncWeights writes the learned interference weights to the store, for the shard's next owner and for the owners of other
// shards, and adopts theirs.
func (r *runner) syncWeights() {
	var lastWritten []byte
	for first := true; r.ctx.Err() == nil; first = false {
		if first || r.host.directory.shardCount() > 1 {
			r.adoptRecordedWeights()
		}
		retry.Sleep(r.ctx, weightsInterval)
		r.mu.Lock()
		var learned []interference.PairWeight
		if r.mayAct(r.host.now()) {
			learned = r.owner.LearnedWeights(r.host.now())
		}
		t := kvstore.Txn{Guards: []kvstore.Guard{{Key: ownerKey(r.shard), Revision: r.ownerKeyRevision}}}
		r.mu.Unlock()
		data := workflow.Encode(learned)
		if len(learned) == 0 || bytes.Equal(data, lastWritten) {
			continue
		}
		t.Puts = []kvstore.Put{{Key: weightsKey(r.shard), Value: data}}
		ctx, cancel := context.WithTimeout(r.ctx, storeCallTimeout)
		_, err := r.host.platform.Store.Txn(ctx, t)
		cancel()
		countWrite(err)
		if err != nil {
			r.log.WithError(err).WithFields(logrus.Fields{"decision": "weights_retry", "pairs": len(learned)}).
				Debug("failed to write interference weights; retrying in the next round")
			continue
		}
		lastWritten = data
	}
}

// adoptRecordedWeights reads the interference weights recorded for all shards. The owner of this shard adopts those that are
// more certain than its own.
func (r *runner) adoptRecordedWeights() {
	ctx, cancel := context.WithTimeout(r.ctx, storeCallTimeout)
	defer cancel()
	kvs, _, err := r.host.platform.Store.Range(ctx, weightsPrefix)
	if err != nil {
		r.log.WithError(err).WithField("decision", "weights_unread").
			Debug("failed to read interference weights; retrying in the next round")
		return
	}
	for _, kv := range kvs {
		learned, err := workflow.Decode[[]interference.PairWeight](kv.Value)
		if err != nil {
			r.log.WithError(err).WithField("key", kv.Key).Error("ignoring malformed interference weights")
			continue
		}
		adopted := 0
		r.mu.Lock()
		adopted = r.owner.AdoptWeights(r.host.now(), learned)
		r.mu.Unlock()
		if adopted > 0 {
			r.log.WithFields(logrus.Fields{
				"decision": "adopt_weights", "from_shard": strings.TrimPrefix(kv.Key, weightsPrefix), "pairs": adopted,
				"revision": kv.ModRevision,
			}).Info("adopted interference weights from the store")
		}
	}
}
