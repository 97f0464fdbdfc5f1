package ledger_test

import (
	"fmt"
	"time"

	"github.com/laburnumridge/laburnumridge/internal/fleet"
	"github.com/laburnumridge/laburnumridge/internal/ledger"
)

// simHost is an entry host that may own the shard.
type simHost struct {
	batches     int
	cutUntil    time.Time // cutUntil is when the host can reach the platform again.
	id          string
	life        int
	nextRenewal time.Time
	nextTry     time.Time
	owner       *ledger.Owner
	pausedUntil time.Time
	rate        float64
	renewedAt   time.Time
	s           *sim
	seq         int
	writer      string
}

func (h *simHost) clock() time.Time {
	return t0.Add(time.Duration(h.rate * float64(h.s.now.Sub(t0))))
}

// inLife wraps what runs later so that it waits for the end of a pause and is dropped after a crash.
func (h *simHost) inLife(do func()) func() {
	life := h.life
	var run func()
	run = func() {
		if h.life != life {
			return
		}
		if h.s.now.Before(h.pausedUntil) {
			h.s.at(h.pausedUntil, run)
			return
		}
		do()
	}
	return run
}

// call sends to the platform; reply gets false if the outcome is unknown.
func (h *simHost) call(request func() bool, reply func(known, ok bool)) {
	if h.s.now.Before(h.cutUntil) || h.s.store.outage {
		h.s.after(time.Second, h.inLife(func() { reply(false, false) }))
		return
	}
	h.s.after(h.s.delay(), func() {
		ok := request()
		if h.s.faulty() && h.s.r.IntN(15) == 0 {
			h.s.count["lost answers"]++
			h.s.after(time.Second, h.inLife(func() { reply(false, false) }))
			return
		}
		h.s.after(h.s.delay(), h.inLife(func() { reply(true, ok) }))
	})
}

func (h *simHost) crash() {
	h.life++
	h.owner = nil
	h.pausedUntil = h.s.now.Add(h.s.upTo(10 * time.Second))
}

func (h *simHost) tick() {
	if h.s.now.Before(h.pausedUntil) {
		return
	}
	h.renew()
	if h.owner == nil || h.owner.IsDeposed() {
		h.owner = nil
		h.takeOver()
		return
	}
	var hosts []fleet.Host
	for _, w := range h.s.workers {
		if w.listed {
			hosts = append(hosts, fleet.Host{ID: w.id, Capacity: size(4), State: fleet.StateLive})
		}
	}
	h.owner.HostList(h.clock(), hosts)
	h.drive()
	a := h.owner.Tick(h.clock())
	// A pause here lies between the owner's check and the sending.
	if h.s.faulty() && !h.s.calm && (h.s.r.IntN(700) == 0 || len(a.Starts) > 0 && h.s.r.IntN(20) == 0) {
		h.s.pause(h)
	}
	for _, c := range a.Contacts {
		h.exchange(c.Worker, func(w *simWorker, o *ledger.Owner) func() {
			r, ok := w.contact(c)
			if !ok {
				epoch := w.epoch
				return func() { o.ContactRefused(c, epoch) }
			}
			return func() { o.Reported(h.clock(), c, r) }
		})
	}
	for _, m := range a.Starts {
		h.exchange(m.Worker, func(w *simWorker, o *ledger.Owner) func() {
			ok, last, answered := w.start(m)
			switch {
			case !answered:
				return nil
			case ok:
				return func() { o.Started(h.clock(), m) }
			}
			return func() { o.StartRefused(h.clock(), m, last, "refused") }
		})
	}
	for _, m := range a.Stops {
		h.exchange(m.Worker, func(w *simWorker, o *ledger.Owner) func() {
			t, ok := w.stop(m)
			if !ok {
				return nil
			}
			return func() { o.Stopped(h.clock(), m, t) }
		})
	}
	if a.Commit != nil {
		h.commit(*a.Commit)
	}
}

// exchange sends a request to a worker and its response back, each delayed, lost or doubled.
func (h *simHost) exchange(worker string, handle func(*simWorker, *ledger.Owner) func()) {
	w, o := h.s.worker(worker), h.owner
	h.s.carry(h.pausedUntil, func() {
		if w.down || w.isCut(h.id) {
			return
		}
		w.expire()
		respond := handle(w, o)
		if respond == nil {
			return
		}
		h.s.carry(h.s.now, h.inLife(func() {
			if !w.isCut(h.id) && !w.mute[h.id] && h.owner == o {
				respond()
			}
		}))
	})
}

