package slots_test

import (
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/laburnumridge/laburnumridge/internal/slots"
)

const capacity = 4

// takeoverGuard covers the time for which the previous owner still sends grants plus the 2.2 s for which its
// last grant counts as usable (the TTL and the margin for clock drift).
const takeoverGuard = 5 * time.Second

var backendIDs = []string{"b0", "b1"}

// cluster simulates owners, hosts and workers whose messages are lost, delayed and reordered.
type cluster struct {
	// acks and grants are the messages that may still be delivered.
	acks    []slots.Ack
	elapsed time.Duration
	epoch   int64
	// fences is the lowest epoch that the worker of each backend server accepts.
	fences        map[string]int64
	grants        []slots.Grant
	previousOwner *slots.Granter
	// previousOwnerUntil is the elapsed time until which the previous owner sends grants.
	previousOwnerUntil time.Duration
	owner              *slots.Granter
	// rates are the rates of the hosts' clocks.
	rates      []float64
	violations []string
	pools      []*slots.Pool
}

func newCluster() *cluster {
	c := &cluster{fences: map[string]int64{}, rates: []float64{0.92, 1, 1.08}}
	for i := range c.rates {
		c.pools = append(c.pools, slots.NewPool(hostID(i), start))
	}
	c.takeOver()
	return c
}

func hostID(i int) string { return fmt.Sprintf("h%d", i) }

func (c *cluster) now() time.Time { return start.Add(c.elapsed) }

// hostNow returns the time on a host's clock, which runs up to 8% fast or slow.
func (c *cluster) hostNow(i int) time.Time {
	return start.Add(time.Duration(float64(c.elapsed) * c.rates[i]))
}

func (c *cluster) takeOver() {
	c.epoch++
	options := []slots.GranterOption{
		slots.WithMaxRequest(0),
		slots.WithViolationHandler(func(name, detail string) { c.violations = append(c.violations, name+" "+detail) }),
	}
	if c.owner != nil {
		c.previousOwner, c.previousOwnerUntil = c.owner, c.elapsed+takeoverGuard-2200*time.Millisecond
		options = append(options, slots.WithTakeover(c.now().Add(takeoverGuard)))
	}
	c.owner = slots.NewGranter(shard, c.epoch, options...)
	c.owner.SetBackends([]slots.Backend{{ID: "b0", Capacity: capacity}, {ID: "b1", Capacity: capacity}})
}

func (c *cluster) inFlight(backend string) int {
	n := 0
	for _, pool := range c.pools {
		n += pool.InUse(backend)
	}
	return n
}

func (c *cluster) check(t *rapid.T) {
	for _, id := range backendIDs {
		sum := c.inFlight(id)
		for i, pool := range c.pools {
			if free, epoch := pool.Free(id, c.hostNow(i)); epoch >= c.fences[id] {
				sum += free
			}
		}
		if sum > capacity {
			t.Fatalf("%d usable or in use on %s, capacity is %d", sum, id, capacity)
		}
	}
	if len(c.violations) > 0 {
		t.Fatalf("%v", c.violations)
	}
}

