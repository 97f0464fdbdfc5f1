package measure

import (
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/laburnumridge/laburnumridge/internal/admission"
	"github.com/laburnumridge/laburnumridge/internal/retry"
	"github.com/laburnumridge/laburnumridge/internal/routing"
)

const (
	// failTime is how long a worker that fails everything takes to say so.
	failTime = 2 * time.Millisecond
	// noBackendWait, hedgeFallback and lostHold are those of the entry host.
	noBackendWait = 300 * time.Millisecond
	hedgeFallback = 500 * time.Millisecond
	lostHold      = time.Second
)

// entry is the stand-in of an entry host around the real admission queue, routers and retry budgets.
type entry struct {
	admission *admission.Queue
	backoff   *retry.Backoff
	budget    *retry.Budget
	down      bool
	index     int
	latencies map[string]*retry.Latency
	requests  map[string]*request
	rng       *rand.Rand
	routers   map[string]router
	seq       int
	used      map[string]int
	waiting   []*request
	world     *world
}

// request is one request of a caller over its attempts.
type request struct {
	admission.Request
	done     bool
	entry    *entry
	excluded []string
	pending  int
	since    time.Time
	tries    int
}

func newEntry(w *world, index int, seed uint64) *entry {
	e := &entry{
		backoff: retry.NewBackoff(10*time.Millisecond, time.Second, seed), budget: retry.NewBudget(w.now), index: index,
		latencies: map[string]*retry.Latency{}, requests: map[string]*request{},
		rng: rand.New(rand.NewPCG(seed, uint64(10+index))), routers: map[string]router{}, used: map[string]int{}, world: w,
	}
	shares := map[string]float64{}
	usable := map[string]bool{}
	for i, s := range w.services {
		shares[s.Name] = s.Share
		e.latencies[s.Name] = retry.NewLatency(hedgeFallback)
		e.routers[s.Name] = newRouter(w.variant, seed*100+uint64(index*10+i))
		for _, b := range w.hosting[s.Name] {
			usable[b.ID] = true
		}
	}
	e.admission = admission.NewQueue(len(usable)*e.grant(), admission.WithPolicy(w.variant.admission))
	e.admission.SetShares(w.now, shares, nil)
	return e
}

// grant is the even part of a worker's slots that each entry host holds.
func (e *entry) grant() int { return int(e.world.user.worker.Slots) / entryHosts }

func (e *entry) arrive(service string) {
	w := e.world
	w.figures.offered(service)
	if e.down {
		// The load balancer sends the request to another entry host.
		e = w.entries[(e.index+1)%entryHosts]
		if e.down {
			w.figures.refused(service)
			return
		}
	}
	e.seq++
	r := &request{entry: e, Request: admission.Request{
		Arrived: w.now, Deadline: w.now.Add(callerTimeout), ID: fmt.Sprintf("%d-%d", e.index, e.seq), Kind: service,
		Team: w.kinds[service].Team,
	}}
	e.requests[r.ID] = r
	switch d := e.admission.Offer(w.now, r.Request); d.Verdict {
	case admission.VerdictAdmitted:
		e.begin(r)
	case admission.VerdictRefused:
		e.refuse(r)
	}
}

func (e *entry) begin(r *request) {
	w := e.world
	e.budget.Started(w.now)
	w.figures.first(r.Kind)
	r.since = w.now
	if !e.send(r) {
		e.waiting = append(e.waiting, r)
	}
	w.after(e.latencies[r.Kind].HedgeDelay(), func() {
		if !r.done && r.tries == 1 && r.pending == 1 && w.kinds[r.Kind].Idempotent && e.budget.Spend(w.now, retry.KindHedge) {
			e.send(r)
		}
	})
	w.after(callerTimeout-w.now.Sub(r.Arrived), func() { e.finish(r, admission.ResultFailed) })
}

func (e *entry) decided(out []admission.Outcome) {
	for _, o := range out {
		r := e.requests[o.Request.ID]
		if o.Verdict == admission.VerdictAdmitted {
			e.begin(r)
		} else {
			e.refuse(r)
		}
	}
}

func (e *entry) refuse(r *request) {
	r.done = true
	delete(e.requests, r.ID)
	e.world.figures.refused(r.Kind)
}

