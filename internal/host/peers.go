package host

import (
	"context"
	"encoding/json"
	"errors"
	"hash/fnv"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/laburnumridge/laburnumridge/internal/fleet"
	"github.com/laburnumridge/laburnumridge/internal/peer"
)

const (
	// peersPerZone is how many entry hosts of each other zone a host connects to.
	peersPerZone = 2
	pullTimeout  = 3 * time.Second
)

// peerState is the state of a peer as of its last heartbeat.
type peerState struct {
	draining bool
	hello    peer.Hello
	revision int64
	seen     time.Time
	// revisionSeen is when the peer first reported its revision.
	revisionSeen time.Time
}

type peerStates struct {
	mu     sync.Mutex
	pulls  map[string]bool
	states map[string]peerState
}

func newPeerStates() *peerStates {
	return &peerStates{pulls: map[string]bool{}, states: map[string]peerState{}}
}

func (p *peerStates) all() map[string]peerState {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make(map[string]peerState, len(p.states))
	for id, s := range p.states {
		out[id] = s
	}
	return out
}

func (p *peerStates) recordHeartbeat(from peer.Hello, hb peer.Heartbeat, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.states[from.Host]
	if s.revision != hb.Revision || s.hello.Incarnation != from.Incarnation {
		s.revisionSeen = now
	}
	s.draining, s.hello, s.revision, s.seen = hb.Draining, from, hb.Revision, now
	p.states[from.Host] = s
}

// startPull marks a pull from the host as running and reports whether none was running yet.
func (p *peerStates) startPull(host string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.pulls[host] {
		return false
	}
	p.pulls[host] = true
	return true
}

func (p *peerStates) endPull(host string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.pulls, host)
}

func (h *Host) isPeerDraining(host string) bool {
	s, ok := h.peers.all()[host]
	return ok && s.draining
}

// refreshPeers connects to all entry hosts of this zone and to peersPerZone of each other zone. The choice in other
// zones depends on the ids of both hosts, so that connections spread over all hosts. It also updates the admission
// shares, which depend on the zone's workers.
func (h *Host) refreshPeers() {
	s := h.hosts.snapshot()
	var out []fleet.Host
	for _, zone := range s.Zones() {
		hosts := s.EntryHosts(zone)
		if zone != h.zone && len(hosts) > peersPerZone {
			slices.SortFunc(hosts, func(a, b fleet.Host) int { return int(h.affinity(b.ID)) - int(h.affinity(a.ID)) })
			hosts = hosts[:peersPerZone]
		}
		out = append(out, hosts...)
	}
	h.mesh.SetPeers(out)
	c, _ := h.notes.current()
	services, teams := guaranteedShares(c, s, h.zone)
	h.admission.deliver(h.admission.queue.SetShares(time.Now(), services, teams))
}

func (h *Host) affinity(other string) uint32 {
	sum := fnv.New32a()
	_, _ = sum.Write([]byte(h.id + " " + other))
	return sum.Sum32() >> 1
}

func (h *Host) heartbeat() peer.Heartbeat {
	hb := peer.Heartbeat{Draining: h.isDraining(), Revision: h.notes.revision()}
	now := time.Now()
	for _, o := range h.shards.all() {
		hb.Owned = append(hb.Owned, peer.OwnedShard{
			Epoch: o.epoch, FreePercent: int(o.freePercent.Load()), Index: o.id.Index,
			ServesKeys: h.keyTables.mayClaim(o.id, now), Zone: o.id.Zone,
		})
	}
	return hb
}