func (h *simHost) commit(c ledger.Commit) {
	if !c.Resolve || h.writer == "" {
		h.batches++
		h.writer = fmt.Sprintf("%s-%d-%d", h.id, h.life, h.batches)
	}
	o, seq, writer := h.owner, h.seq, h.writer
	data, err := c.Batch.Encode()
	if err != nil {
		h.s.fail("encode", err.Error())
	}
	h.call(func() bool { return h.s.store.append(seq, writer, data) }, func(known, ok bool) {
		switch {
		case h.owner != o:
		case !known:
			o.OutcomeUnknown()
		case ok:
			h.seq++
			o.Committed(h.clock())
		default:
			o.Conflicted()
		}
	})
}

func (h *simHost) renew() {
	if h.s.now.Before(h.nextRenewal) {
		return
	}
	h.nextRenewal = h.s.now.Add(3 * time.Second)
	sent, lapsed, revision, epoch := h.clock(), false, 0, int64(0)
	renewed := func() {
		h.renewedAt = sent
		if h.owner != nil {
			h.owner.LeaseRenewed(sent)
		}
	}
	h.call(func() bool {
		lapsed = h.s.store.renew(h.id)
		revision, epoch = h.s.store.record, h.s.store.epoch
		return true
	}, func(known, _ bool) {
		if !known {
			return
		}
		if !lapsed || h.owner == nil {
			renewed()
			return
		}
		// The lease lapsed, so another host may be about to take over: the record is written first.
		o := h.owner
		if epoch != o.Epoch() {
			o.Conflicted()
			return
		}
		h.call(func() bool { return h.s.store.swapRecord(revision, h.id, epoch) }, func(known, ok bool) {
			if !known || !ok || h.owner != o {
				h.owner = nil
				return
			}
			renewed()
		})
	})
}

func (h *simHost) takeOver() {
	if h.s.now.Before(h.nextTry) || h.clock().Sub(h.renewedAt) > 6*time.Second {
		return
	}
	h.nextTry = h.s.now.Add(2 * time.Second)
	p, revision, epoch := h.s.store, 0, int64(0)
	h.call(func() bool {
		revision, epoch = p.record, p.epoch+1
		return p.owner == h.id || !p.isLive(p.owner)
	}, func(known, free bool) {
		if !known || !free {
			return
		}
		h.call(func() bool { return p.swapRecord(revision, h.id, epoch) }, func(known, ok bool) {
			if !known || !ok {
				return
			}
			var state ledger.State
			seq := 0
			h.call(func() bool { state, seq = p.read(); return true }, func(known, _ bool) {
				if known && h.owner == nil {
					h.seq, h.writer = seq, ""
					timing := ledger.DefaultTiming()
					timing.Lease = workerLease
					timing.Autonomy = simAutonomy
					h.owner = ledger.NewOwner(state, h.id, epoch, h.renewedAt, ledger.WithTiming(timing),
						ledger.WithViolated(h.s.fail))
				}
			})
		})
	})
}

// drive stands in for intake, placement and eviction.
func (h *simHost) drive() {
	s, o := h.s, h.owner
	for _, j := range s.jobs {
		if j.at.Before(s.now) {
			o.Accept(j.Job)
			record, ok := o.State().Job(j.ID)
			if ok && j.withdraw && !record.Withdrawn && s.r.IntN(50) == 0 {
				_ = o.Withdraw(j.ID, "cancelled")
			}
		}
	}
	for _, c := range o.Unbound(h.clock()) {
		if c.Worker != "" && s.worker(c.Worker).listed && (s.r.IntN(3) != 0 || !s.faulty() && s.r.IntN(10) != 0) {
			continue
		}
		if w := s.workers[s.r.IntN(len(s.workers))]; w.listed && o.Bind(c.Task, w.id) == nil && c.Worker != "" {
			s.count["rebinds"]++
		}
	}
	if tasks := o.State().Tasks(); s.faulty() && len(tasks) > 0 && s.r.IntN(30) == 0 {
		if o.Evict(h.clock(), tasks[s.r.IntN(len(tasks))].ID, s.upTo(6*time.Second)) == nil {
			s.count["evictions"]++
		}
	}
}
