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

// weightsPause is how often an owner records what it has learned of images, and reads what others have. A pair is known
// after about a second of samples.
const weightsPause = 2 * time.Second

// shareWeights keeps what is learned of images on record, for the next owner and for the owners of other shards.
func (r *runner) shareWeights() {
	var recorded []byte
	for first := true; r.ctx.Err() == nil; first = false {
		if first || r.host.directory.shards() > 1 {
			r.adoptWeights()
		}
		retry.Sleep(r.ctx, weightsPause)
		r.mu.Lock()
		var known []interference.PairWeight
		if r.mayAct(r.host.now()) {
			known = r.owner.Learned(r.host.now())
		}
		t := kvstore.Txn{Guards: []kvstore.Guard{{Key: ownerKey(r.shard), Revision: r.revision}}}
		r.mu.Unlock()
		data := workflow.Encode(known)
		if len(known) == 0 || bytes.Equal(data, recorded) {
			continue
		}
		t.Puts = []kvstore.Put{{Key: weightsKey(r.shard), Value: data}}
		ctx, cancel := context.WithTimeout(r.ctx, storeCall)
		_, err := r.host.platform.Store.Txn(ctx, t)
		cancel()
		countWrite(err)
		if err != nil {
			r.log.WithError(err).WithFields(logrus.Fields{"decision": "weights_retry", "pairs": len(known)}).
				Debug("learned weights are not recorded yet")
			continue
		}
		recorded = data
	}
}

// adoptWeights reads what the owners of all shards have recorded.
func (r *runner) adoptWeights() {
	ctx, cancel := context.WithTimeout(r.ctx, storeCall)
	defer cancel()
	kvs, _, err := r.host.platform.Store.Range(ctx, weightsPrefix)
	if err != nil {
		r.log.WithError(err).WithField("decision", "weights_unread").Debug("learned weights can't be read; the next round tries again")
		return
	}
	for _, kv := range kvs {
		known, err := workflow.Decode[[]interference.PairWeight](kv.Value)
		if err != nil {
			r.log.WithError(err).WithField("key", kv.Key).Error("learned weights can't be read")
			continue
		}
		adopted := 0
		r.mu.Lock()
		adopted = r.owner.Adopt(r.host.now(), known)
		r.mu.Unlock()
		if adopted > 0 {
			r.log.WithFields(logrus.Fields{
				"decision": "adopt_weights", "from_shard": strings.TrimPrefix(kv.Key, weightsPrefix), "pairs": adopted, "revision": kv.ModRevision,
			}).Info("weights of images are taken over from another owner")
		}
	}
}
