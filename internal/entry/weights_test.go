package entry_test

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"github.com/laburnumridge/laburnumridge/internal/interference"
	"github.com/laburnumridge/laburnumridge/internal/workflow"
)

// adoptionHook records when an owner adopts weights, by the shard whose record has them.
type adoptionHook struct{ times sync.Map }

func (h *adoptionHook) Levels() []logrus.Level { return logrus.AllLevels }

func (h *adoptionHook) Fire(e *logrus.Entry) error {
	if e.Data["decision"] == "adopt_weights" {
		h.times.Store(e.Data["from_shard"], time.Now())
	}
	return nil
}

// at returns when weights of a shard were adopted last; zero if they were not.
func (h *adoptionHook) at(shard string) time.Time {
	at, _ := h.times.Load(shard)
	t, _ := at.(time.Time)
	return t
}

// Failure: a takeover of a shard with recorded weights. Guards against owners that learn again what the predecessor and the owners of
// other shards have recorded, before the takeover and after it.
func TestRecordedWeightsAreAdoptedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newSimulatedFleet(t, 1, 1, 2)
		adopted := &adoptionHook{}
		f.logHook = adopted
		record := func(shard, image string) time.Time {
			weights := []interference.PairWeight{{BestEffort: image, Serving: "s", Mean: 2, Variance: 0.1}}
			f.store.put("laburnumridge/weights/"+shard, workflow.Encode(weights))
			return time.Now()
		}
		record("0", "own")
		record("7", "other")
		f.start("strong-0", strongHost)
		time.Sleep(10 * time.Second)
		assert.Check(t, !adopted.at("0").IsZero(), "the predecessor's weights")
		assert.Check(t, !adopted.at("7").IsZero(), "the weights of another shard")
		changedAt := record("8", "new")
		time.Sleep(500 * time.Millisecond)
		assert.Check(t, !adopted.at("8").IsZero() && adopted.at("8").Sub(changedAt) <= 100*time.Millisecond, "a new record")
		f.kill(f.names()...)
		time.Sleep(contactTime)
	})
}
