package entry

import (
	"time"

	"github.com/laburnumridge/laburnumridge/internal/election"
)

const (
	// joinSettleTime is the time without a new host after which the directory is taken to know all hosts that are starting.
	joinSettleTime = time.Second
	// successorDelay is how long other hosts leave a shard that was handed over to its successor. It is ten times as long as
	// the successor usually needs to take the shard.
	successorDelay = 400 * time.Millisecond
)

// claimDelay returns how long self waits before it claims a shard that has no owner. owned is the number of shards that self
// owns.
func (d *directory) claimDelay(self hostRecord, shard, owned int) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	var delay time.Duration
	switch successor, ok := d.successor(shard); {
	case ok && successor.Incarnation == self.Incarnation:
		return 0
	case ok:
		delay = successorDelay
	}
	var others []election.Candidate
	for _, m := range d.members() {
		if m.Host != self.Host {
			others = append(others, m.Candidate)
		}
	}
	// Without its own record, the view is older than the host's lease: the records of all hosts may have ended with it.
	registered, ok := d.hosts[hostPrefix+self.Host]
	isIncomplete := !ok || registered.Incarnation != self.Incarnation || d.now().Sub(d.lastJoin) < joinSettleTime
	delay += d.panicClaimDelay(shard)
	if d.hasFailedLoad(self.Host) {
		delay += election.LastClaimDelay(len(others))
	}
	var formerOwners []float64
	for _, h := range d.formerOwners {
		formerOwners = append(formerOwners, h.Strength)
	}
	return delay + election.ClaimDelay(election.Candidate{Host: self.Host, Shards: owned, Strength: self.Strength}, others, shard,
		isIncomplete, formerOwners...)
}

// successor returns the live host to which the last owner of a shard has handed it over. The caller holds d.mu.
func (d *directory) successor(shard int) (hostRecord, bool) {
	s, ok := d.successors[shard]
	if !ok || s.revision <= d.epochs[shard] {
		return hostRecord{}, false
	}
	return d.activeHost(s.Incarnation)
}

// activeHost returns the live host with this incarnation, and whether there is one that is not draining. The caller holds d.mu.
func (d *directory) activeHost(incarnation string) (hostRecord, bool) {
	for _, h := range d.hosts {
		if h.Incarnation == incarnation {
			return h, !h.Draining
		}
	}
	return hostRecord{}, false
}

// members returns the live hosts that are not draining, with the shards that they own. The caller holds d.mu.
func (d *directory) members() []election.Member {
	shards := map[string]int{}
	for _, o := range d.owners {
		shards[o.Incarnation]++
	}
	var out []election.Member
	for _, h := range d.hosts {
		if !h.Draining {
			out = append(out, d.histories[h.Host].Member(d.now(), election.Candidate{
				Host: h.Host, Shards: shards[h.Incarnation], Strength: h.Strength,
			}))
		}
	}
	return out
}

// rebalancingView returns self and the other live hosts that are not draining. Shards that self is handing over count as their
// receivers', which are not stable because of them. It returns false while the view is not complete: self is not registered, or one
// of the other shards has no owner, so that hosts may be about to claim it.
func (d *directory) rebalancingView(self hostRecord, receivers map[int]string) (own election.Member, others []election.Member, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	received, given := map[string]int{}, 0
	for n := range d.layout.Shards {
		owner, isOwned := d.owners[n]
		receiver, isGiven := receivers[n]
		switch {
		case !isOwned && !isGiven:
			return election.Member{}, nil, false
		case isGiven && isOwned && owner.Incarnation == self.Incarnation:
			given++
			received[receiver]++
		case isGiven && !isOwned:
			received[receiver]++
		}
	}
	for _, m := range d.members() {
		if n := received[m.Host]; n > 0 {
			m.Shards, m.StableFor = m.Shards+n, 0
		}
		if m.Host == self.Host {
			own, ok = m, true
			own.Giving, own.Shards = len(receivers), m.Shards-given
		} else {
			others = append(others, m)
		}
	}
	return own, others, ok
}

// host returns the record of the live host with this name.
func (d *directory) host(name string) (hostRecord, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	h, ok := d.hosts[hostPrefix+name]
	return h, ok
}
