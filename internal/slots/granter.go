package slots

import (
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/laburnumridge/laburnumridge/internal/fleet"
)

// DefaultMaxRequest is the maximum duration of a request that occupies a slot.
const DefaultMaxRequest = time.Minute

// Backend is a backend server whose slots a Granter leases to entry hosts.
type Backend struct {
	// Capacity is the number of slots or connections that the backend server has.
	Capacity int
	ID       string
	Service  string
}

// GranterOption configures a Granter.
type GranterOption func(*Granter)

// Granter divides the slots, or the connections, of a shard's backend servers among entry hosts. It is
// safe for concurrent use.
type Granter struct {
	backends map[string]*backendState
	epoch    int64
	// earlierGrantsUntil is when the grants of earlier owners have expired; zero without an earlier owner.
	earlierGrantsUntil time.Time
	hosts              map[string]*hostState
	maxRequest         time.Duration
	mu                 sync.Mutex
	seq                int64
	shard              fleet.ShardID
	ttl                time.Duration
	// onViolation is called when an invariant is violated; the default does nothing.
	onViolation func(name, detail string)
}

type backendState struct {
	Backend
	// isFenced is set once the worker refuses lower epochs.
	isFenced bool
	// isInFlightKnown is set once the worker has reported its requests in flight.
	isInFlightKnown bool
	// lowerEpochRequests is the number of requests in flight that were started under lower epochs.
	lowerEpochRequests  int
	lowerEpochCountedAt time.Time
}

// NewGranter returns the granter of a shard for its owner under the given epoch.
func NewGranter(shard fleet.ShardID, epoch int64, options ...GranterOption) *Granter {
	g := &Granter{
		backends:    map[string]*backendState{},
		epoch:       epoch,
		hosts:       map[string]*hostState{},
		maxRequest:  DefaultMaxRequest,
		shard:       shard,
		ttl:         DefaultTTL,
		onViolation: func(string, string) {},
	}
	for _, option := range options {
		option(g)
	}
	return g
}

// WithMaxRequest sets the maximum duration of a request. That long after its grants expire, the slots
// of a host that does not report count as unused. Zero means no maximum, as for connections: then only
// the worker's reports lower the count.
func WithMaxRequest(d time.Duration) GranterOption { return func(g *Granter) { g.maxRequest = d } }

// WithTTL sets how long a host may use a grant.
func WithTTL(d time.Duration) GranterOption { return func(g *Granter) { g.ttl = d } }

// WithTakeover sets the time until which grants of earlier owners may be usable. Until then no slots
// are granted on a backend server whose worker has not been fenced.
func WithTakeover(until time.Time) GranterOption {
	return func(g *Granter) { g.earlierGrantsUntil = until }
}

// WithViolationHandler sets the function that is called when the slots held on a backend server exceed its
// capacity.
func WithViolationHandler(f func(name, detail string)) GranterOption {
	return func(g *Granter) { g.onViolation = f }
}

// Ack applies a host's report. A report under another epoch only advances the host's stamp.
func (g *Granter) Ack(ack Ack) {
	g.mu.Lock()
	defer g.mu.Unlock()
	h, ok := g.hosts[ack.Host]
	if !ok {
		return
	}
	h.advanceStamp(ack.Stamp)
	if ack.Epoch == g.epoch && ack.Shard == g.shard && ack.Seq <= g.seq {
		h.applyAck(ack)
	}
}

// Fenced records that the worker of a backend server refuses lower epochs, with the number of requests
// that it still runs under lower epochs.
func (g *Granter) Fenced(now time.Time, backend string, inFlight int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if b, ok := g.backends[backend]; ok && !b.isFenced {
		b.isFenced, b.isInFlightKnown, b.lowerEpochRequests, b.lowerEpochCountedAt = true, true, inFlight, now
	}
}

// Held returns the upper bound of the slots that hosts hold or use on a backend server, including
// requests of earlier epochs.
func (g *Granter) Held(now time.Time, backend string) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.expire(now)
	return g.held(backend)
}

// InFlight records a worker's count of requests in flight on a backend server, as of the time at which
// the worker was asked. lowerEpochs is the number of them that were started under lower epochs; it
// equals inFlight if the worker does not distinguish epochs.
func (g *Granter) InFlight(at time.Time, backend string, inFlight, lowerEpochs int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if b, ok := g.backends[backend]; ok && !g.earlierGrantsUntil.IsZero() {
		switch {
		case b.isFenced, b.isInFlightKnown && !at.Before(g.earlierGrantsUntil):
			b.lowerEpochRequests = min(b.lowerEpochRequests, lowerEpochs)
		default:
			b.isInFlightKnown, b.lowerEpochRequests, b.lowerEpochCountedAt = true, lowerEpochs, at
		}
	}
	for _, h := range g.hosts {
		h.applyWorkerCount(at, backend, inFlight)
	}
}

