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

// weightsInterval is how often an owner writes its learned interference weights. The weight of a pair of images can be estimated
// after about a second of samples.
const weightsInterval = 2 * time.Second

// recordWeights writes the learned interference weights to the store, for the shard's next owner and for the owners of other
// shards.
func (r *runner) recordWeights() {
	var lastWritten []byte
	for r.ctx.Err() == nil {
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

// followWeights adopts what the last owner of this shard and the owners of other shards have recorded, at the start and whenever a
// record changes. A pair that is known in one shard would otherwise be tried again in the others.
func (r *runner) followWeights() {
	watchPrefix(r.ctx, r.host.platform.Store, r.log, weightsPrefix, func(kvs []kvstore.KV, _ int64) {
		for _, kv := range kvs {
			r.adoptWeights(kv)
		}
	}, func(events []kvstore.Event) {
		for _, ev := range events {
			// This runner wrote the record of its own shard, if not an owner that it replaced.
			if !ev.Deleted && ev.KV.Key != weightsKey(r.shard) {
				r.adoptWeights(ev.KV)
			}
		}
	})
}

// adoptWeights passes on the weights of a record that are more certain than the owner's.
func (r *runner) adoptWeights(kv kvstore.KV) {
	learned, err := workflow.Decode[[]interference.PairWeight](kv.Value)
	if err != nil {
		r.log.WithError(err).WithField("key", kv.Key).Error("ignoring malformed interference weights")
		return
	}
	adopted := 0
	r.locked(func() {
		if kv.Key == weightsKey(r.shard) {
			adopted = r.owner.RestoreWeights(r.host.now(), learned)
		} else {
			adopted = r.owner.AdoptWeights(r.host.now(), learned)
		}
	})
	if adopted > 0 {
		r.log.WithFields(logrus.Fields{
			"decision": "adopt_weights", "from_shard": strings.TrimPrefix(kv.Key, weightsPrefix), "pairs": adopted,
			"revision": kv.ModRevision,
		}).Info("adopted interference weights from the store")
	}
}
