package entry_test

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"github.com/laburnumridge/laburnumridge/internal/entry"
)

// handoverLog is a hook that notes when hosts decide to hand a shard over.
type handoverLog struct {
	// decidedAt holds the time of the last decision by owner key.
	decidedAt map[string]time.Time
	mu        sync.Mutex
}

func (*handoverLog) Levels() []logrus.Level { return logrus.AllLevels }

func (l *handoverLog) Fire(e *logrus.Entry) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if e.Message == "handing the shard over" {
		l.decidedAt[fmt.Sprint(entry.OwnerPrefix, e.Data["shard"])] = e.Time
	}
	return nil
}

// took returns how long each handover took from the decision until the owner's key was deleted.
func (l *handoverLog) took(s *memoryStore) []time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []time.Duration
	for _, e := range s.events {
		if e.Deleted && strings.HasPrefix(e.KV.Key, entry.OwnerPrefix) {
			out = append(out, e.at.Sub(l.decidedAt[e.KV.Key]))
		}
	}
	return out
}

// shortJobs returns the number of recorded jobs that are not long-running and have no final state.
func (f *simulatedFleet) shortJobs() int {
	kvs, _ := f.store.readRange(entry.JobPrefix)
	n := 0
	for _, kv := range kvs {
		if !strings.Contains(kv.Key, "/f") {
			n++
		}
	}
	return n
}

// Guards against an owner that waits in vain for the end of its changes before each handover, since it always has changes to
// record, and against jobs that are lost because their changes were not recorded.
func TestOwnerWithBacklogHandsShardsOverInTime(t *testing.T) {
	t.Parallel()
	for seed := range uint64(3) {
		decisions := &handoverLog{decidedAt: map[string]time.Time{}}
		runFleet(t, seed, 3, func(f *simulatedFleet) {
			f.callCost, f.logHook, f.storeLatency = 100*time.Microsecond, decisions, 150*time.Millisecond
			f.startMixed(1, 0)
			time.Sleep(5 * time.Second)
			f.startMixed(3, 0)
			f.checkCalm("two hosts have started")
			took := decisions.took(f.store)
			t.Logf("seed %d: given up after %s", seed, took)
			assert.Check(t, len(took) == 2, "handovers: %s", took)
			for _, d := range took {
				// 0.5 s for the commit in flight, a call to the store, and two scheduling rounds.
				assert.Check(t, d < 750*time.Millisecond, "seed %d: a shard was given up %s after the decision", seed, d)
			}
			f.stopLoad()
			for range 200 {
				if f.shortJobs() == 0 {
					break
				}
				time.Sleep(100 * time.Millisecond)
			}
			assert.Check(t, f.shortJobs() == 0, "%d jobs are not completed", f.shortJobs())
		})
	}
}

// Guards against an owner that gives up each attempt to delete its key just before the attempt gets processor time, so that the
// shard stays without work until the queue of the owner's calls happens to be short.
func TestOverloadedOwnerDeletesItsKeyInTime(t *testing.T) {
	t.Parallel()
	for seed := range uint64(5) {
		decisions := &handoverLog{decidedAt: map[string]time.Time{}}
		runFleet(t, seed, 5, func(f *simulatedFleet) {
			f.logHook = decisions
			f.startMixed(1, 0)
			time.Sleep(5 * time.Second)
			f.startMixed(2, 0)
			time.Sleep(contactTime + restartWindow)
			took := decisions.took(f.store)
			t.Logf("seed %d: given up after %s", seed, took)
			assert.Check(t, len(took) > 0, "seed %d: no shard was given up", seed)
			for _, d := range took {
				// 0.5 s for the commit in flight, and the time for which a call waits for the processor.
				assert.Check(t, d < 2*time.Second, "seed %d: a shard was given up %s after the decision", seed, d)
			}
		})
	}
}
