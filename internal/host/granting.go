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
	// renewEvery is the time between grants that change nothing.
	renewEvery = 900 * time.Millisecond
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
	acks        map[string]int64 // version of the replicas that a host run has
	connections *slots.Granter
	inFlight    map[string]map[string]int // by worker and work
	lastRound   time.Time
	owner       *shardOwner
	replicas    map[string][]string
	sent        map[string]time.Time // last grant to each host run
	slots       *slots.Granter
	version     int64
}

func newGranting(o *shardOwner) *granting {
	until := time.Now().Add(takeoverWait)
	common := []slots.GranterOption{slots.WithTakeover(until), slots.WithViolated(o.host.check.Violated)}
	return &granting{
		acks:        map[string]int64{},
		connections: slots.NewGranter(o.id, o.epoch, append(common, slots.WithMaxRequest(0))...),
		inFlight:    map[string]map[string]int{},
		owner:       o,
		sent:        map[string]time.Time{},
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
		if _, ok := g.acks[run]; !ok {
			g.lastRound = time.Time{} // a host that is new gets its grant at the next tick
			return
		}
		g.acks[run] = ack.ReplicasVersion
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
		// A fence counts for known backend servers only, and this report may be the first to list one.
		g.setBackends()
		g.lastRound = time.Time{}
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
	maps.DeleteFunc(g.acks, func(run string, _ int64) bool { return recipients[run] == nil })
	maps.DeleteFunc(g.sent, func(run string, _ time.Time) bool { return recipients[run] == nil })
	g.slots.SetHosts(runs)
	g.connections.SetHosts(runs)
	short, long := byHost(g.slots.Round(now)), byHost(g.connections.Round(now))
	for run, send := range recipients {
		s, ok := short[run]
		if !ok || !g.isDue(now, run, s, long[run]) {
			continue
		}
		g.sent[run] = now
		send(g.message(run, s, long[run]))
	}
}

// isDue reports whether a grant must be sent: it changes something, or the last one is old enough to be renewed.
// The TTL then outlasts one renewal that is lost.
func (g *granting) isDue(now time.Time, run string, short, long slots.Grant) bool {
	return short.SameAs == 0 || long.SameAs == 0 || g.acks[run] != g.version || now.Sub(g.sent[run]) >= renewEvery
}

// message leaves out the replicas if the entry host has them, since grants are renewed twice a second.
func (g *granting) message(run string, short, long slots.Grant) peer.Grant {
	acked, ok := g.acks[run]
	if !ok {
		acked = -1
		g.acks[run] = acked
	}
	m := peer.Grant{Connections: long, ReplicasVersion: g.version, Slots: short}
	if acked != g.version {
		m.Replicas = g.replicas
	}
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

func byHost(grants []slots.Grant) map[string]slots.Grant {
	out := make(map[string]slots.Grant, len(grants))
	for _, gr := range grants {
		out[gr.Host] = gr
	}
	return out
}
