package host

import (
	"bytes"
	"context"
	"crypto/sha256"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/oklog/ulid/v2"

	"github.com/laburnumridge/laburnumridge/internal/caller"
	"github.com/laburnumridge/laburnumridge/internal/explain"
	"github.com/laburnumridge/laburnumridge/internal/fleet"
	"github.com/laburnumridge/laburnumridge/internal/idempotency"
	"github.com/laburnumridge/laburnumridge/internal/note"
	"github.com/laburnumridge/laburnumridge/internal/retry"
	"github.com/laburnumridge/laburnumridge/pkg/laburnumridge"
)

// reasonHandingOver is the reason of a keyed request that reached the owner while it handed its keys over.
const reasonHandingOver = "key_handing_over"

const (
	pollInterval = 20 * time.Millisecond
	keyOwnerWait = 2 * time.Second
)

// nonIdempotent runs a request at most once. A request without a key of its caller gets a new one; it is sent again
// only if a worker refused it before running it.
func (h *Host) nonIdempotent(
	ctx context.Context, r caller.Request, item note.Item,
) (*caller.Response, *laburnumridge.Problem) {
	if r.Key == "" {
		key := idempotency.NewKey(h.zone, ulid.Make())
		return h.dispatch(ctx, r, item, key.String())
	}
	key, err := idempotency.ParseKey(r.Key)
	if err != nil {
		return nil, problem(http.StatusBadRequest, laburnumridge.OutcomeNotRun, "bad_key", err.Error())
	}
	home := idempotency.Home(key, h.hosts.snapshot().Zones())
	id := fleet.ShardID{Index: idempotency.Partition(key, h.shardCount(home)), Zone: home}
	for {
		res, p := h.runAtKeyOwner(ctx, r, item, key, id)
		if p == nil || p.Reason != reasonHandingOver || r.ForwardedBy != "" || ctx.Err() != nil {
			return res, p
		}
		retry.Sleep(ctx, pollInterval)
	}
}

// runAtKeyOwner runs a keyed request on the owner of its key partition, which is this or another entry host.
func (h *Host) runAtKeyOwner(
	ctx context.Context, r caller.Request, item note.Item, key idempotency.Key, id fleet.ShardID,
) (*caller.Response, *laburnumridge.Problem) {
	if table, ok := h.keyTables.get(id); ok {
		return h.runClaimed(ctx, r, item, key, id, table)
	}
	owner, ok := h.awaitKeyOwner(ctx, id, r.ForwardedBy != "")
	if !ok && r.ForwardedBy != "" && h.shards.moves.wasTakenRecently(id, time.Now()) {
		// The host that forwarded the request has not heard of the successor yet.
		return nil, retryableUnknown(reasonHandingOver, "shard "+id.String()+" was handed over")
	}
	if !ok {
		h.recordRequestDecision(r, "key_refuse", "no entry host that serves keys of "+id.String()+" is known", "")
		return nil, retryableUnknown("key_owner_unknown", "no entry host serves keys of "+id.String()+" now")
	}
	h.recordRequestDecision(r, "key_forward", "key of "+id.String()+", owned by "+owner.host, "")
	res, p := h.forward(ctx, r, owner.host, false)
	if p != nil && p.Outcome == laburnumridge.OutcomeNotRun && strings.HasPrefix(p.Reason, "peer_") {
		// Only the owner knows whether an earlier request with this key has run.
		return nil, retryableUnknown(p.Reason, p.Detail)
	}
	return res, p
}

// awaitKeyOwner returns the host that serves a shard's keys. It waits up to keyOwnerWait for one, since a handover
// takes a moment. A forwarded request does not wait, since it has waited at its first host.
func (h *Host) awaitKeyOwner(ctx context.Context, id fleet.ShardID, forwarded bool) (ownerInfo, bool) {
	if forwarded {
		return ownerInfo{}, false
	}
	ctx, cancel := context.WithTimeout(ctx, keyOwnerWait)
	defer cancel()
	for {
		owner, ok := h.shards.ownerOf(id)
		if ok && owner.servingKeys {
			return owner, true
		}
		if ctx.Err() != nil {
			return owner, false
		}
		retry.Sleep(ctx, pollInterval)
	}
}

// awaitClaimable waits up to keyOwnerWait until a new owner has heard from enough workers to claim keys.
func awaitClaimable(ctx context.Context, table keyTable) {
	ctx, cancel := context.WithTimeout(ctx, keyOwnerWait)
	defer cancel()
	for ctx.Err() == nil && !table.MayClaim(time.Now()) && !table.IsClosed() {
		retry.Sleep(ctx, pollInterval)
	}
}

