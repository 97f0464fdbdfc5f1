package host

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/laburnumridge/laburnumridge/internal/election"
	"github.com/laburnumridge/laburnumridge/internal/fleet"
	"github.com/laburnumridge/laburnumridge/internal/peer"
)

// entryHostStrength is the strength of every entry host in decisions on shards, since hosts do not report theirs here.
const entryHostStrength = 1

// rebalancer keeps the histories of the zone's entry hosts, by which rebalance leaves hosts alone that come and go.
type rebalancer struct {
	histories map[string]election.History
	mu        sync.Mutex
	// owned is the shards of each host in the last round, sorted.
	owned map[string][]string
}

func newRebalancer() *rebalancer {
	return &rebalancer{histories: map[string]election.History{}, owned: map[string][]string{}}
}

// observe updates the histories from the incarnations and shards of the hosts that are present, and returns these hosts as
// members.
func (r *rebalancer) observe(now time.Time, incarnations map[string]string, owned map[string][]string) map[string]election.Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	for host, history := range r.histories {
		if _, ok := incarnations[host]; !ok {
			history = history.WithRecordGone()
			r.histories[host] = history
			if history.IsForgettable(now) {
				delete(r.histories, host)
			}
		}
	}
	members := map[string]election.Member{}
	for host, incarnation := range incarnations {
		history := r.histories[host].WithRecord(now, incarnation)
		if !slices.Equal(r.owned[host], owned[host]) {
			history = history.WithOwnershipChange(now)
		}
		r.histories[host] = history
		members[host] = history.Member(now, election.Candidate{
			Host: host, Shards: len(owned[host]), Strength: entryHostStrength,
		})
	}
	r.owned = owned
	return members
}

// recordMissed records that a host did not take a shard that was handed to it.
func (r *rebalancer) recordMissed(host string, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if history, ok := r.histories[host]; ok {
		r.histories[host] = history.WithMissedHandover(now)
	}
}

// rebalance starts to move one shard of the zone to a less loaded host of the zone if election.Rebalance decides so. Nothing is
// moved while this host may lose its platform lease, or while a shard has no owner, since other hosts may be about to take it.
func (s *shards) rebalance(now time.Time) {
	owned := s.ownedByHost(now)
	incarnations := map[string]string{s.host.id: s.host.incarnation}
	for _, p := range s.zonePeers() {
		incarnations[p.Host] = p.Incarnation
	}
	members := s.rebalancer.observe(now, incarnations, owned)
	if s.host.isDraining() || !s.host.session.isValid(now) || s.moves.isAnyActive() || !s.isEveryShardOwned(owned) {
		return
	}
	self := members[s.host.id]
	delete(members, s.host.id)
	var others []election.Member
	for _, m := range members {
		others = append(others, m)
	}
	decision, ok := election.Rebalance(self, s.movable(now), others)
	if !ok {
		return
	}
	s.startMove(fleet.ShardID{Index: decision.Shard, Zone: s.host.zone}, decision.To.Host, fmt.Sprintf(
		"%s owns %d shards, %s owns %d", decision.From.Host, decision.From.Shards, decision.To.Host, decision.To.Shards))
}

// zonePeers returns the connected entry hosts of the zone that are not draining.
func (s *shards) zonePeers() []peer.Status {
	return slices.DeleteFunc(s.host.mesh.Zone(s.host.zone), func(p peer.Status) bool { return s.host.isPeerDraining(p.Host) })
}

// ownedByHost returns the shards of each host, sorted: those of this host, and what the heartbeats of its peers say.
func (s *shards) ownedByHost(now time.Time) map[string][]string {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := map[string][]string{}
	for id := range s.owned {
		out[s.host.id] = append(out[s.host.id], id.String())
	}
	for id, w := range s.lastOwners {
		if s.owned[id] == nil && now.Sub(w.seenAt) < heartbeatValidity {
			out[w.host] = append(out[w.host], id.String())
		}
	}
	for _, list := range out {
		slices.Sort(list)
	}
	return out
}

func (s *shards) isEveryShardOwned(owned map[string][]string) bool {
	found := map[string]bool{}
	for _, list := range owned {
		for _, id := range list {
			found[id] = true
		}
	}
	for i := range s.shardCount(s.host.zone) {
		if !found[(fleet.ShardID{Index: i, Zone: s.host.zone}).String()] {
			return false
		}
	}
	return true
}

// movable returns the zone's shards that this host owns and whose keys it serves. Shards without workers have no keys.
func (s *shards) movable(now time.Time) []int {
	var out []int
	for _, o := range s.all() {
		if o.id.Zone == s.host.zone && (s.host.keyTables.mayClaim(o.id, now) || len(o.workers()) == 0) {
			out = append(out, o.id.Index)
		}
	}
	return out
}
