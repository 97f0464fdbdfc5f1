package host

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/laburnumridge/laburnumridge/internal/caller"
	"github.com/laburnumridge/laburnumridge/internal/invariant"
	"github.com/laburnumridge/laburnumridge/internal/retry"
	"github.com/laburnumridge/laburnumridge/internal/routing"
	"github.com/laburnumridge/laburnumridge/internal/worker"
	"github.com/laburnumridge/laburnumridge/pkg/laburnumridge"
)

const (
	// slotPollInterval is how often a request that waits for a slot checks again, since some changes, such as the
	// expiry of a grant, send no notification.
	slotPollInterval = 50 * time.Millisecond
	// noBackendWait is how long a request waits for a usable backend server before it is forwarded to another zone.
	noBackendWait = 300 * time.Millisecond
)

// requestState is the state of one request across its attempts.
type requestState struct {
	excluded        []string
	freshConnection bool
	host            *Host
	key             string
	// mayHaveRun is set once an attempt ended and it is unknown whether it ran.
	mayHaveRun bool
	// pending is the number of attempts without a result yet.
	pending  int
	results  chan attemptResult
	request  caller.Request
	router   *routing.Router
	attempts int
}

// sendWithRetries sends a request until it is answered. A request with a key is sent again only if the previous
// attempt did not run; other requests are also sent again after an attempt without an answer, and hedged beside a
// slow one. All requests share the retry and hedging budgets.
func (h *Host) sendWithRetries(
	ctx context.Context, r caller.Request, key string,
) (*caller.Response, *laburnumridge.Problem) {
	a := &requestState{
		host: h, key: key, request: r, results: make(chan attemptResult, 8), router: h.policies.router(r.Service),
	}
	latency := h.policies.latency(r.Service)
	h.policies.retryBudget.Started(time.Now())
	defer a.discardPending()
	if p := a.send(ctx, "first attempt", true); p != nil {
		return nil, p
	}
	hedge := time.NewTimer(latency.HedgeDelay())
	defer hedge.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil, unknown("timeout", "no backend server answered in time")
		case <-hedge.C:
			if key == "" && a.attempts == 1 && h.policies.retryBudget.Spend(time.Now(), retry.KindHedge) {
				a.freshConnection = true
				// If the hedge is not sent, the first attempt continues alone.
				_ = a.send(ctx, "hedge: no answer within the usual time", false)
			}
		case t := <-a.results:
			a.pending--
			if t.err == nil {
				latency.Observe(t.took)
				return t.response, nil
			}
			if p := a.handleFailure(ctx, t); p != nil {
				return nil, a.correctOutcome(p)
			}
		}
	}
}

// correctOutcome changes not_run to unknown if an earlier attempt may have run.
func (a *requestState) correctOutcome(p *laburnumridge.Problem) *laburnumridge.Problem {
	if a.mayHaveRun && p.Outcome == laburnumridge.OutcomeNotRun {
		return unknown(p.Reason, p.Detail+"; an earlier attempt may have run")
	}
	return p
}

// handleFailure decides what follows an attempt without a response; nil means that another attempt is running.
func (a *requestState) handleFailure(ctx context.Context, t attemptResult) *laburnumridge.Problem {
	a.excluded = append(a.excluded, t.worker)
	p := t.problem()
	a.host.recordRequestDecision(a.request, "attempt_failed", fmt.Sprintf("%s: %s", p.Outcome, p.Detail), t.worker)
	a.mayHaveRun = a.mayHaveRun || p.Outcome != laburnumridge.OutcomeNotRun
	if a.pending > 0 {
		return nil // the other attempt may still answer
	}
	if a.mayHaveRun && a.key != "" {
		return p
	}
	var refusal worker.Refusal
	if errors.As(t.err, &refusal) && refusal.Reason == worker.ReasonStaleEpoch {
		// A new owner has fenced the worker and will grant slots. This costs no retry budget, since the refusal put
		// no load on the worker.
		a.host.backends.fence(t.worker, refusal.Epoch)
		a.excluded = nil
		return a.send(ctx, "grant of an earlier owner was refused", true)
	}
	if errors.Is(t.err, worker.ErrUnreachable) && !a.mayHaveRun {
		// Nothing was sent, so another attempt adds no load and costs no retry budget. Each worker is tried once.
		return a.send(ctx, "worker "+t.worker+" was not reached", true)
	}
	if !a.host.policies.retryBudget.Spend(time.Now(), retry.KindRetry) {
		p.Detail += "; the retry budget is spent"
		return p
	}
	delay := a.host.policies.backoff.Pause(a.attempts, 0)
	if !(retry.Deadline{Time: a.request.Deadline}).Allows(time.Now(), delay, t.took) {
		return p
	}
	retry.Sleep(ctx, delay)
	a.freshConnection = errors.Is(t.err, errNoAnswer)
	return a.send(ctx, "retry after "+p.Reason, true)
}

// send routes one attempt and starts it. If wait is set, it waits for a slot until the deadline.
func (a *requestState) send(ctx context.Context, why string, wait bool) *laburnumridge.Problem {
	h := a.host
	since := time.Now()
	for {
		changed := h.backends.slotFreed()
		now := time.Now()
		candidates := h.backends.candidates(a.request.Service, h.backends.slots, now)
		d, err := a.router.Route(now, candidates, a.excluded...)
		if err == nil && h.backends.slots.Take(d.Backend.Worker, now) {
			h.invariants.Check(invariant.LeavingNoWork, !d.Backend.Leaving, d.Backend.Worker+" is leaving")
			h.invariants.Check(invariant.AtMostOnce, a.key == "" || !a.mayHaveRun && a.pending == 0,
				"key "+a.key+" is sent again although it may have run")
			a.attempts++
			a.pending++
			h.recordRequestDecision(a.request, "route",
				fmt.Sprintf("%s: %s %s, weighed %s", why, d.Policy, d.Reason, describeRoutingOptions(d.Options)),
				d.Backend.Worker)
			a.router.Started(d.Backend.Worker)
			go h.attempt(a.request, a.key, d.Backend, a.freshConnection, a.router, a.results)
			return nil
		}
		var none *routing.NoBackendError
		if errors.As(err, &none) && !waitsForSlot(none) && now.Sub(since) > noBackendWait {
			return unavailable("no_backend", none.Error())
		}
		if !wait {
			return unavailable("no_slot", "no slot is free at once")
		}
		select {
		case <-ctx.Done():
			return unavailable("timeout", "no slot became free in time")
		case <-changed:
		case <-time.After(slotPollInterval):
		}
	}
}

// discardPending closes the responses of attempts that nobody waits for any more, which frees their slots.
func (a *requestState) discardPending() {
	if a.pending == 0 {
		return
	}
	go func(n int) {
		for range n {
			if t := <-a.results; t.err == nil {
				_ = t.response.Body.Close()
			}
		}
	}(a.pending)
}

func waitsForSlot(e *routing.NoBackendError) bool {
	for _, r := range e.Rejections {
		if r.Reason == routing.ReasonNoSlot || r.Reason == routing.ReasonCold || r.Reason == routing.ReasonProbing {
			return true
		}
	}
	return false
}

func describeRoutingOptions(options []routing.Option) string {
	text := ""
	for i, o := range options {
		if i > 0 {
			text += ", "
		}
		text += fmt.Sprintf("%s %.4g", o.Worker, o.Score)
	}
	return text
}
