package entry

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/laburnumridge/laburnumridge/internal/exchange"
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
	// maxUnansweredRoom is how many questions for room a shard may leave without an answer in a row until tasks are given to it unasked that
	// its workers could hold and no worker of their own shard could. A single answer may be lost.
	maxUnansweredRoom = 2
)

// roomQueries are the questions for room that an owner asks other shards.
type roomQueries struct {
	// classes chooses the classes of tasks in a question.
	classes *exchange.Questions
	// turn holds the shards that are still to be asked, until each has been asked once. A shard with room is found among many in a bounded
	// time so.
	turn []int
	// unanswered is how many of the last questions to a shard got no answer.
	unanswered map[int]int
}

// next returns the next of a number of shards, own excepted.
func (q *roomQueries) next(shards, own int) int {
	if len(q.turn) == 0 {
		q.turn = slices.DeleteFunc(rand.Perm(shards), func(n int) bool { return n == own })
	}
	n := q.turn[0]
	q.turn = q.turn[1:]
	return n
}

// note notes whether a shard has answered, and reports whether it has left maxUnansweredRoom questions unanswered.
func (q *roomQueries) note(n int, isAnswered bool) bool {
	if isAnswered {
		delete(q.unanswered, n)
	} else {
		q.unanswered[n]++
	}
	return q.unanswered[n] >= maxUnansweredRoom
}

// exchangeTasks gives tasks that wait in the shard for too long to other shards that have room for them. Other hosts may have to act for
// these tasks later, so all live ones must know shared jobs.
func (r *runner) exchangeTasks() {
	q := roomQueries{classes: exchange.NewQuestions(), unanswered: map[int]int{}}
	for r.ctx.Err() == nil {
		retry.Sleep(r.ctx, exchangeInterval)
		if shards := r.host.directory.shardCount(); shards >= 2 && r.host.directory.allShareJobs() {
			r.askForRoom(&q, shards)
		}
	}
}

// askForRoom asks the next shardsAsked shards for room whose workers could hold some of the offered tasks if they were empty.
func (r *runner) askForRoom(q *roomQueries, shards int) {
	capacities := r.capacities()
	for left, asked := shards-1, 0; left > 0 && asked < shardsAsked; asked++ {
		offers := r.offers()
		if len(offers) == 0 {
			return
		}
		var held []shard.Offer
		n := 0
		for ; len(held) == 0 && left > 0; left-- {
			n = q.next(shards, r.shard)
			held = slices.DeleteFunc(slices.Clone(offers), func(f shard.Offer) bool { return !capacities.Holds(n, f.Demand) })
		}
		if len(held) > 0 {
			r.give(q, n, held)
		}
	}
}

// limitCounts limits the numbers of tasks of some offers to those that a shard could hold if it were empty.
func (r *runner) limitCounts(n int, offers []shard.Offer) {
	could, _ := r.registryRoom(demandsOf(offers))
	for i := range offers {
		offers[i].Count = could.of(n, i)
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

// give asks another shard for room for some of the offered tasks that it could hold, and gives it as many as it has room for. If the shard does not
// answer, it gets tasks that no worker of this one could hold: they lose nothing, and are returned if they find no room there.
func (r *runner) give(q *roomQueries, to int, held []shard.Offer) {
	classes := demandsOf(held)
	selected := q.classes.Select(to, classes)
	offers := make([]shard.Offer, len(selected))
	for i, k := range selected {
		offers[i] = held[k]
	}
	r.limitCounts(to, offers)
	room, isAnswered := r.host.shardRoom(r.ctx, to, demandsOf(offers))
	q.classes.Note(to, classes, selected, room)
	isSilent := q.note(to, isAnswered)
	if isSilent {
		room = make([]int, len(offers))
		for i, f := range offers {
			if f.IsUnsuited {
				room[i] = f.Count
			}
		}
	}
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
		if given > 0 {
			r.log.WithFields(logrus.Fields{"decision": "exchange", "given": given, "room": room, "silent": isSilent, "to": to}).
				Info("another shard has room for tasks that wait, or is silent and could hold them")
		}
	})
}

// shardRoom asks the owner of a shard how many tasks of each demand its workers could take at once. It returns nil if the owner does not say, and
// false if there is no answer in time.
func (h *Host) shardRoom(ctx context.Context, n int, demands []shard.Demand) (room []int, isAnswered bool) {
	if h.ownedShards.runner(n) != nil {
		return h.ownedShards.promiseRoom(n, demands), true
	}
	o, ok := h.directory.owner(n)
	if !ok {
		return nil, false
	}
	ctx, cancel := withTimeout(ctx, queryTimeout)
	defer cancel()
	m, err := h.request(ctx, o.PeerAddress, peer.Message{RoomQuery: &peer.RoomQuery{Demands: encodeDemands(demands), Shard: n}})
	if err != nil || m.RoomReply == nil {
		return nil, false
	}
	return m.RoomReply.Room, true
}

// promiseRoom returns how many tasks of each demand the workers of a shard could take at once. It returns nil if this host does not own the
// shard, or if the room has been promised to another owner a moment before.
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
	if sum > 0 {
		r.roomPromisedAt = now
	}
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
