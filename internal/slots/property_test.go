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

// takeoverGuard covers the time in which the old owner still acts plus the life of its last grant.
const takeoverGuard = 5 * time.Second

var backendIDs = []string{"b0", "b1"}

// world holds owners, hosts and workers whose messages are lost, delayed and reordered.
type world struct {
	acks       []slots.Ack
	elapsed    time.Duration
	epoch      int64
	fences     map[string]int64
	grants     []slots.Grant
	old        *slots.Granter
	oldUntil   time.Duration
	owner      *slots.Granter
	rates      []float64
	violations []string
	wallets    []*slots.Wallet
}

func newWorld() *world {
	w := &world{fences: map[string]int64{}, rates: []float64{0.92, 1, 1.08}}
	for i := range w.rates {
		w.wallets = append(w.wallets, slots.NewWallet(hostID(i), start))
	}
	w.takeOver()
	return w
}

func hostID(i int) string { return fmt.Sprintf("h%d", i) }

func (w *world) now() time.Time { return start.Add(w.elapsed) }

// hostNow is the time on a host's clock, which runs up to 8% fast or slow.
func (w *world) hostNow(i int) time.Time {
	return start.Add(time.Duration(float64(w.elapsed) * w.rates[i]))
}

func (w *world) takeOver() {
	w.epoch++
	options := []slots.GranterOption{
		slots.WithMaxRequest(0),
		slots.WithViolated(func(name, detail string) { w.violations = append(w.violations, name+" "+detail) }),
	}
	if w.owner != nil {
		w.old, w.oldUntil = w.owner, w.elapsed+takeoverGuard-2200*time.Millisecond
		options = append(options, slots.WithTakeover(w.now().Add(takeoverGuard)))
	}
	w.owner = slots.NewGranter(shard, w.epoch, options...)
	w.owner.SetBackends([]slots.Backend{{ID: "b0", Capacity: capacity}, {ID: "b1", Capacity: capacity}})
}

func (w *world) inFlight(backend string) int {
	n := 0
	for _, wallet := range w.wallets {
		n += wallet.InUse(backend)
	}
	return n
}

func (w *world) check(t *rapid.T) {
	for _, id := range backendIDs {
		sum := w.inFlight(id)
		for i, wallet := range w.wallets {
			if free, epoch := wallet.Free(id, w.hostNow(i)); epoch >= w.fences[id] {
				sum += free
			}
		}
		if sum > capacity {
			t.Fatalf("%d usable or in use on %s, capacity is %d", sum, id, capacity)
		}
	}
	if len(w.violations) > 0 {
		t.Fatalf("%v", w.violations)
	}
}

func (w *world) actions() map[string]func(*rapid.T) {
	host := rapid.IntRange(0, 2)
	backend := rapid.SampledFrom(backendIDs)
	return map[string]func(*rapid.T){
		"": w.check,
		"advance": func(t *rapid.T) {
			w.elapsed += time.Duration(rapid.IntRange(1, 900).Draw(t, "ms")) * time.Millisecond
		},
		"demand":     func(t *rapid.T) { w.demand(host.Draw(t, "host"), rapid.Float64Range(0, 20).Draw(t, "demand")) },
		"drop host":  func(t *rapid.T) { w.owner.SetHosts([]string{hostID(host.Draw(t, "kept"))}) },
		"exchange":   func(t *rapid.T) { w.exchange(host.Draw(t, "host"), rapid.Float64Range(0, 20).Draw(t, "demand")) },
		"fence":      func(t *rapid.T) { w.fence(backend.Draw(t, "backend")) },
		"give ack":   func(t *rapid.T) { deliver(t, &w.acks, w.giveAck) },
		"give grant": func(t *rapid.T) { deliver(t, &w.grants, w.giveGrant) },
		"report": func(t *rapid.T) {
			id := backend.Draw(t, "backend")
			n := w.inFlight(id)
			w.owner.InFlight(w.now(), id, n, n)
		},
		"round": func(*rapid.T) {
			w.grants = append(w.grants, w.owner.Round(w.now())...)
			if w.old != nil && w.elapsed < w.oldUntil {
				w.grants = append(w.grants, w.old.Round(w.now())...)
			}
		},
		"release": func(t *rapid.T) { w.wallets[host.Draw(t, "host")].Release(backend.Draw(t, "backend")) },
		"send ack": func(t *rapid.T) {
			i := host.Draw(t, "host")
			w.acks = append(w.acks, w.wallets[i].Ack(shard, w.hostNow(i)))
		},
		"take": func(t *rapid.T) {
			i, id := host.Draw(t, "host"), backend.Draw(t, "backend")
			for range rapid.IntRange(1, capacity).Draw(t, "slots") {
				if _, epoch := w.wallets[i].Free(id, w.hostNow(i)); epoch >= w.fences[id] {
					w.wallets[i].Take(id, w.hostNow(i))
				}
			}
		},
		"take over": func(t *rapid.T) {
			// One takeover at a time: the guard covers a single earlier owner.
			if w.elapsed >= w.oldUntil && rapid.IntRange(0, 3).Draw(t, "chance") == 0 {
				w.takeOver()
			}
		},
	}
}

func (w *world) demand(i int, n float64) {
	w.owner.SetDemand(hostID(i), w.wallets[i].Ack(shard, w.hostNow(i)).Stamp, map[string]float64{"": n})
}

// exchange is a heartbeat, a round and its grant and ack for one host, without loss.
func (w *world) exchange(i int, demand float64) {
	w.demand(i, demand)
	for _, g := range w.owner.Round(w.now()) {
		if g.Host != hostID(i) {
			w.grants = append(w.grants, g)
			continue
		}
		w.giveGrant(g)
		w.elapsed += time.Millisecond
		w.owner.Ack(w.wallets[i].Ack(shard, w.hostNow(i)))
	}
}

func (w *world) fence(backend string) {
	w.fences[backend] = w.epoch
	w.owner.Fenced(w.now(), backend, w.inFlight(backend))
}

func (w *world) giveAck(a slots.Ack) {
	w.owner.Ack(a)
	if w.old != nil {
		w.old.Ack(a)
	}
}

func (w *world) giveGrant(g slots.Grant) {
	for h := range w.wallets {
		if hostID(h) == g.Host {
			_ = w.wallets[h].Install(g, w.hostNow(h))
		}
	}
}

// deliver hands over any message, which may arrive again later.
func deliver[M any](t *rapid.T, queue *[]M, give func(M)) {
	if len(*queue) == 0 {
		return
	}
	i := rapid.IntRange(0, len(*queue)-1).Draw(t, "message")
	give((*queue)[i])
	if rapid.Bool().Draw(t, "once") {
		*queue = slices.Delete(*queue, i, i+1)
	}
}

// Guards against more usable slots in all wallets than a backend server has, when grants and acks
// are lost, repeated, delayed and reordered, clocks drift, hosts vanish and owners change.
func TestUsableSlotsNeverExceedCapacity(t *testing.T) {
	// The default of 30 steps rarely reaches an expiry followed by a reordered ack.
	assert.NilError(t, flag.Set("rapid.steps", "150"))
	rapid.Check(t, func(t *rapid.T) { t.Repeat(newWorld().actions()) })
}
