package host

import (
	"maps"
	"slices"
	"time"

	"github.com/laburnumridge/laburnumridge/internal/ledger"
	"github.com/laburnumridge/laburnumridge/internal/note"
	"github.com/laburnumridge/laburnumridge/internal/peer"
	"github.com/laburnumridge/laburnumridge/internal/slots"
	"github.com/laburnumridge/laburnumridge/internal/worker"
)

const (
	grantInterval = 500 * time.Millisecond
	// renewInterval is the interval between grants that change nothing.
	renewInterval = 900 * time.Millisecond
	// takeoverWait is how long grants of an earlier owner may be in use: their TTL plus clock drift.
	takeoverWait = slots.DefaultTTL + slots.DefaultTTL/10
	// maxReplicaDrain limits how long a draining replica is kept for requests that do not end.
	maxReplicaDrain = time.Minute
	// anyService stands for all services in grants, since slots belong to the worker and its services share them.
	anyService = "any"
)

// granter divides the slots and connections of a shard's workers among the zone's entry hosts. All methods but
// handleAck are called by the owner's loop only.
type granter struct {
	ackedVersions   map[string]int64 // version of the replicas that each host incarnation acknowledged
	connections     *slots.Granter
	inFlight        map[string]map[string]int // requests by worker and work
	lastRound       time.Time
	owner           *shardOwner
	replicas        map[string][]string
	sentAt          map[string]time.Time // time of the last grant to each host incarnation
	slots           *slots.Granter
	replicasVersion int64
}

func newGranter(o *shardOwner) *granter {
	until := time.Now().Add(takeoverWait)
	common := []slots.GranterOption{slots.WithTakeover(until), slots.WithViolationHandler(o.host.invariants.ReportViolation)}
	return &granter{
		ackedVersions: map[string]int64{},
		connections:   slots.NewGranter(o.id, o.epoch, append(common, slots.WithMaxRequest(0))...),
		inFlight:      map[string]map[string]int{},
		owner:         o,
		sentAt:        map[string]time.Time{},
		slots:         slots.NewGranter(o.id, o.epoch, common...),
	}
}

// handleAck records an entry host's acknowledgement and demand.
func (g *granter) handleAck(incarnation string, ack peer.GrantAck) {
	g.slots.Ack(ack.Slots)
	g.connections.Ack(ack.Connections)
	g.slots.SetDemand(incarnation, ack.Slots.Stamp, map[string]float64{anyService: ack.SlotDemand})
	g.connections.SetDemand(incarnation, ack.Connections.Stamp, map[string]float64{anyService: ack.ConnectionDemand})
	g.owner.post(func(time.Time) {
		if _, ok := g.ackedVersions[incarnation]; !ok {
			g.lastRound = time.Time{} // a new host gets its grant at the next tick
			return
		}
		g.ackedVersions[incarnation] = ack.ReplicasVersion
	})
}

// handleReport records how many requests a worker has in flight.
func (g *granter) handleReport(now time.Time, c ledger.Contact, r worker.Report, capable bool) {
	byWork := map[string]int{}
	var requests, requestsLower, feeds, feedsLower int
	for _, f := range r.InFlight {
		byWork[f.Work] = f.Count
		if item, ok := g.owner.item(f.Work); ok && item.Work.Kind == note.KindFeed {
			feeds, feedsLower = feeds+f.Count, feedsLower+f.LowerEpochs
		} else {
			requests, requestsLower = requests+f.Count, requestsLower+f.LowerEpochs
		}
	}
	g.inFlight[c.Worker] = byWork
	if c.Fence && capable {
		// Fenced ignores workers that are not set as backend servers yet, and this report may be the first that lists
		// a replica.
		g.setBackends()
		g.lastRound = time.Time{}
		g.slots.Fenced(now, c.Worker, requestsLower)
		g.connections.Fenced(now, c.Worker, feedsLower)
		return
	}
	g.slots.InFlight(c.SentAt, c.Worker, requests, requestsLower)
	g.connections.InFlight(c.SentAt, c.Worker, feeds, feedsLower)
}