// handlePeerMessage handles a message that needs no reply; it must not block.
func (h *Host) handlePeerMessage(from peer.Hello, m peer.Message) {
	now := time.Now()
	switch {
	case m.Heartbeat != nil:
		h.peers.recordHeartbeat(from, *m.Heartbeat, now)
		changed := false
		for _, o := range m.Heartbeat.Owned {
			changed = h.shards.recordOwner(o.Shard(), ownerInfo{
				seenAt: now, epoch: o.Epoch, freePercent: o.FreePercent, host: from.Host, servingKeys: o.ServesKeys,
			}) || changed
		}
		if changed {
			h.backends.sendAcks(now) // a new owner sends grants only to hosts that it knows
		}
		if m.Heartbeat.Revision > h.notes.revision() && h.peers.startPull(from.Host) {
			go h.pullNotes(from.Host)
		}
	case m.Grant != nil:
		ack := h.backends.install(*m.Grant, now)
		_ = h.mesh.Send(from.Host, peer.Message{GrantAck: &ack}) // a lost acknowledgement is replaced by the next
		h.admission.deliver(h.admission.queue.SetCapacity(now, h.backends.grantedSlots(now)))
	case m.GrantAck != nil:
		if o, ok := h.shards.get(m.GrantAck.Slots.Shard); ok {
			o.grants.handleAck(from.Incarnation, *m.GrantAck)
		}
	}
}

func (h *Host) pullNotes(from string) {
	defer h.peers.endPull(from)
	ctx, cancel := context.WithTimeout(h.ownerCtx, pullTimeout)
	defer cancel()
	after := h.notes.revision()
	reply, err := h.mesh.Request(ctx, from, peer.Message{Notes: &peer.NotesRequest{After: after}})
	if err == nil && reply.NotesReply != nil {
		err = h.notes.applyReply(after, *reply.NotesReply)
	}
	if err != nil {
		h.log.WithError(err).WithField("peer", from).Warn("failed to fetch notes from a peer; its next heartbeat triggers another request")
	}
}

// requestPeer sends a request to an entry host. If there is no connection to it, a connected host of its zone relays
// the request.
func (h *Host) requestPeer(ctx context.Context, host string, m peer.Message) (peer.Message, error) {
	reply, err := h.mesh.Request(ctx, host, m)
	if !errors.Is(err, peer.ErrNotConnected) {
		return reply, err
	}
	to, ok := h.hosts.snapshot().Host(host)
	if !ok || to.Zone == h.zone {
		return reply, err
	}
	for _, p := range h.mesh.Zone(to.Zone) {
		m.RelayTo = host
		return h.mesh.Request(ctx, p.Host, m)
	}
	return reply, err
}

func (h *Host) handlePeerRequest(ctx context.Context, _ peer.Hello, m peer.Message) (peer.Message, error) {
	if to := m.RelayTo; to != "" && to != h.id {
		ctx, cancel := context.WithTimeout(ctx, queryTimeout)
		defer cancel()
		m.RelayTo = ""
		return h.mesh.Request(ctx, to, m)
	}
	switch {
	case m.Notes != nil:
		reply, err := h.notes.since(m.Notes.After)
		return peer.Message{NotesReply: &reply}, err
	case m.Explain != nil:
		return peer.Message{ExplainReply: &peer.ExplainReply{Decisions: h.decisions.Find(m.Explain.ID)}}, nil
	case m.Handover != nil:
		return peer.Message{}, h.shards.acceptHandover(ctx, *m.Handover)
	case m.KeyOutcome != nil:
		return peer.Message{}, h.acceptLateOutcome(*m.KeyOutcome)
	case m.Status != nil:
		data, err := json.Marshal(h.localStatus(ctx, m.Status.Job))
		return peer.Message{StatusReply: &peer.StatusReply{Status: data}}, eris.Wrap(err, "status")
	}
	return peer.Message{}, eris.New("request is of no known type")
}

// grantRecipients returns functions that send a grant to each entry host of the shard's zone, by the incarnation of the
// host. This host is always included.
func (h *Host) grantRecipients(zone string) map[string]func(peer.Grant) {
	out := map[string]func(peer.Grant){h.incarnation: func(g peer.Grant) {
		now := time.Now()
		ack := h.backends.install(g, now)
		if o, ok := h.shards.get(g.Slots.Shard); ok {
			o.grants.handleAck(h.incarnation, ack)
		}
		h.admission.deliver(h.admission.queue.SetCapacity(now, h.backends.grantedSlots(now)))
	}}
	if zone != h.zone {
		return out
	}
	for _, p := range h.mesh.Zone(zone) {
		out[p.Incarnation] = func(g peer.Grant) { _ = h.mesh.Send(p.Host, peer.Message{Grant: &g}) }
	}
	return out
}
