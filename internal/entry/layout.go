package entry

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/laburnumridge/laburnumridge/internal/election"
	"github.com/laburnumridge/laburnumridge/internal/kvstore"
	"github.com/laburnumridge/laburnumridge/internal/shard"
	"github.com/laburnumridge/laburnumridge/internal/workflow"
)

// layoutRetryDelay is how long an owner waits before it looks again at racks that the layout does not assign.
const layoutRetryDelay = time.Second

// createLayout decides the number of shards once the numbers of hosts and of registered workers are stable. The first host to
// write the layout wins. The write has as much time as the renewal of the lease, which this host needs anyway.
func (h *Host) createLayout(ctx context.Context) {
	if !h.observeFleet(ctx) {
		return
	}
	workers := h.layoutWait.workers.n
	l := layout{Shards: election.Shards(workers, h.directory.strengths(h.self))}
	ctx, cancel := context.WithTimeout(ctx, sessionCallTimeout)
	defer cancel()
	_, err := h.platform.Store.Txn(ctx, kvstore.Txn{
		Guards: []kvstore.Guard{{Key: layoutKey}}, Puts: []kvstore.Put{{Key: layoutKey, Value: workflow.Encode(l)}},
	})
	h.log.WithFields(logrus.Fields{"decision": "layout", "shards": l.Shards, "workers": workers}).WithError(err).
		Info("tried to write the initial layout")
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

// followLayout passes the shard's workers to the owner again after each change of the layout, since workers whose registry entry
// does not change cause no event. While the layout does not assign the rack of a worker, it also does so every layoutRetryDelay,
// since a write of the layout may have failed.
func (r *runner) followLayout() {
	for r.ctx.Err() == nil {
		changed := r.host.directory.nextChange()
		_, revision, _ := r.host.directory.currentLayout()
		r.mu.Lock()
		applied, unassigned := r.appliedLayout, r.hasUnassigned
		r.mu.Unlock()
		if applied != 0 && applied != revision {
			r.updateWorkers()
			continue
		}
		retryTimer := time.NewTimer(layoutRetryDelay)
		select {
		case <-r.ctx.Done():
		case <-changed:
		case <-retryTimer.C:
			if unassigned {
				r.updateWorkers()
			}
		}
		retryTimer.Stop()
	}
}

// updateWorkers passes the shard's workers to the owner. The runner of shard 0 also assigns new racks to shards.
func (r *runner) updateWorkers() {
	var unassigned []shard.Worker
	r.updateOwner(func(now time.Time) {
		l, revision, _ := r.host.directory.currentLayout()
		var own []shard.Worker
		for _, w := range r.registry {
			n, ok := l.shardOf(w)
			switch {
			case !ok:
				unassigned = append(unassigned, w)
			case n == r.shard:
				own = append(own, w)
			}
		}
		r.owner.SetWorkers(now, own)
		r.appliedLayout, r.hasUnassigned = revision, len(unassigned) > 0
		r.reportUnknownZones()
	})
	if len(unassigned) > 0 && r.shard == 0 {
		r.host.addRacks(r.ctx, unassigned)
	}
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
