package entry

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/laburnumridge/laburnumridge/internal/kvstore"
	"github.com/laburnumridge/laburnumridge/internal/peer"
	"github.com/laburnumridge/laburnumridge/internal/retry"
	"github.com/laburnumridge/laburnumridge/internal/shard"
)

const (
	// exchangeInterval is how often an owner asks other shards for room while tasks wait in its own.
	exchangeInterval = 500 * time.Millisecond
	// shardsAsked is how many other shards an owner asks for room each time.
	shardsAsked = 2
	// promiseTime is how long a shard that has promised room to one owner promises none to others, so that they don't count on the
	// same room.
	promiseTime = 300 * time.Millisecond
)

// askingOrder is the order in which an owner asks other shards for room: each of them before one is asked again, so that a shard with room
// is found among many in a bounded time.
type askingOrder []int

// next returns the next of a number of shards, own excepted.
func (o *askingOrder) next(shards, own int) int {
	if len(*o) == 0 {
		*o = slices.DeleteFunc(rand.Perm(shards), func(n int) bool { return n == own })
	}
	n := (*o)[0]
	*o = (*o)[1:]
	return n
}

// exchangeTasks gives tasks that wait in the shard for too long to other shards that have room for them. Other hosts may have to act for
// these tasks later, so all live ones must know shared jobs.
func (r *runner) exchangeTasks() {
	var order askingOrder
	for r.ctx.Err() == nil {
		retry.Sleep(r.ctx, exchangeInterval)
		if shards := r.host.directory.shardCount(); shards >= 2 && r.host.directory.allShareJobs() {
			r.askForRoom(&order, shards)
		}
	}
}

// askForRoom asks the next shardsAsked shards for room whose workers could hold some of the offered tasks if they were empty.
func (r *runner) askForRoom(order *askingOrder, shards int) {
	offers := r.offers()
	room, _ := r.registryRoom(demandsOf(offers))
	for left, asked := shards-1, 0; left > 0 && asked < shardsAsked && len(offers) > 0; left-- {
		n := order.next(shards, r.shard)
		var held []shard.Offer
		for i, f := range offers {
			if room.of(n, i) > 0 {
				held = append(held, f)
			}
		}
		if len(held) == 0 {
			continue
		}
		asked++
		r.give(n, held)
		offers = r.offers()
		room, _ = r.registryRoom(demandsOf(offers))
	}
}

func demandsOf(offers []shard.Offer) []shard.Demand {
	demands := make([]shard.Demand, len(offers))
	for i, f := range offers {
		demands[i] = f.Demand
	}
	return demands
}

// offers returns the tasks that may move to another shard, or none while this host may not act for the shard.
func (r *runner) offers() []shard.Offer {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.host.now()
	if !r.mayAct(now) || r.appliedLayout == 0 {
		return nil
	}
	return r.owner.Offers(now)
}

// give gives as many of the offered tasks to another shard as it has room for.
func (r *runner) give(to int, offers []shard.Offer) {
	room := r.host.shardRoom(r.ctx, to, demandsOf(offers))
	if len(room) != len(offers) {
		return
	}
	r.updateOwner(func(now time.Time) {
		if !r.mayAct(now) {
			return
		}
		given := 0
		for i, f := range offers {
			given += r.owner.Give(now, f, room[i], to)
		}
		r.log.WithFields(logrus.Fields{"decision": "exchange", "given": given, "room": room, "to": to}).
			Info("another shard has room for tasks that wait")
	})
}

// shardRoom asks the owner of a shard how many tasks of each demand its workers could take at once. It returns nil if that is none, or
// if the owner does not answer in time.
func (h *Host) shardRoom(ctx context.Context, n int, demands []shard.Demand) []int {
	if h.ownedShards.runner(n) != nil {
		return h.ownedShards.promiseRoom(n, demands)
	}
	o, ok := h.directory.owner(n)
	if !ok {
		return nil
	}
	ctx, cancel := withTimeout(ctx, queryTimeout)
	defer cancel()
	m, err := h.request(ctx, o.PeerAddress, peer.Message{RoomQuery: &peer.RoomQuery{Demands: encodeDemands(demands), Shard: n}})
	if err != nil || m.RoomReply == nil {
		return nil
	}
	return m.RoomReply.Room
}

// promiseRoom returns how many tasks of each demand the workers of a shard could take at once. It returns nil if that is none, if this
// host does not own the shard, or if the room has been promised to another owner a moment before.
func (o *ownedShards) promiseRoom(n int, demands []shard.Demand) []int {
	r := o.runner(n)
	if r == nil {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.host.now()
	if !r.mayAct(now) || now.Sub(r.roomPromisedAt) < promiseTime {
		return nil
	}
	room, sum := r.owner.Room(now, demands), 0
	for _, n := range room {
		sum += n
	}
	if sum == 0 {
		return nil
	}
	r.roomPromisedAt = now
	return room
}

// withSharedRecords returns a transaction that also writes what the other shards of a shared job read. It deletes what they wrote once the
// job has ended.
func (r *runner) withSharedRecords(t kvstore.Txn, w shard.JobWrite) kvstore.Txn {
	s := w.Shared
	for _, record := range s.Records {
		t.Puts = append(t.Puts, kvstore.Put{Key: jobKey(record.Shard, w.Job), Value: record.Value})
	}
	switch {
	case s.Returned != nil:
		t.Puts = append(t.Puts, kvstore.Put{Key: returnedKey(s.Home, w.Job, r.shard), Value: s.Returned})
	case w.Final != "" && s.IsGuest:
		t.Deletes = append(t.Deletes, returnedKey(s.Home, w.Job, r.shard))
	case w.Final != "":
		for _, guest := range s.Guests {
			t.Deletes = append(t.Deletes, returnedKey(r.shard, w.Job, guest))
		}
	}
	return t
}