// Round divides all slots by demand and returns the grants to send now, sorted by host. Call it every
// 500 ms. A host's grant is raised only after the lowered grants that free the slots are acknowledged.
func (g *Granter) Round(now time.Time) []Grant {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.expire(now)
	before := map[string]int{}
	for id := range g.backends {
		before[id] = g.heldLowerBound(id)
	}
	g.updateTargets()
	g.seq++
	counts := map[string]map[string]int{}
	for host, h := range g.hosts {
		if !h.removeWhenUnused && h.hasStamp {
			counts[host] = map[string]int{}
		}
	}
	hosts := slices.Sorted(maps.Keys(counts))
	for id, b := range g.backends {
		g.grantBackend(now, id, b, hosts, counts)
	}
	var out []Grant
	for _, host := range hosts {
		h := g.hosts[host]
		grant := h.recordGrant(counts[host], g.seq, now.Add(g.ttl+g.ttl/clockDriftDivisor))
		grant.Epoch, grant.Host, grant.Shard, grant.TTL = g.epoch, host, g.shard, g.ttl
		out = append(out, grant)
	}
	g.checkCapacity(before)
	return out
}

// SetBackends replaces the shard's backend servers.
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

// SetDemand records a host's demand in slots for each service, and the host's stamp.
func (g *Granter) SetDemand(host string, stamp Stamp, demand map[string]float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	h, ok := g.hosts[host]
	if !ok {
		// The state of a removed host is deleted only when it holds no slots, so acks with an earlier stamp are
		// ignored.
		h = newHostState()
		h.ackStamp, h.hasAck = stamp, true
		g.hosts[host] = h
	}
	h.advanceStamp(stamp)
	h.demandByService, h.removeWhenUnused = maps.Clone(demand), false
}

// SetHosts marks the hosts that are not in the list for removal, which takes place once they hold no
// slots.
func (g *Granter) SetHosts(hosts []string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for host, h := range g.hosts {
		h.removeWhenUnused = !slices.Contains(hosts, host)
	}
}

// checkCapacity reports backend servers on which a round raised the held slots above the capacity.
// A capacity that was lowered while its slots were held is not a violation.
func (g *Granter) checkCapacity(before map[string]int) {
	for id, b := range g.backends {
		if held := g.heldLowerBound(id); held > max(b.Capacity, before[id]) {
			g.onViolation("slots_within_capacity", fmt.Sprintf(
				"shard %s backend %s: %d slots held, capacity is %d", g.shard, id, held, b.Capacity))
		}
	}
}

func (g *Granter) expire(now time.Time) {
	for host, h := range g.hosts {
		h.expire(now, g.maxRequest)
		if h.removeWhenUnused && h.holdsNothing() {
			delete(g.hosts, host)
		}
	}
	for _, b := range g.backends {
		if g.maxRequest > 0 && now.Sub(b.lowerEpochCountedAt) >= g.maxRequest && !now.Before(g.earlierGrantsUntil) {
			b.lowerEpochRequests = 0
		}
	}
}

// grantBackend sets each host's count on a backend server, limited to slots that no other host may
// hold.
func (g *Granter) grantBackend(
	now time.Time, id string, b *backendState, hosts []string, counts map[string]map[string]int,
) {
	spare := b.Capacity - g.held(id)
	if !g.canGrant(now, b) {
		spare = 0
	}
	for _, host := range hosts {
		h := g.hosts[host]
		held := h.held(id)
		n := min(h.target[id], held+max(0, spare))
		if spare < 0 {
			// A late report may have added slots in use that exceed the capacity left by other
			// hosts' grants. The host must not be granted them.
			n = min(n, h.granted(id))
		}
		spare -= max(0, n-held)
		if n > 0 {
			counts[host][id] = n
		}
	}
}

// held returns the upper bound of the slots held or used on a backend server, including requests of earlier
// epochs.
func (g *Granter) held(backend string) int {
	n := 0
	if b, ok := g.backends[backend]; ok {
		n = b.lowerEpochRequests
	}
	for _, h := range g.hosts {
		n += h.held(backend)
	}
	return n
}

// heldLowerBound returns a lower bound of held. It assumes that hosts report requests of earlier epochs
// as in use, and counts those once.
func (g *Granter) heldLowerBound(backend string) int {
	n, reported := 0, 0
	for _, h := range g.hosts {
		n += h.held(backend)
		reported += h.inUse[backend]
	}
	if b, ok := g.backends[backend]; ok {
		n += max(0, b.lowerEpochRequests-reported)
	}
	return n
}

// canGrant reports whether grants of an earlier owner are no longer usable on a backend server, and the
// requests started under them are counted or have ended.
func (g *Granter) canGrant(now time.Time, b *backendState) bool {
	switch {
	case g.earlierGrantsUntil.IsZero() || b.isFenced:
		return true
	case b.isInFlightKnown:
		return !now.Before(g.earlierGrantsUntil)
	}
	return g.maxRequest > 0 && !now.Before(g.earlierGrantsUntil.Add(g.maxRequest))
}

// advanceStamp records a stamp of the host unless a later one is known.
func (h *hostState) advanceStamp(s Stamp) {
	if !h.hasStamp || s > h.stamp {
		h.stamp, h.hasStamp = s, true
	}
}
