package entry_test

import (
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/laburnumridge/laburnumridge/internal/kvstore"
	"github.com/laburnumridge/laburnumridge/internal/shard"
)

// Guards against a runner that leaves the acknowledgement of ends to the next round after a poll that had to leave it out. Here the
// worker's last answer is too old, since the end waited for its record for 2 s and the worker had nothing else to run.
func TestAcknowledgementFollowsAnswerAtOnce(t *testing.T) {
	runNotification(t, func(t *testing.T, f *simulatedFleet) {
		var isRefusing atomic.Bool
		f.store.txnFault = func(string, kvstore.Txn) txnFault { return txnFault{isRefused: isRefusing.Load()} }
		f.start("one", strongHost)
		time.Sleep(2 * time.Second)
		f.addJob(0, notifiedJob)
		time.Sleep(shortTaskDuration - 100*time.Millisecond)
		isRefusing.Store(true)
		time.Sleep(2 * time.Second)
		assert.Equal(t, f.endCount(), int64(notifiedTasks))
		isRefusing.Store(false)
		time.Sleep(2 * time.Second)
		for id, w := range f.workers {
			w.mu.Lock()
			polls, count := w.polls, w.endCount
			w.mu.Unlock()
			for i, p := range polls {
				if count > 0 && p.LastSeen == count {
					took := p.at.Sub(polls[i-1].at)
					assert.Check(t, took < shard.DefaultTiming().PollInterval, "%s: %s after the poll before", id, took)
					count = 0
				}
			}
			assert.Check(t, count == 0, "%s: the end is not acknowledged", id)
		}
	})
}
