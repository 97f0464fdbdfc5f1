package entry

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/laburnumridge/laburnumridge/internal/forecast"
	"github.com/laburnumridge/laburnumridge/internal/peer"
	"github.com/laburnumridge/laburnumridge/internal/shard"
	"github.com/laburnumridge/laburnumridge/internal/workflow"
)

const (
	// shardChoices is the number of randomly drawn shards whose loads are compared for a job. With more, hosts that have
	// the same load figures would all choose the same shard until the figures are refreshed.
	shardChoices = 2
	// loadTimeout bounds a load query: two round trips between zones.
	loadTimeout = 60 * time.Millisecond
	// maxUnansweredLoadAge is how long a reported load is used while the owner does not answer, which allows for a lost packet. An
	// owner that is silent for longer is probably overloaded, so its shard counts as full.
	maxUnansweredLoadAge = 500 * time.Millisecond
)

type loadKey struct {
	service string
	shard   int
}

type cachedLoad struct {
	// isUnsuitable is set if the workers of the shard can't hold the job at hand.
	isUnsuitable bool
	receivedAt   time.Time
	shard.Load
}

// mayTake reports whether the shard's workers can hold the job at hand.
func (l cachedLoad) mayTake() bool { return l.Room > 0 && !l.isUnsuitable }

// rank orders shards for a job: higher is better.
func (l cachedLoad) rank() int {
	switch {
	case l.mayTake():
		return 2
	case !l.isUnsuitable:
		return 1
	}
	return 0
}

// loadCache holds the last load that each shard's owner reported.
type loadCache struct {
	loads map[loadKey]cachedLoad
	mu    sync.Mutex
	// unacknowledged is the demand of the jobs that were announced to the owners without an acknowledgement yet.
	unacknowledged map[loadKey]shard.Load
}

func newLoadCache() *loadCache {
	return &loadCache{loads: map[loadKey]cachedLoad{}, unacknowledged: map[loadKey]shard.Load{}}
}

// chooseShard returns the shard for a new job: the shard of the first assigned rack that a step names, otherwise the one of
// shardChoices random shards whose load suits the job best. Shards whose workers can't hold the job are left out, and others are asked
// if none of the random ones can. It returns false while the layout has no shards. The decision says whether the job is to be refused; its
// owner does not expect it then.
func (h *Host) chooseShard(ctx context.Context, j workflow.Job) (int, forecast.Decision, bool) {
	l, _, _ := h.directory.currentLayout()
	if l.Shards == 0 {
		return 0, forecast.Decision{}, false
	}
	q, hasQueue := h.queueSettings(j)
	var demands []shard.Demand
	if hasQueue {
		demands = shard.Requirements(j, q.Service)
	}
	for _, s := range j.Steps {
		if n, ok := l.Racks[s.Rack]; ok && s.Rack != "" && h.shardSuits(ctx, n, q.Service, demands) {
			return n, forecast.Decision{Reason: forecast.ReasonNoView}, true
		}
	}
	if l.Shards == 1 {
		loads := h.queryLoads(ctx, q.Service, []int{0}, demands)
		d := h.decide(j, q, []int{0}, loads)
		h.logChoice(j, []int{0}, loads, 0, d)
		return 0, d, true
	}
	order := rand.Perm(l.Shards)
	candidates := order[:shardChoices]
	loads := h.queryLoads(ctx, q.Service, candidates, demands)
	// Owners that don't answer are probably overloaded, so their silence alone is no reason to ask the others.
	hasUnsuitable := slices.ContainsFunc(loads, func(l cachedLoad) bool { return l.isUnsuitable })
	if hasUnsuitable && !slices.ContainsFunc(loads, cachedLoad.mayTake) && len(order) > shardChoices {
		candidates = order
		loads = slices.Concat(loads, h.queryLoads(ctx, q.Service, order[shardChoices:], demands))
	}
	candidates, loads = suitable(candidates, loads)
	best, d := 0, h.decide(j, q, candidates, loads)
	if len(candidates) > 1 && !d.IsRefused {
		best = h.choose(j, q.Service, candidates, loads)
	}
	h.logChoice(j, candidates, loads, candidates[best], d)
	return candidates[best], d, true
}

// queueSettings returns the settings of a job's queue: those with which the job was accepted, if it has any.
func (h *Host) queueSettings(j workflow.Job) (workflow.QueueSettings, bool) {
	if j.Settings != nil {
		return *j.Settings, true
	}
	q, ok := h.config.config().Queue(j.Queue)
	return q.Settings(), ok
}

// queryLoads returns the loads of shards, which it requests at the same time.
func (h *Host) queryLoads(ctx context.Context, service string, shards []int, demands []shard.Demand) []cachedLoad {
	loads := make([]cachedLoad, len(shards))
	var queries sync.WaitGroup
	for i, n := range shards {
		queries.Go(func() { loads[i] = h.shardLoad(ctx, loadKey{service, n}, demands) })
	}
	queries.Wait()
	return loads
}

// suitable returns shardChoices of the shards, with their loads: those first whose workers can hold the job, then those that say nothing.
// A shard that can't hold the job is returned only if there are no others.
func suitable(shards []int, loads []cachedLoad) ([]int, []cachedLoad) {
	index := make([]int, len(shards))
	for i := range index {
		index[i] = i
	}
	slices.SortStableFunc(index, func(a, b int) int { return loads[b].rank() - loads[a].rank() })
	var outShards []int
	var outLoads []cachedLoad
	for _, i := range index {
		if len(outShards) == shardChoices || len(outShards) > 0 && loads[i].isUnsuitable {
			break
		}
		outShards, outLoads = append(outShards, shards[i]), append(outLoads, loads[i])
	}
	return outShards, outLoads
}

