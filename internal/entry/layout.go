package entry

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/laburnumridge/laburnumridge/internal/election"
	"github.com/laburnumridge/laburnumridge/internal/kvstore"
	"github.com/laburnumridge/laburnumridge/internal/retry"
	"github.com/laburnumridge/laburnumridge/internal/shard"
	"github.com/laburnumridge/laburnumridge/internal/workflow"
)

// layoutDelay gives other hosts time to register, since the number of shards depends on the strength of all hosts.
const layoutDelay = time.Second

// createLayout decides the number of shards once the number of registered workers is stable. The first host to write the
// layout wins.
func (h *Host) createLayout(ctx context.Context) {
	if time.Since(h.started) < layoutDelay {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	before, err := h.countWorkers(ctx)
	if err != nil || before == 0 {
		return // no workers yet, or the store can't be read: the next election round retries
	}
	retry.Sleep(ctx, electionInterval)
	count, err := h.countWorkers(ctx)
	if err != nil || count != before {
		return // workers are still registering
	}
	l := layout{Shards: election.Shards(count, h.directory.strengths(h.self))}
	_, err = h.platform.Store.Txn(ctx, kvstore.Txn{
		Guards: []kvstore.Guard{{Key: layoutKey}}, Puts: []kvstore.Put{{Key: layoutKey, Value: workflow.Encode(l)}},
	})
	h.log.WithFields(logrus.Fields{"decision": "layout", "shards": l.Shards, "workers": count}).WithError(err).
		Info("tried to write the initial layout")
}

func (h *Host) countWorkers(ctx context.Context) (int, error) {
	kvs, _, err := h.platform.Store.Range(ctx, h.platform.WorkerPrefix)
	return len(kvs), err
}

// shardOf returns the shard of a worker. It returns false while the layout does not assign the worker's rack.
func (l layout) shardOf(w shard.Worker) (int, bool) {
	if l.Shards <= 1 {
		return 0, l.Shards == 1
	}
	n, ok := l.Racks[rackKey(w)]
	return n, ok
}

// rackKey returns the key of a worker's rack in the layout; workers without a rack are grouped by zone.
func rackKey(w shard.Worker) string {
	if w.Rack == "" {
		return w.Zone + "/"
	}
	return w.Rack
}

// addRacks assigns each rack that the layout does not have yet to the shard with the fewest racks.
func (h *Host) addRacks(ctx context.Context, workers []shard.Worker) {
	l, revision, _ := h.directory.currentLayout()
	next := layout{Racks: map[string]int{}, Shards: l.Shards}
	load := make([]int, l.Shards)
	for rack, n := range l.Racks {
		next.Racks[rack] = n
		load[n]++
	}
	for _, w := range workers {
		if _, ok := next.Racks[rackKey(w)]; ok {
			continue
		}
		least := 0
		for n := range load {
			if load[n] < load[least] {
				least = n
			}
		}
		next.Racks[rackKey(w)] = least
		load[least]++
	}
	if len(next.Racks) == len(l.Racks) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	_, err := h.platform.Store.Txn(ctx, kvstore.Txn{
		Guards: []kvstore.Guard{{Key: layoutKey, Revision: revision}},
		Puts:   []kvstore.Put{{Key: layoutKey, Value: workflow.Encode(next)}},
	})
	h.log.WithFields(logrus.Fields{"decision": "layout", "shards": l.Shards, "racks": len(next.Racks)}).WithError(err).
		Info("tried to add racks to the layout")
}
