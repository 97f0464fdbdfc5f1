package shard_test

import (
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"github.com/laburnumridge/laburnumridge/internal/shard"
	"github.com/laburnumridge/laburnumridge/internal/workflow"
)

// panickingHook panics when a decision is logged.
type panickingHook struct{ decision string }

func (panickingHook) Levels() []logrus.Level { return logrus.AllLevels }

func (h panickingHook) Fire(e *logrus.Entry) error {
	if e.Data["decision"] == h.decision {
		panic("unexpected state")
	}
	return nil
}

// Guards against an owner that panics, and leaves its whole shard, because of a decision that only makes placements better: the tasks are placed
// without it.
func TestPanicInLocalWaitCostsNoPlacement(t *testing.T) {
	c := newLocalHarness(t, 4, 2)
	var contained []string
	shard.WithPanicObserver(func(decision string, _ any) { contained = append(contained, decision) })(c.owner)
	c.fillRack(twoCores, 800*time.Millisecond)
	c.log.AddHook(panickingHook{"local_wait"})
	c.add(workflow.Job{ID: localJob, Queue: "q", Steps: inRack(twoCores, "r", 6)})
	c.run(150 * time.Millisecond)
	all, remote := c.startsOf(localJob)
	assert.Equal(t, all, 6)
	assert.Equal(t, remote, 6)
	assert.DeepEqual(t, contained, []string{"local_wait"})
}
