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
	grantEvery = 500 * time.Millisecond
	// takeoverWait covers the grants of an earlier owner: their TTL and the drift of clocks.
	takeoverWait = slots.DefaultTTL + slots.DefaultTTL/10
	// maxDrain bounds how long a replica is kept for requests that do not end.
	maxDrain = time.Minute
	// anyService is the service of all backend servers: slots belong to the worker and are shared.
	anyService = "any"
)

// granting shares the slots and connections of a shard's workers out to the zone's entry hosts. All but
// acks is used by the owner's loop only.
type granting struct {
	connections *slots.Granter
	inFlight    map[string]map[string]int // by worker and work
	lastRound   time.Time
	owner       *shardOwner
	replicas    map[string][]string
	sent        map[string]*sentGrant // by host run
	slots       *slots.Granter
	version     int64
}

// sentGrant is what an entry host was sent last and has acknowledged.
type sentGrant struct {
	ackedReplicas int64
	ackedSlots    int64
	connections   slots.Grant
	slots         slots.Grant
}

func newGranting(o *shardOwner) *granting {
	until := time.Now().Add(takeoverWait)
	common := []slots.GranterOption{slots.WithTakeover(until), slots.WithViolated(o.host.check.Violated)}
	return &granting{
		connections: slots.NewGranter(o.id, o.epoch, append(common, slots.WithMaxRequest(0))...),
		inFlight:    map[string]map[string]int{},
		owner:       o,
		sent:        map[string]*sentGrant{},
		slots:       slots.NewGranter(o.id, o.epoch, common...),
	}
}

// acked takes what an entry host says of its grants.
func (g *granting) acked(run string, ack peer.GrantAck) {
	g.slots.Ack(ack.Slots)
	g.connections.Ack(ack.Connections)
	g.slots.SetDemand(run, ack.Slots.Stamp, map[string]float64{anyService: ack.SlotDemand})
	g.connections.SetDemand(run, ack.Connections.Stamp, map[string]float64{anyService: ack.ConnectionDemand})
	g.owner.post(func(time.Time) {
		s := g.sent[run]
		if s == nil {
			g.lastRound = time.Time{} // a host that is new gets its grant at the next tick
			return
		}
		s.ackedReplicas, s.ackedSlots = ack.ReplicasVersion, ack.Slots.Seq
	})
}

// reported takes a worker's count of requests in flight.
func (g *granting) reported(now time.Time, c ledger.Contact, r worker.Report, capable bool) {
	byWork := map[string]int{}
	var short, shortLower, long, longLower int
	for _, f := range r.InFlight {
		byWork[f.Work] = f.Count
		if item, ok := g.owner.item(f.Work); ok && item.Work.Kind == note.KindFeed {
			long, longLower = long+f.Count, longLower+f.LowerEpochs
		} else {
			short, shortLower = short+f.Count, shortLower+f.LowerEpochs
		}
	}
	g.inFlight[c.Worker] = byWork
	if c.Fence && capable {
		g.slots.Fenced(now, c.Worker, shortLower)
		g.connections.Fenced(now, c.Worker, longLower)
		return
	}
	g.slots.InFlight(c.SentAt, c.Worker, short, shortLower)
	g.connections.InFlight(c.SentAt, c.Worker, long, longLower)
}

// inUse reports whether a replica's worker still runs requests of its work.
func (g *granting) inUse(job string) bool {
	since := g.owner.draining[job]
	if time.Since(since) > maxDrain {
		return false
	}
	for _, r := range g.owner.ledger.Running() {
		if r.Job.ID == job && g.inFlight[r.Worker][r.Job.Work] > 0 {
			return true
		}
	}
	return false
}

// round sends the grants that are due.
func (g *granting) round(now time.Time) {
	if now.Sub(g.lastRound) < grantEvery {
		return
	}
	g.lastRound = now
	g.setBackends()
	recipients := g.owner.host.grantRecipients(g.owner.id.Zone)
	runs := slices.Collect(maps.Keys(recipients))
	g.slots.SetHosts(runs)
	g.connections.SetHosts(runs)
	short, long := byHost(g.slots.Round(now)), byHost(g.connections.Round(now))
	for run, send := range recipients {
		s, ok := short[run]
		if !ok {
			continue
		}
		send(g.message(run, s, long[run]))
	}
}

// message leaves out what the entry host has acknowledged, since grants are renewed twice a second.
func (g *granting) message(run string, short, long slots.Grant) peer.Grant {
	last := g.sent[run]
	if last == nil {
		last = &sentGrant{ackedReplicas: -1, ackedSlots: -1}
		g.sent[run] = last
	}
	m := peer.Grant{Connections: long, ReplicasVersion: g.version, Slots: short}
	if last.ackedReplicas != g.version {
		m.Replicas = g.replicas
	}
	if last.slots.Seq == last.ackedSlots && maps.Equal(last.slots.Counts, short.Counts) &&
		maps.Equal(last.connections.Counts, long.Counts) {
		m.Renews, m.Slots.Counts, m.Connections.Counts = true, nil, nil
	}
	last.slots, last.connections = short, long
	return m
}

// setBackends derives from the running replicas which workers take requests.
func (g *granting) setBackends() {
	replicas := map[string][]string{}
	workers := map[string]bool{}
	for _, r := range g.owner.ledger.Running() {
		_, draining := g.owner.draining[r.Job.ID]
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
	if !maps.EqualFunc(replicas, g.replicas, slices.Equal) || g.version == 0 {
		g.replicas = replicas
		g.version++
	}
	var short, long []slots.Backend
	for _, h := range g.owner.workers() {
		if !workers[h.ID] {
			continue
		}
		short = append(short, slots.Backend{Capacity: int(h.Capacity.Slots), ID: h.ID, Service: anyService})
		long = append(long, slots.Backend{Capacity: int(h.Capacity.Connections), ID: h.ID, Service: anyService})
	}
	g.slots.SetBackends(short)
	g.connections.SetBackends(long)
}

func (g *granting) stop() {}

func byHost(grants []slots.Grant) map[string]slots.Grant {
	out := make(map[string]slots.Grant, len(grants))
	for _, gr := range grants {
		out[gr.Host] = gr
	}
	return out
}
