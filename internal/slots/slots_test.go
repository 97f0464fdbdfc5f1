package slots_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/laburnumridge/laburnumridge/internal/fleet"
	"github.com/laburnumridge/laburnumridge/internal/slots"
)

var (
	shard = fleet.ShardID{Zone: "kelaniya"}
	start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
)

const round = 500 * time.Millisecond

// pair is an owner and two hosts that share one backend server with 8 slots.
type pair struct {
	granter *slots.Granter
	now     time.Time
	pools   map[string]*slots.Pool
}

func newPair(options ...slots.GranterOption) *pair {
	p := &pair{granter: slots.NewGranter(shard, 7, options...), now: start, pools: map[string]*slots.Pool{}}
	p.granter.SetBackends([]slots.Backend{{ID: "b", Capacity: 8, Service: "s"}})
	for _, h := range []string{"h1", "h2"} {
		p.pools[h] = slots.NewPool(h, start)
	}
	return p
}

// step sets the demands, runs one round and delivers its grants and acks, except for silent hosts.
func (p *pair) step(demand1, demand2 float64, silent ...string) {
	isSilent := map[string]bool{}
	for _, h := range silent {
		isSilent[h] = true
	}
	for h, d := range map[string]float64{"h1": demand1, "h2": demand2} {
		if !isSilent[h] {
			p.granter.SetDemand(h, p.pools[h].Ack(shard, p.now).Stamp, map[string]float64{"s": d})
		}
	}
	for _, g := range p.granter.Round(p.now) {
		if !isSilent[g.Host] {
			_ = p.pools[g.Host].Install(g, p.now)
			p.granter.Ack(p.pools[g.Host].Ack(shard, p.now.Add(time.Millisecond)))
		}
	}
	p.now = p.now.Add(round)
}

func (p *pair) free(host string) int {
	n, _ := p.pools[host].Free("b", p.now)
	return n
}

// Guards against grants that do not follow demand, and against an idle host without a slot.
func TestSlotsFollowDemand(t *testing.T) {
	p := newPair()
	for range 3 {
		p.step(0, 0)
	}
	assert.Equal(t, p.free("h1"), 4)
	assert.Equal(t, p.free("h2"), 4)
	for range 3 {
		p.step(50, 0)
	}
	assert.Equal(t, p.free("h1"), 8)
	for range 3 {
		p.step(6, 0)
	}
	assert.Equal(t, p.free("h1"), 7)
	assert.Equal(t, p.free("h2"), 1)
}

// Guards against granting slots that another host still uses after its grant was lowered, and against
// losing count of requests that run longer than the grant.
func TestLoweredGrantWaitsForUse(t *testing.T) {
	p := newPair()
	p.step(0, 0)
	for range 4 {
		assert.Assert(t, p.pools["h1"].Take("b", p.now))
	}
	for range 10 {
		p.step(0, 100)
		assert.Equal(t, p.free("h2"), 4)
		assert.Assert(t, !p.pools["h1"].Take("b", p.now))
	}
	p.pools["h1"].Release("b")
	p.step(0, 100)
	p.step(0, 100)
	assert.Equal(t, p.free("h2"), 5)
}

// Guards against granting a silent host's slots to others before its grant has expired, and before the
// worker has reported that the host's requests have ended.
func TestSilentHostKeepsItsSlotsUntilExpiry(t *testing.T) {
	p := newPair(slots.WithMaxRequest(0))
	p.step(0, 0)
	p.step(0, 0)
	p.pools["h1"].Take("b", p.now)
	p.granter.SetHosts([]string{"h2"})
	for range 4 {
		p.step(0, 100, "h1")
		assert.Equal(t, p.free("h2"), 4)
	}
	p.step(0, 100, "h1")
	assert.Equal(t, p.free("h1"), 0)
	p.granter.InFlight(p.now, "b", 1, 1)
	p.step(0, 100, "h1")
	assert.Equal(t, p.free("h2"), 7)
	p.pools["h1"].Release("b")
	p.granter.InFlight(p.now, "b", 0, 0)
	p.step(0, 100, "h1")
	assert.Equal(t, p.free("h2"), 8)
}