// retryableUnknown returns the problem of a request whose key was not looked up: an earlier request may have run, and
// a repeat with the same key is safe.
func retryableUnknown(reason, detail string) *laburnumridge.Problem {
	p := problem(http.StatusServiceUnavailable, laburnumridge.OutcomeUnknown, reason,
		detail+"; a repeat with the same key is safe")
	p.RetryAfter = 1
	return p
}

// runClaimed claims the key of a request in this host's key table, runs the request and records its response.
func (h *Host) runClaimed(
	ctx context.Context, r caller.Request, item note.Item, key idempotency.Key, id fleet.ShardID, table keyTable,
) (*caller.Response, *laburnumridge.Problem) {
	fingerprint := idempotency.FingerprintOf(r.Method, r.Service+r.Path+"?"+r.Query, sha256.Sum256(r.Body))
	awaitClaimable(ctx, table)
	claim := table.Claim(time.Now(), key, fingerprint)
	h.recordRequestDecision(r, "key_"+string(claim.Verdict), fmt.Sprintf("key of %s, epoch %d. %s", id, table.epoch, claim.Reason), "")
	switch claim.Verdict {
	case idempotency.VerdictHandingOver:
		return nil, retryableUnknown(reasonHandingOver, claim.Reason)
	case idempotency.VerdictMismatch:
		return nil, problem(http.StatusUnprocessableEntity, laburnumridge.OutcomeNotRun, "key_of_other_request", claim.Reason)
	case idempotency.VerdictNotRun:
		return nil, unavailable("key_not_claimed", claim.Reason)
	case idempotency.VerdictReplay:
		return replay(claim.Response), nil
	case idempotency.VerdictRunning:
		p := problem(http.StatusConflict, laburnumridge.OutcomeUnknown, "key_running", "a request with this key is running")
		p.RetryAfter = 1
		return nil, p
	case idempotency.VerdictUnknown:
		return nil, problem(http.StatusConflict, laburnumridge.OutcomeUnknown, "key_unknown", claim.Reason)
	case idempotency.VerdictProceed:
	}
	return h.runAndRecord(ctx, r, item, key, id, table)
}

// runAndRecord runs a request whose key is claimed and records how it ended.
func (h *Host) runAndRecord(
	ctx context.Context, r caller.Request, item note.Item, key idempotency.Key, id fleet.ShardID, table keyTable,
) (*caller.Response, *laburnumridge.Problem) {
	// The request continues if its caller disconnects, so that a repeat finds the response.
	ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), r.Deadline)
	defer cancel()
	res, p := h.dispatch(ctx, r, item, key.String())
	if p != nil {
		if p.Outcome == laburnumridge.OutcomeNotRun {
			h.reportLateOutcome(id, table.Release(key))
		} else {
			h.reportLateOutcome(id, table.Finish(key, idempotency.OutcomeUnknown, idempotency.Response{}))
		}
		return nil, p
	}
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(res.Body)
	if err != nil {
		h.reportLateOutcome(id, table.Finish(key, idempotency.OutcomeUnknown, idempotency.Response{}))
		return nil, unknown("response_broke_off", "the response broke off: "+err.Error())
	}
	h.reportLateOutcome(id, table.Finish(key, idempotency.OutcomeDone, idempotency.Response{
		Body: body, Header: res.Header, Status: res.Status,
	}))
	return &caller.Response{Body: io.NopCloser(bytes.NewReader(body)), Header: res.Header, Status: res.Status}, nil
}

func replay(r idempotency.Response) *caller.Response {
	header := r.Header.Clone()
	if header == nil {
		header = http.Header{}
	}
	header.Set(caller.HeaderReplayed, "true")
	return &caller.Response{Body: io.NopCloser(bytes.NewReader(r.Body)), Header: header, Status: r.Status}
}

func (h *Host) recordRequestDecision(r caller.Request, decision, reason, worker string) {
	h.decisions.Add(explain.Decision{
		Decision: decision, Reason: reason, Request: r.ID, Work: r.Service, Worker: worker, Zone: h.zone,
	})
}

func problem(status int, o laburnumridge.Outcome, reason, detail string) *laburnumridge.Problem {
	return &laburnumridge.Problem{
		Detail: detail, Outcome: o, Reason: reason, Status: status, Title: http.StatusText(status),
	}
}

// unavailable returns the problem of a request that was not run and may be repeated.
func unavailable(reason, detail string) *laburnumridge.Problem {
	p := problem(http.StatusServiceUnavailable, laburnumridge.OutcomeNotRun, reason, detail)
	p.RetryAfter = 1
	return p
}

func unknown(reason, detail string) *laburnumridge.Problem {
	return problem(http.StatusGatewayTimeout, laburnumridge.OutcomeUnknown, reason, detail)
}
