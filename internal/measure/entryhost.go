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
	// fastFailureTime is how long a bad worker takes to answer with a failure.
	fastFailureTime = 2 * time.Millisecond
	// noBackendWait is how long a request waits for a usable backend server before it fails.
	noBackendWait = 300 * time.Millisecond
	// hedgeFallback is the hedge delay before enough response times are known.
	hedgeFallback = 500 * time.Millisecond
	// lostSlotHold is how long the slot of a lost attempt stays in use after the deadline.
	lostSlotHold = time.Second
)

// entryHost is the stand-in of an entry host. Its admission queue, routers, backoff, retry budget and latency estimates
// are the real ones.
type entryHost struct {
	admission         *admission.Queue
	backoff           *retry.Backoff
	budget            *retry.Budget
	down              bool
	index             int
	latencyEstimates  map[string]*retry.Latency
	requests          map[string]*request // unfinished requests by id
	rng               *rand.Rand
	routers           map[string]router
	lastRequestNumber int
	slotsInUse        map[string]int // by worker id
	waitingForSlot    []*request
	sim               *simulation
}

// request is the state of a caller's request across its attempts.
type request struct {
	admission.Request
	finished         bool
	entry            *entryHost
	excludedWorkers  []string
	attemptsInFlight int
	admittedAt       time.Time
	attempts         int
}

func newEntryHost(sim *simulation, index int, seed uint64) *entryHost {
	e := &entryHost{
		backoff: retry.NewBackoff(10*time.Millisecond, time.Second, seed), budget: retry.NewBudget(sim.now), index: index,
		latencyEstimates: map[string]*retry.Latency{}, requests: map[string]*request{},
		rng: rand.New(rand.NewPCG(seed, uint64(10+index))), routers: map[string]router{}, slotsInUse: map[string]int{}, sim: sim,
	}
	shares := map[string]float64{}
	usable := map[string]bool{}
	for i, s := range sim.services {
		shares[s.Name] = s.Share
		e.latencyEstimates[s.Name] = retry.NewLatency(hedgeFallback)
		e.routers[s.Name] = newRouter(sim.variant, seed*100+uint64(index*10+i))
		for _, w := range sim.workersByService[s.Name] {
			usable[w.ID] = true
		}
	}
	e.admission = admission.NewQueue(len(usable)*e.grantedSlots(), admission.WithPolicy(sim.variant.admission))
	e.admission.SetShares(sim.now, shares, nil)
	return e
}

// grantedSlots returns the slots that the entry host may use on each worker: an even share of the worker's slots.
func (e *entryHost) grantedSlots() int { return int(e.sim.user.workerCapacity.Slots) / entryHostCount }

// receive handles a request that a caller sends to this entry host.
func (e *entryHost) receive(service string) {
	sim := e.sim
	sim.recorder.requestOffered(service)
	if e.down {
		// The load balancer sends the request to the other entry host instead.
		e = sim.entryHosts[(e.index+1)%entryHostCount]
		if e.down {
			sim.recorder.requestRefused(service)
			return
		}
	}
	e.lastRequestNumber++
	r := &request{entry: e, Request: admission.Request{
		Arrived: sim.now, Deadline: sim.now.Add(callerTimeout), ID: fmt.Sprintf("%d-%d", e.index, e.lastRequestNumber), Service: service,
		Team: sim.workByName[service].Team,
	}}
	e.requests[r.ID] = r
	switch d := e.admission.Offer(sim.now, r.Request); d.Verdict {
	case admission.VerdictAdmitted:
		e.startRequest(r)
	case admission.VerdictRefused:
		e.refuse(r)
	}
}

// startRequest sends the first attempt of an admitted request and schedules its hedge and its timeout.
func (e *entryHost) startRequest(r *request) {
	sim := e.sim
	e.budget.Started(sim.now)
	sim.recorder.requestAdmitted(r.Service)
	r.admittedAt = sim.now
	if !e.sendAttempt(r) {
		e.waitingForSlot = append(e.waitingForSlot, r)
	}
	sim.after(e.latencyEstimates[r.Service].HedgeDelay(), func() {
		if !r.finished && r.attempts == 1 && r.attemptsInFlight == 1 && sim.workByName[r.Service].Idempotent && e.budget.Spend(sim.now, retry.KindHedge) {
			e.sendAttempt(r)
		}
	})
	sim.after(callerTimeout-sim.now.Sub(r.Arrived), func() { e.finish(r, admission.ResultFailed) })
}

// applyOutcomes starts or refuses the requests that the admission queue has decided on.
func (e *entryHost) applyOutcomes(out []admission.Outcome) {
	for _, o := range out {
		r := e.requests[o.Request.ID]
		if o.Verdict == admission.VerdictAdmitted {
			e.startRequest(r)
		} else {
			e.refuse(r)
		}
	}
}

func (e *entryHost) refuse(r *request) {
	r.finished = true
	delete(e.requests, r.ID)
	e.sim.recorder.requestRefused(r.Service)
}

// finish answers the caller, unless the request was answered before, and releases its place in the admission queue.
func (e *entryHost) finish(r *request, result admission.Result) {
	if r.finished {
		return
	}
	sim := e.sim
	r.finished = true
	delete(e.requests, r.ID)
	e.waitingForSlot = slices.DeleteFunc(e.waitingForSlot, func(o *request) bool { return o == r })
	took := sim.now.Sub(r.Arrived)
	if result == admission.ResultOK {
		sim.recorder.requestAnswered(r.Service, took+2*sim.user.callerDelay)
	} else {
		sim.recorder.requestRefused(r.Service)
	}
	e.applyOutcomes(e.admission.Done(sim.now, r.ID, sim.now.Sub(r.admittedAt), result))
}