// finish answers the caller once.
func (e *entry) finish(r *request, result admission.Result) {
	if r.done {
		return
	}
	w := e.world
	r.done = true
	delete(e.requests, r.ID)
	e.waiting = slices.DeleteFunc(e.waiting, func(o *request) bool { return o == r })
	took := w.now.Sub(r.Arrived)
	if result == admission.ResultOK {
		w.figures.answered(r.Kind, took+2*w.user.callerDelay)
	} else {
		w.figures.refused(r.Kind)
	}
	e.decided(e.admission.Done(w.now, r.ID, w.now.Sub(r.since), result))
}

// send routes one attempt and starts it; it is false if the request has to wait for a slot.
func (e *entry) send(r *request) bool {
	w := e.world
	var candidates []routing.Backend
	for _, b := range w.hosting[r.Kind] {
		candidates = append(candidates, routing.Backend{Free: e.grant() - e.used[b.ID], Worker: b.ID, Zone: zone})
	}
	chosen, err := e.routers[r.Kind].route(w.now, candidates, r.excluded)
	if err != nil {
		var none *routing.NoBackendError
		if errors.As(err, &none) && !waitsForSlot(none) && w.now.Sub(r.since) > noBackendWait && r.pending == 0 {
			e.finish(r, admission.ResultFailed)
			return true
		}
		return false
	}
	b := w.byID[chosen]
	r.tries++
	r.pending++
	w.figures.attempt()
	e.used[b.ID]++
	e.routers[r.Kind].started(b.ID)
	sent := w.now
	switch {
	case e.rng.Float64() < lossRate:
		// The entry host gives up at the deadline and holds the slot a little longer.
		w.after(r.Deadline.Sub(w.now), func() { e.ended(r, b, sent, routing.ResultFailed) })
		return true
	case b.down || b.bad:
		w.after(failTime+2*localDelay, func() { e.ended(r, b, sent, routing.ResultFailed) })
		return true
	}
	b.inFlight++
	took := time.Duration(float64(serviceTime(w.kinds[r.Kind])) * w.slowdown(b, r.Kind) *
		math.Exp(serviceSpread*e.rng.NormFloat64()-serviceSpread*serviceSpread/2))
	w.after(localDelay+took, func() {
		b.inFlight--
		b.latencies[r.Kind] = append(b.latencies[r.Kind], took)
	})
	w.after(2*localDelay+took, func() { e.ended(r, b, sent, routing.ResultOK) })
	return true
}

// ended takes the end of an attempt.
func (e *entry) ended(r *request, b *backend, sent time.Time, result routing.Result) {
	w := e.world
	took := w.now.Sub(sent)
	r.pending--
	e.routers[r.Kind].finished(w.now, b.ID, took, result)
	if took >= callerTimeout {
		w.after(lostHold, func() { e.release(b) })
	} else {
		e.release(b)
	}
	switch {
	case r.done:
		return
	case result == routing.ResultOK:
		b.served[r.Kind] += took.Seconds()
		e.latencies[r.Kind].Observe(took)
		e.finish(r, admission.ResultOK)
		return
	}
	r.excluded = append(r.excluded, b.ID)
	if r.pending > 0 {
		return
	}
	pause := e.backoff.Pause(r.tries, 0)
	if !e.budget.Spend(w.now, retry.KindRetry) || !(retry.Deadline{Time: r.Deadline}).Allows(w.now, pause, took) {
		e.finish(r, admission.ResultFailed)
		return
	}
	w.after(pause, func() {
		if !r.done && !e.send(r) {
			e.waiting = append(e.waiting, r)
		}
	})
}

// release frees a slot and wakes the first waiting request that can use it.
func (e *entry) release(b *backend) {
	e.used[b.ID]--
	for _, r := range e.waiting {
		if slices.Contains(e.world.hosting[r.Kind], b) {
			if !r.done && e.send(r) {
				e.waiting = slices.DeleteFunc(slices.Clone(e.waiting), func(o *request) bool { return o == r })
			}
			return
		}
	}
}

// tick is the time-based part of the entry host: deadlines in the queue and requests without a slot.
func (e *entry) tick() {
	e.decided(e.admission.Tick(e.world.now))
	for _, r := range slices.Clone(e.waiting) {
		if !r.done && e.send(r) {
			e.waiting = slices.DeleteFunc(e.waiting, func(o *request) bool { return o == r })
		}
	}
}

func waitsForSlot(e *routing.NoBackendError) bool {
	return slices.ContainsFunc(e.Rejections, func(r routing.Rejection) bool {
		return r.Reason == routing.ReasonNoSlot || r.Reason == routing.ReasonCold || r.Reason == routing.ReasonProbing
	})
}