// hasRequestsInFlight reports whether the worker of a draining replica still runs requests of its work. It returns
// false once the replica has drained for maxReplicaDrain.
func (g *granter) hasRequestsInFlight(job string) bool {
	since := g.owner.drainingSince[job]
	if time.Since(since) > maxReplicaDrain {
		return false
	}
	for _, r := range g.owner.ledger.Running() {
		if r.Job.ID == job && g.inFlight[r.Worker][r.Job.Work] > 0 {
			return true
		}
	}
	return false
}

// round sends the grants that are due, at most once per grantInterval.
func (g *granter) round(now time.Time) {
	if now.Sub(g.lastRound) < grantInterval {
		return
	}
	g.lastRound = now
	g.setBackends()
	recipients := g.owner.host.grantRecipients(g.owner.id.Zone)
	incarnations := slices.Collect(maps.Keys(recipients))
	maps.DeleteFunc(g.ackedVersions, func(incarnation string, _ int64) bool { return recipients[incarnation] == nil })
	maps.DeleteFunc(g.sentAt, func(incarnation string, _ time.Time) bool { return recipients[incarnation] == nil })
	g.slots.SetHosts(incarnations)
	g.connections.SetHosts(incarnations)
	slotGrants, connectionGrants := byHost(g.slots.Round(now)), byHost(g.connections.Round(now))
	for incarnation, send := range recipients {
		s, ok := slotGrants[incarnation]
		if !ok || !g.isDue(now, incarnation, s, connectionGrants[incarnation]) {
			continue
		}
		g.sentAt[incarnation] = now
		send(g.message(incarnation, s, connectionGrants[incarnation]))
	}
}

// isDue reports whether a grant must be sent: it changes something, or the last one must be renewed. The TTL outlasts
// the loss of one renewal.
func (g *granter) isDue(now time.Time, incarnation string, slotGrant, connectionGrant slots.Grant) bool {
	return slotGrant.RenewedSeq == 0 || connectionGrant.RenewedSeq == 0 ||
		g.ackedVersions[incarnation] != g.replicasVersion || now.Sub(g.sentAt[incarnation]) >= renewInterval
}

// message returns the grant for an entry host. It omits the replicas if the host has acknowledged them, since grants
// are sent up to twice a second.
func (g *granter) message(incarnation string, slotGrant, connectionGrant slots.Grant) peer.Grant {
	acked, ok := g.ackedVersions[incarnation]
	if !ok {
		acked = -1
		g.ackedVersions[incarnation] = acked
	}
	m := peer.Grant{Connections: connectionGrant, ReplicasVersion: g.replicasVersion, Slots: slotGrant}
	if acked != g.replicasVersion {
		m.Replicas = g.replicas
	}
	return m
}

// setBackends derives from the running replicas which workers serve requests.
func (g *granter) setBackends() {
	replicas := map[string][]string{}
	workers := map[string]bool{}
	for _, r := range g.owner.ledger.Running() {
		_, draining := g.owner.drainingSince[r.Job.ID]
		if !r.Job.IsLatencyCritical() || !r.Reported {
			continue
		}
		workers[r.Worker] = true
		if !draining && !r.Stopping {
			replicas[r.Job.Work] = append(replicas[r.Job.Work], r.Worker)
		}
	}
	for _, list := range replicas {
		slices.Sort(list)
	}
	if !maps.EqualFunc(replicas, g.replicas, slices.Equal) || g.replicasVersion == 0 {
		g.replicas = replicas
		g.replicasVersion++
	}
	var slotBackends, connectionBackends []slots.Backend
	for _, h := range g.owner.workers() {
		if !workers[h.ID] {
			continue
		}
		slotBackends = append(slotBackends, slots.Backend{Capacity: int(h.Capacity.Slots), ID: h.ID, Service: anyService})
		connectionBackends = append(connectionBackends, slots.Backend{
			Capacity: int(h.Capacity.Connections), ID: h.ID, Service: anyService,
		})
	}
	g.slots.SetBackends(slotBackends)
	g.connections.SetBackends(connectionBackends)
}

func byHost(grants []slots.Grant) map[string]slots.Grant {
	out := make(map[string]slots.Grant, len(grants))
	for _, gr := range grants {
		out[gr.Host] = gr
	}
	return out
}