// choose draws one of two shards by their loads and announces the job to its owner. The loads are extended by the jobs that this host
// has chosen the shards for without an acknowledgement of their owners.
func (h *Host) choose(j workflow.Job, service string, candidates []int, loads []cachedLoad) int {
	demand := shard.Load{}.WithJob(j)
	h.loads.mu.Lock()
	for i, n := range candidates {
		loads[i].Load = loads[i].WithExpected(h.loads.unacknowledged[loadKey{service, n}])
	}
	best := 0
	if rand.Float64() >= loads[0].Preference(loads[1].Load, j) {
		best = 1
	}
	k := loadKey{service, candidates[best]}
	h.loads.unacknowledged[k] = h.loads.unacknowledged[k].WithExpected(demand)
	h.loads.mu.Unlock()
	go func() {
		h.announceJob(j, k, demand)
		h.loads.mu.Lock()
		defer h.loads.mu.Unlock()
		h.loads.unacknowledged[k] = h.loads.unacknowledged[k].WithExpected(shard.Load{Fill: -demand.Fill, Free: -demand.Free})
	}()
	return best
}

// logChoice logs the choice of a shard with the loads that decided it: of each candidate the free CPU, the CPU left to best-effort
// tasks, the room and the age of these figures, and when the job would end there.
func (h *Host) logChoice(j workflow.Job, candidates []int, loads []cachedLoad, chosen int, d forecast.Decision) {
	considered := make([]string, len(candidates))
	for i, n := range candidates {
		considered[i] = fmt.Sprintf("%d: owner unknown or silent", n)
		if l := loads[i]; l.isUnsuitable {
			considered[i] = fmt.Sprintf("%d: no suitable worker", n)
		} else if l.Room > 0 {
			considered[i] = fmt.Sprintf("%d: free %d, left %d, expected %d, room %d, age %s", n, l.Free, l.Left-l.Fill, l.Expected, l.Room,
				time.Since(l.receivedAt).Round(time.Millisecond))
		}
	}
	h.log.WithFields(logrus.Fields{
		"admission": string(d.Reason), "candidates": considered, "decision": "choose_shard", "forecasts": d.Considered, "job": j.ID,
		"queue": j.Queue, "shard": chosen,
	}).Info("chose the shard of a new job")
}

// announceJob tells the owner of the chosen shard to expect a job, so that it counts for the hosts that choose next.
func (h *Host) announceJob(j workflow.Job, k loadKey, demand shard.Load) {
	h.notifyOwner(k.shard, peer.Message{
		JobExpected: &peer.JobExpected{Fill: demand.Fill, Free: demand.Free, ID: j.ID, Service: k.service, Shard: k.shard},
	}, func() bool { return h.ownedShards.expectJob(k.shard, j.ID, k.service, demand) })
}

// shardLoad returns a shard's load and whether its workers can hold the demands: the owner's answer, or if there is none what is known
// without it.
func (h *Host) shardLoad(ctx context.Context, k loadKey, demands []shard.Demand) cachedLoad {
	if l, suits, ok := h.ownedShards.serviceLoad(k.shard, k.service, demands); ok {
		return cachedLoad{isUnsuitable: !suits, receivedAt: time.Now(), Load: l}
	}
	o, ok := h.directory.owner(k.shard)
	if !ok {
		return h.unansweredLoad(k, demands)
	}
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	m, err := h.request(ctx, o.PeerAddress, peer.Message{LoadQuery: &peer.LoadQuery{
		Demands: encodeDemands(demands), Service: k.service, Shard: k.shard,
	}})
	if err != nil || m.LoadReply == nil || !m.LoadReply.Known {
		return h.unansweredLoad(k, demands)
	}
	last := cachedLoad{receivedAt: time.Now(), Load: shard.Load{
		Expected: m.LoadReply.Expected, Fill: m.LoadReply.Fill, Forecast: m.LoadReply.Forecast, Free: m.LoadReply.Free,
		Interrupted: m.LoadReply.Interrupted, Left: m.LoadReply.Left, Room: m.LoadReply.Room,
	}}
	h.noteSuitability(k.shard, demands, !m.LoadReply.Unsuitable)
	h.loads.mu.Lock()
	defer h.loads.mu.Unlock()
	h.loads.loads[k] = last
	last.isUnsuitable = m.LoadReply.Unsuitable
	return last
}

// unansweredLoad returns what is known of a shard whose owner does not answer: the last load if that is younger than
// maxUnansweredLoadAge, else a load without room, and whether its workers can hold the demands.
func (h *Host) unansweredLoad(k loadKey, demands []shard.Demand) cachedLoad {
	h.loads.mu.Lock()
	last := h.loads.loads[k]
	h.loads.mu.Unlock()
	if time.Since(last.receivedAt) > maxUnansweredLoadAge {
		last = cachedLoad{}
	}
	last.isUnsuitable, last.Forecast = h.isKnownUnsuitable(k.shard, demands), nil // no refusal rests on an earlier answer
	return last
}