// sendAttempt routes and starts one attempt. It returns false if no worker is available yet and the request has to wait.
func (e *entryHost) sendAttempt(r *request) bool {
	sim := e.sim
	var candidates []routing.Backend
	for _, w := range sim.workersByService[r.Service] {
		candidates = append(candidates, routing.Backend{Free: e.grantedSlots() - e.slotsInUse[w.ID], Worker: w.ID, Zone: zone})
	}
	chosen, err := e.routers[r.Service].route(sim.now, candidates, r.excludedWorkers)
	if err != nil {
		var none *routing.NoBackendError
		if errors.As(err, &none) && !waitsForSlot(none) && sim.now.Sub(r.admittedAt) > noBackendWait && r.attemptsInFlight == 0 {
			e.finish(r, admission.ResultFailed)
			return true
		}
		return false
	}
	w := sim.workerByID[chosen]
	r.attempts++
	r.attemptsInFlight++
	sim.recorder.attemptStarted()
	e.slotsInUse[w.ID]++
	e.routers[r.Service].started(w.ID)
	sent := sim.now
	switch {
	case e.rng.Float64() < lossRate:
		// A lost attempt is given up at the deadline; attemptEnded then keeps its slot in use for lostSlotHold.
		sim.after(r.Deadline.Sub(sim.now), func() { e.attemptEnded(r, w, sent, routing.ResultFailed) })
		return true
	case w.down || w.failsAll:
		sim.after(fastFailureTime+2*intraZoneDelay, func() { e.attemptEnded(r, w, sent, routing.ResultFailed) })
		return true
	}
	w.inFlight++
	took := time.Duration(float64(meanServiceTime(sim.workByName[r.Service])) * sim.trueSlowdown(w, r.Service) *
		math.Exp(serviceTimeLogSigma*e.rng.NormFloat64()-serviceTimeLogSigma*serviceTimeLogSigma/2))
	sim.after(intraZoneDelay+took, func() {
		w.inFlight--
		w.latencies[r.Service] = append(w.latencies[r.Service], took)
	})
	sim.after(2*intraZoneDelay+took, func() { e.attemptEnded(r, w, sent, routing.ResultOK) })
	return true
}

// attemptEnded handles the result of an attempt: it answers the caller, or retries within the retry budget and the
// deadline.
func (e *entryHost) attemptEnded(r *request, w *simWorker, sent time.Time, result routing.Result) {
	sim := e.sim
	took := sim.now.Sub(sent)
	r.attemptsInFlight--
	e.routers[r.Service].finished(sim.now, w.ID, took, result)
	if took >= callerTimeout {
		sim.after(lostSlotHold, func() { e.releaseSlot(w) })
	} else {
		e.releaseSlot(w)
	}
	switch {
	case r.finished:
		return
	case result == routing.ResultOK:
		w.slotSeconds[r.Service] += took.Seconds()
		e.latencyEstimates[r.Service].Observe(took)
		e.finish(r, admission.ResultOK)
		return
	}
	r.excludedWorkers = append(r.excludedWorkers, w.ID)
	if r.attemptsInFlight > 0 {
		return
	}
	pause := e.backoff.Pause(r.attempts, 0)
	if !e.budget.Spend(sim.now, retry.KindRetry) || !(retry.Deadline{Time: r.Deadline}).Allows(sim.now, pause, took) {
		e.finish(r, admission.ResultFailed)
		return
	}
	sim.after(pause, func() {
		if !r.finished && !e.sendAttempt(r) {
			e.waitingForSlot = append(e.waitingForSlot, r)
		}
	})
}

// releaseSlot frees a slot on a worker and retries the first waiting request whose service has a replica there.
func (e *entryHost) releaseSlot(w *simWorker) {
	e.slotsInUse[w.ID]--
	for _, r := range e.waitingForSlot {
		if slices.Contains(e.sim.workersByService[r.Service], w) {
			if !r.finished && e.sendAttempt(r) {
				e.waitingForSlot = slices.DeleteFunc(slices.Clone(e.waitingForSlot), func(o *request) bool { return o == r })
			}
			return
		}
	}
}

// tick applies the admission queue's time-based decisions, such as on deadlines, and retries the requests that wait for
// a slot.
func (e *entryHost) tick() {
	e.applyOutcomes(e.admission.Tick(e.sim.now))
	for _, r := range slices.Clone(e.waitingForSlot) {
		if !r.finished && e.sendAttempt(r) {
			e.waitingForSlot = slices.DeleteFunc(e.waitingForSlot, func(o *request) bool { return o == r })
		}
	}
}

// waitsForSlot reports whether at least one worker was rejected only because its slots are in use or because it admits
// few requests while it is cold or probed.
func waitsForSlot(e *routing.NoBackendError) bool {
	return slices.ContainsFunc(e.Rejections, func(r routing.Rejection) bool {
		return r.Reason == routing.ReasonNoSlot || r.Reason == routing.ReasonCold || r.Reason == routing.ReasonProbing
	})
}