// Guards against late reports that hide requests started after they were sent: an ack sent before the
// grant expired, an ack overtaken by a newer one, and a worker's count taken while the grant was usable.
func TestLateReportsDoNotHideUse(t *testing.T) {
	for name, late := range map[string]func(p *pair, before slots.Ack){
		"ack before expiry": func(p *pair, before slots.Ack) { p.granter.Ack(before) },
		"overtaken ack": func(p *pair, before slots.Ack) {
			p.granter.Ack(p.pools["h1"].Ack(shard, p.now))
			p.granter.Ack(before)
		},
		"worker count": func(p *pair, _ slots.Ack) { p.granter.InFlight(start.Add(time.Second), "b", 0, 0) },
	} {
		t.Run(name, func(t *testing.T) {
			p := newPair(slots.WithMaxRequest(0))
			p.step(0, 0)
			before := p.pools["h1"].Ack(shard, p.now)
			for range 4 {
				assert.Assert(t, p.pools["h1"].Take("b", p.now))
			}
			p.now = p.now.Add(3 * time.Second)
			p.granter.SetHosts(nil)
			assert.Equal(t, p.granter.Held(p.now, "b"), 8)
			late(p, before)
			assert.Assert(t, p.granter.Held(p.now, "b") >= 4+4)
		})
	}
}

// Guards against an ack sent before a host was removed: applied after its return, the ack would count as
// slots in use and turn into a grant while another host holds all slots.
func TestAckOfRemovedHostIsNotGranted(t *testing.T) {
	p := newPair(slots.WithMaxRequest(0))
	p.step(0, 0)
	p.pools["h1"].Take("b", p.now)
	p.now = start.Add(2300 * time.Millisecond)
	late := p.pools["h1"].Ack(shard, p.now)
	p.pools["h1"].Release("b")
	p.granter.SetHosts([]string{"h2"})
	p.granter.Round(p.now)
	p.granter.Ack(p.pools["h1"].Ack(shard, p.now.Add(time.Millisecond)))
	for range 3 {
		p.step(0, 0, "h1")
	}
	assert.Equal(t, p.free("h2"), 8)
	p.granter.SetDemand("h1", p.pools["h1"].Ack(shard, p.now).Stamp, nil)
	p.granter.Ack(late)
	assert.Equal(t, p.granter.Held(p.now, "b"), 8)
	assert.Equal(t, len(p.granter.Round(p.now)[0].Counts), 0)
}

// Guards against grants of a new owner for slots that grants of the previous owner may still use.
func TestTakeoverGrantsOnlyUnusedSlots(t *testing.T) {
	p := newPair(slots.WithTakeover(start.Add(5 * time.Second)))
	p.granter.InFlight(start, "b", 1, 1)
	p.step(0, 0)
	assert.Equal(t, p.free("h1")+p.free("h2"), 0)
	p.granter.Fenced(p.now, "b", 3)
	p.step(0, 0)
	assert.Equal(t, p.free("h1")+p.free("h2"), 5)

	p = newPair(slots.WithTakeover(start.Add(5 * time.Second)))
	for range 10 {
		p.granter.InFlight(p.now, "b", 2, 2)
		p.step(0, 0)
		assert.Equal(t, p.free("h1")+p.free("h2"), 0)
	}
	p.step(0, 0)
	assert.Equal(t, p.free("h1")+p.free("h2"), 6)
}

