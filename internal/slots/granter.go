package slots

import (
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/laburnumridge/laburnumridge/internal/fleet"
)

// DefaultMaxRequest is the longest that a short request may run.
const DefaultMaxRequest = time.Minute

// Backend is a backend server whose slots a granter shares out.
type Backend struct {
	// Capacity is the number of slots or connections that the backend server has.
	Capacity int
	ID       string
	Service  string
}

// GranterOption sets up a granter.
type GranterOption func(*Granter)

// Granter splits the slots of a shard's backend servers between entry hosts; it is safe for
// concurrent use.
type Granter struct {
	backends   map[string]*backendState
	epoch      int64
	guardUntil time.Time
	hosts      map[string]*account
	maxRequest time.Duration
	mu         sync.Mutex
	seq        int64
	shard      fleet.ShardID
	ttl        time.Duration
	// violated is told of a broken invariant; it defaults to nothing.
	violated func(name, detail string)
}

type backendState struct {
	Backend
	isFenced bool
	// isKnown says that the worker has told what it runs.
	isKnown bool
	// orphans counts requests in flight that an earlier epoch began.
	orphans   int
	orphansAt time.Time
}

// NewGranter returns the granter of a shard's owner under the given epoch.
func NewGranter(shard fleet.ShardID, epoch int64, options ...GranterOption) *Granter {
	g := &Granter{
		backends:   map[string]*backendState{},
		epoch:      epoch,
		hosts:      map[string]*account{},
		maxRequest: DefaultMaxRequest,
		shard:      shard,
		ttl:        DefaultTTL,
		violated:   func(string, string) {},
	}
	for _, option := range options {
		option(g)
	}
	return g
}

// WithMaxRequest bounds how long a request runs. After it, slots of a host that is silent count as
// unused. Zero means no bound, as for connections: then only reports of the worker lower the count.
func WithMaxRequest(d time.Duration) GranterOption { return func(g *Granter) { g.maxRequest = d } }

// WithTTL sets how long hosts may use a grant.
func WithTTL(d time.Duration) GranterOption { return func(g *Granter) { g.ttl = d } }

// WithTakeover says that an earlier owner's grants may be usable until a time. Until then nothing
// is granted on a backend server whose worker has not been fenced.
func WithTakeover(until time.Time) GranterOption { return func(g *Granter) { g.guardUntil = until } }

// WithViolated sets the function that is told when more is held than a backend server has.
func WithViolated(f func(name, detail string)) GranterOption {
	return func(g *Granter) { g.violated = f }
}

// Ack applies a host's report. Reports under another epoch only renew the host's stamp.
func (g *Granter) Ack(k Ack) {
	g.mu.Lock()
	defer g.mu.Unlock()
	a, ok := g.hosts[k.Host]
	if !ok {
		return
	}
	a.renew(k.Stamp)
	if k.Epoch == g.epoch && k.Shard == g.shard && k.Seq <= g.seq {
		a.ack(k)
	}
}

// Fenced records that the worker of a backend server refuses lower epochs, and how many requests of
// lower epochs it still runs.
func (g *Granter) Fenced(now time.Time, backend string, inFlight int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if b, ok := g.backends[backend]; ok && !b.isFenced {
		b.isFenced, b.isKnown, b.orphans, b.orphansAt = true, true, inFlight, now
	}
}

// Held returns the most slots that hosts may hold or use on a backend server, together with
// requests of earlier epochs.
func (g *Granter) Held(now time.Time, backend string) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.expire(now)
	return g.held(backend)
}

// InFlight records a worker's count of requests in flight on a backend server. The time is when
// the worker was asked. Where the worker tells epochs apart, lowerEpochs counts those of lower
// epochs; otherwise it equals inFlight.
func (g *Granter) InFlight(at time.Time, backend string, inFlight, lowerEpochs int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if b, ok := g.backends[backend]; ok && !g.guardUntil.IsZero() {
		switch {
		case b.isFenced, b.isKnown && !at.Before(g.guardUntil):
			b.orphans = min(b.orphans, lowerEpochs)
		default:
			b.isKnown, b.orphans, b.orphansAt = true, lowerEpochs, at
		}
	}
	for _, a := range g.hosts {
		a.seen(at, backend, inFlight)
	}
}