func (c *cluster) actions() map[string]func(*rapid.T) {
	host := rapid.IntRange(0, 2)
	backend := rapid.SampledFrom(backendIDs)
	return map[string]func(*rapid.T){
		"": c.check,
		"advance": func(t *rapid.T) {
			c.elapsed += time.Duration(rapid.IntRange(1, 900).Draw(t, "ms")) * time.Millisecond
		},
		"demand":     func(t *rapid.T) { c.demand(host.Draw(t, "host"), rapid.Float64Range(0, 20).Draw(t, "demand")) },
		"drop host":  func(t *rapid.T) { c.owner.SetHosts([]string{hostID(host.Draw(t, "kept"))}) },
		"exchange":   func(t *rapid.T) { c.exchange(host.Draw(t, "host"), rapid.Float64Range(0, 20).Draw(t, "demand")) },
		"fence":      func(t *rapid.T) { c.fence(backend.Draw(t, "backend")) },
		"give ack":   func(t *rapid.T) { deliver(t, &c.acks, c.deliverAck) },
		"give grant": func(t *rapid.T) { deliver(t, &c.grants, c.deliverGrant) },
		"report": func(t *rapid.T) {
			id := backend.Draw(t, "backend")
			n := c.inFlight(id)
			c.owner.InFlight(c.now(), id, n, n)
		},
		"round": func(*rapid.T) {
			c.grants = append(c.grants, c.owner.Round(c.now())...)
			if c.previousOwner != nil && c.elapsed < c.previousOwnerUntil {
				c.grants = append(c.grants, c.previousOwner.Round(c.now())...)
			}
		},
		"release": func(t *rapid.T) { c.pools[host.Draw(t, "host")].Release(backend.Draw(t, "backend")) },
		"send ack": func(t *rapid.T) {
			i := host.Draw(t, "host")
			c.acks = append(c.acks, c.pools[i].Ack(shard, c.hostNow(i)))
		},
		"take": func(t *rapid.T) {
			i, id := host.Draw(t, "host"), backend.Draw(t, "backend")
			for range rapid.IntRange(1, capacity).Draw(t, "slots") {
				if _, epoch := c.pools[i].Free(id, c.hostNow(i)); epoch >= c.fences[id] {
					c.pools[i].Take(id, c.hostNow(i))
				}
			}
		},
		"take over": func(t *rapid.T) {
			// takeoverGuard covers a single earlier owner, so takeovers do not overlap.
			if c.elapsed >= c.previousOwnerUntil && rapid.IntRange(0, 3).Draw(t, "chance") == 0 {
				c.takeOver()
			}
		},
	}
}

func (c *cluster) demand(i int, n float64) {
	c.owner.SetDemand(hostID(i), c.pools[i].Ack(shard, c.hostNow(i)).Stamp, map[string]float64{"": n})
}

// exchange sends a heartbeat, runs a round and delivers its grant and ack for one host, without loss.
func (c *cluster) exchange(i int, demand float64) {
	c.demand(i, demand)
	for _, g := range c.owner.Round(c.now()) {
		if g.Host != hostID(i) {
			c.grants = append(c.grants, g)
			continue
		}
		c.deliverGrant(g)
		c.elapsed += time.Millisecond
		c.owner.Ack(c.pools[i].Ack(shard, c.hostNow(i)))
	}
}

func (c *cluster) fence(backend string) {
	c.fences[backend] = c.epoch
	c.owner.Fenced(c.now(), backend, c.inFlight(backend))
}

func (c *cluster) deliverAck(a slots.Ack) {
	c.owner.Ack(a)
	if c.previousOwner != nil {
		c.previousOwner.Ack(a)
	}
}

func (c *cluster) deliverGrant(g slots.Grant) {
	for h := range c.pools {
		if hostID(h) == g.Host {
			_ = c.pools[h].Install(g, c.hostNow(h))
		}
	}
}

// deliver delivers a random message of the queue, which may stay there to be delivered again.
func deliver[M any](t *rapid.T, queue *[]M, handle func(M)) {
	if len(*queue) == 0 {
		return
	}
	i := rapid.IntRange(0, len(*queue)-1).Draw(t, "message")
	handle((*queue)[i])
	if rapid.Bool().Draw(t, "once") {
		*queue = slices.Delete(*queue, i, i+1)
	}
}

// Guards against pools that together hold more usable slots than a backend server has, when grants and
// acks are lost, repeated, delayed and reordered, clocks drift, hosts are removed and owners change.
func TestUsableSlotsNeverExceedCapacity(t *testing.T) {
	// With the default of 30 steps, a grant rarely expires before a reordered ack arrives.
	assert.NilError(t, flag.Set("rapid.steps", "150"))
	rapid.Check(t, func(t *rapid.T) { t.Repeat(newCluster().actions()) })
}