// Guards against installing grants that are expired, repeated, of a lower epoch or for another host.
func TestPoolRefusesStaleGrants(t *testing.T) {
	pool := slots.NewPool("h1", start)
	now := start.Add(time.Second)
	base := slots.Grant{
		Counts: map[string]int{"b": 2}, Epoch: 5, Host: "h1", Seq: 3, Shard: shard,
		Stamp: slots.Stamp(time.Second), TTL: slots.DefaultTTL,
	}
	assert.NilError(t, pool.Install(base, now))
	for name, change := range map[string]func(*slots.Grant){
		"expired":      func(g *slots.Grant) { g.Seq, g.Stamp = 4, slots.Stamp(-2*time.Second) },
		"lower epoch":  func(g *slots.Grant) { g.Epoch, g.Seq = 4, 9 },
		"other host":   func(g *slots.Grant) { g.Host, g.Seq = "h2", 4 },
		"repeated":     func(*slots.Grant) {},
		"future stamp": func(g *slots.Grant) { g.Seq, g.Stamp = 4, slots.Stamp(time.Hour) },
	} {
		t.Run(name, func(t *testing.T) {
			g := base
			change(&g)
			assert.ErrorIs(t, pool.Install(g, now), slots.ErrStale)
		})
	}
	assert.Assert(t, pool.Take("b", now))
	assert.Assert(t, !pool.Take("b", now.Add(slots.DefaultTTL)))
	pool.Fence(shard, 6)
	assert.Assert(t, !pool.Take("b", now))
	assert.Equal(t, pool.InUse("b"), 1)
}

// Guards against sending all counts in every round, and against renewing counts that a host has not
// installed.
func TestUnchangedGrantsOnlyRenew(t *testing.T) {
	p := newPair()
	for range 3 {
		p.step(0, 0)
	}
	p.granter.SetDemand("h1", p.pools["h1"].Ack(shard, p.now).Stamp, nil)
	g := p.granter.Round(p.now)[0]
	assert.Equal(t, len(g.Counts), 0)
	assert.Equal(t, g.RenewedSeq, int64(1))
	fresh := slots.NewPool("h1", start)
	assert.ErrorIs(t, fresh.Install(g, p.now), slots.ErrCountsNotReceived)
	assert.NilError(t, p.pools["h1"].Install(g, p.now))
	p.now = p.now.Add(slots.DefaultTTL - time.Millisecond)
	assert.Equal(t, p.free("h1"), 4)

	p.pools["h1"] = fresh
	for range 20 {
		p.step(0, 0)
	}
	assert.Equal(t, p.free("h1"), 4)
}

func BenchmarkRound(b *testing.B) {
	for _, n := range []int{8, 50, 200, 600} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			g := slots.NewGranter(shard, 1)
			var backends []slots.Backend
			for i := range n {
				backends = append(backends, slots.Backend{ID: fmt.Sprint(i), Capacity: 8, Service: fmt.Sprint(i % 5)})
			}
			g.SetBackends(backends)
			now, seq := start, int64(0)
			b.ReportAllocs()
			for b.Loop() {
				now, seq = now.Add(round), seq+1
				for h := range 8 {
					host, stamp := fmt.Sprint(h), slots.Stamp(now.Sub(start))
					g.SetDemand(host, stamp, map[string]float64{"0": float64((int(seq) + h) % 8)})
					g.Ack(slots.Ack{Epoch: 1, Host: host, Seq: seq - 1, Shard: shard, Stamp: stamp})
				}
				g.Round(now)
			}
		})
	}
}

// Guards against a panic when a worker's report arrives after an ack whose InUse was decoded as nil, from a
// host that holds no grant yet.
func TestWorkerReportBeforeFirstGrantDoesNotPanic(t *testing.T) {
	p := newPair()
	ack := p.pools["h1"].Ack(shard, p.now)
	p.granter.SetDemand("h1", ack.Stamp, map[string]float64{"s": 1})
	ack = p.pools["h1"].Ack(shard, p.now.Add(time.Second))
	ack.Epoch, ack.InUse = 7, nil
	p.granter.Ack(ack)
	p.granter.InFlight(p.now.Add(time.Second), "b", 0, 0)
	p.now = p.now.Add(2 * time.Second)
	p.step(1, 1)
	p.step(1, 1)
	assert.Equal(t, p.free("h1"), 4)
}