// Round splits all slots by demand and returns the grants to send now, by host. It is to be called
// every 500 ms. A raised grant waits until the lowered ones that it depends on are acknowledged.
func (g *Granter) Round(now time.Time) []Grant {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.expire(now)
	before := map[string]int{}
	for id := range g.backends {
		before[id] = g.heldOnce(id)
	}
	g.split()
	g.seq++
	counts := map[string]map[string]int{}
	for host, a := range g.hosts {
		if !a.isGone && a.hasStamp {
			counts[host] = map[string]int{}
		}
	}
	hosts := slices.Sorted(maps.Keys(counts))
	for id, b := range g.backends {
		g.grantBackend(now, id, b, hosts, counts)
	}
	var out []Grant
	for _, host := range hosts {
		a := g.hosts[host]
		grant := a.grant(counts[host], g.seq, now.Add(g.ttl+g.ttl/drift))
		grant.Epoch, grant.Host, grant.Shard, grant.TTL = g.epoch, host, g.shard, g.ttl
		out = append(out, grant)
	}
	g.check(before)
	return out
}

// SetBackends replaces the list of backend servers that the shard has.
func (g *Granter) SetBackends(backends []Backend) {
	g.mu.Lock()
	defer g.mu.Unlock()
	next := make(map[string]*backendState, len(backends))
	for _, b := range backends {
		state, ok := g.backends[b.ID]
		if !ok {
			state = &backendState{}
		}
		state.Backend = b
		next[b.ID] = state
	}
	g.backends = next
}

// SetDemand records what a host needs of each service, in slots, and the host's stamp.
func (g *Granter) SetDemand(host string, stamp Stamp, demand map[string]float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	a, ok := g.hosts[host]
	if !ok {
		// Nothing was held when the host's last account was dropped; acks from before that are void.
		a = newAccount()
		a.ackStamp, a.hasAck = stamp, true
		g.hosts[host] = a
	}
	a.renew(stamp)
	a.demand, a.isGone = maps.Clone(demand), false
}

// SetHosts drops hosts that are not in the list once nothing of theirs is held.
func (g *Granter) SetHosts(hosts []string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for host, a := range g.hosts {
		a.isGone = !slices.Contains(hosts, host)
	}
}

// check reports backend servers on which a round raised the sum above the capacity. A capacity that
// was lowered while its slots were held is no fault.
func (g *Granter) check(before map[string]int) {
	for id, b := range g.backends {
		if held := g.heldOnce(id); held > max(b.Capacity, before[id]) {
			g.violated("slots_within_capacity", fmt.Sprintf(
				"shard %s backend %s: %d held of %d", g.shard, id, held, b.Capacity))
		}
	}
}

func (g *Granter) expire(now time.Time) {
	for host, a := range g.hosts {
		a.expire(now, g.maxRequest)
		if a.isGone && a.isEmpty() {
			delete(g.hosts, host)
		}
	}
	for _, b := range g.backends {
		if g.maxRequest > 0 && now.Sub(b.orphansAt) >= g.maxRequest && !now.Before(g.guardUntil) {
			b.orphans = 0
		}
	}
}

// grantBackend fills in what each host may have of a backend server, as far as nobody else may
// hold it.
func (g *Granter) grantBackend(
	now time.Time, id string, b *backendState, hosts []string, counts map[string]map[string]int,
) {
	spare := b.Capacity - g.held(id)
	if !g.isSettled(now, b) {
		spare = 0
	}
	for _, host := range hosts {
		a := g.hosts[host]
		held := a.held(id)
		n := min(a.target[id], held+max(0, spare))
		if spare < 0 {
			// A late report may have added use that others' grants do not leave room for; it must
			// not turn into a grant.
			n = min(n, a.granted(id))
		}
		spare -= max(0, n-held)
		if n > 0 {
			counts[host][id] = n
		}
	}
}

func (g *Granter) held(backend string) int {
	n := 0
	if b, ok := g.backends[backend]; ok {
		n = b.orphans
	}
	for _, a := range g.hosts {
		n += a.held(backend)
	}
	return n
}

// heldOnce is a lower bound of held: requests of earlier epochs that hosts may report too count once.
func (g *Granter) heldOnce(backend string) int {
	n, twice := 0, 0
	for _, a := range g.hosts {
		n += a.held(backend)
		twice += a.inUse[backend]
	}
	if b, ok := g.backends[backend]; ok {
		n += max(0, b.orphans-twice)
	}
	return n
}

// isSettled reports whether grants of an earlier owner can no longer be used on a backend server,
// and what was begun under them is known.
func (g *Granter) isSettled(now time.Time, b *backendState) bool {
	switch {
	case g.guardUntil.IsZero() || b.isFenced:
		return true
	case b.isKnown:
		return !now.Before(g.guardUntil)
	}
	return g.maxRequest > 0 && !now.Before(g.guardUntil.Add(g.maxRequest))
}

func (a *account) renew(s Stamp) {
	if !a.hasStamp || s > a.stamp {
		a.stamp, a.hasStamp = s, true
	}
}
