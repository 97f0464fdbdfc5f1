package host

import (
	"context"
	"net/http"
	"time"

	"github.com/laburnumridge/laburnumridge/internal/admission"
	"github.com/laburnumridge/laburnumridge/internal/caller"
	"github.com/laburnumridge/laburnumridge/internal/invariant"
	"github.com/laburnumridge/laburnumridge/internal/note"
	"github.com/laburnumridge/laburnumridge/internal/retry"
	"github.com/laburnumridge/laburnumridge/pkg/laburnumridge"
)

// handle answers a request from a caller, or one that another entry host forwarded.
func (h *Host) handle(ctx context.Context, r caller.Request) (*caller.Response, *laburnumridge.Problem) {
	h.inFlight.Add(1)
	defer h.inFlight.Add(-1)
	c, _ := h.notes.current()
	item, ok := c.Item(r.Service)
	if !ok || !item.Work.IsLatencyCritical() {
		h.recordRequestDecision(r, "refuse", "no service of this name is in force", "")
		return nil, problem(http.StatusNotFound, laburnumridge.OutcomeNotRun, "no_such_service",
			"no service "+r.Service+" is in force")
	}
	switch {
	case item.Work.Kind == note.KindFeed:
		return h.feed(ctx, r)
	case item.Work.Idempotent || r.IsSafe():
		return h.dispatch(ctx, r, item, "")
	case r.ClaimedKey != "":
		return h.dispatch(ctx, r, item, r.ClaimedKey)
	}
	return h.nonIdempotent(ctx, r, item)
}

// awaitGrants waits up to noBackendWait for slots in this zone and reports whether there are any. A zone without an
// owner has none for some seconds, in which requests are served by other zones.
func (h *Host) awaitGrants(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, noBackendWait)
	defer cancel()
	for h.backends.grantedSlots(time.Now()) == 0 {
		if ctx.Err() != nil {
			return false
		}
		retry.Sleep(ctx, pollInterval)
	}
	return true
}

// dispatch runs a request on a backend server of this zone, or forwards it to another zone if this one has none. A
// request with a key must not run twice.
func (h *Host) dispatch(
	ctx context.Context, r caller.Request, item note.Item, key string,
) (*caller.Response, *laburnumridge.Problem) {
	r = r.WithClaimedKey(key)
	if r.ForwardedBy == "" && !h.awaitGrants(ctx) {
		res, p := h.forwardToOtherZone(ctx, r, false, unavailable("no_grants", "zone "+h.zone+" has no owner that grants slots"))
		if p == nil || p.Outcome != laburnumridge.OutcomeNotRun {
			return res, p
		}
	}
	if len(h.backends.candidates(r.Service, h.backends.slots, time.Now())) == 0 {
		return h.forwardToOtherZone(ctx, r, false, unavailable("no_backend", "zone "+h.zone+" has no backend server of "+r.Service))
	}
	team := r.Team
	if team == "" {
		team = item.Work.Team
	}
	d := h.admission.admit(ctx, admission.Request{
		Arrived: time.Now(), Deadline: r.Deadline, ID: r.ID, Service: r.Service, Team: team,
	})
	if d.Verdict != admission.VerdictAdmitted {
		h.recordRequestDecision(r, "refuse", string(d.Reason)+", predicted wait "+d.Wait.String(), "")
		p := unavailable(string(d.Reason), "the request would not be answered in time; it was not run")
		p.RetryAfter = max(1, int((d.RetryAfter+time.Second-1)/time.Second))
		return nil, p
	}
	started := time.Now()
	res, p := h.sendWithRetries(ctx, r, key)
	result := admission.ResultOK
	switch {
	case p != nil && p.Outcome == laburnumridge.OutcomeNotRun:
		result = admission.ResultRefused
	case p != nil:
		result = admission.ResultFailed
	}
	h.admission.done(r.ID, time.Since(started), result)
	if p == nil && !res.Streams {
		h.invariants.Check(invariant.AnswerToOwnCaller, res.Header.Get(caller.HeaderRequestID) == r.ID,
			"request "+r.ID+" has the answer of "+res.Header.Get(caller.HeaderRequestID))
	}
	if p != nil && p.Reason == "no_backend" {
		return h.forwardToOtherZone(ctx, r, false, p)
	}
	return res, p
}
