package host

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/laburnumridge/laburnumridge/internal/caller"
	"github.com/laburnumridge/laburnumridge/internal/peer"
	"github.com/laburnumridge/laburnumridge/internal/retry"
	"github.com/laburnumridge/laburnumridge/pkg/laburnumridge"
)

// forward sends a request to another entry host. A request that was not sent is not_run; one that was sent but not
// answered is unknown.
func (h *Host) forward(
	ctx context.Context, r caller.Request, host string, streams bool,
) (*caller.Response, *laburnumridge.Problem) {
	to, ok := h.hosts.snapshot().Host(host)
	if !ok {
		return nil, unavailable("peer_unknown", "entry host "+host+" is not on the host list")
	}
	var sent atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { sent.Store(true) },
	})
	req, err := http.NewRequestWithContext(ctx, r.Method, h.forwardURL(to.PeerAddress, r), bytes.NewReader(r.Body))
	if err != nil {
		return nil, unavailable("bad_request", err.Error())
	}
	req.GetBody = nil // keeps the transport from sending a request twice
	req.Header = r.Header.Clone()
	req.Header.Set(caller.HeaderForwardedBy, h.id)
	req.Header.Del(caller.HeaderClaimedKey)
	if r.ClaimedKey != "" {
		req.Header.Set(caller.HeaderClaimedKey, r.ClaimedKey)
	}
	req.Header.Set(caller.HeaderRequestID, r.ID)
	if !r.Deadline.IsZero() {
		left, ok := retry.Deadline{Time: r.Deadline}.RemainingForNextHop(time.Now())
		if !ok {
			return nil, unavailable("peer_deadline", "no time is left to pass the request on")
		}
		req.Header.Set(caller.HeaderTimeout, strconv.FormatInt(max(left.Milliseconds(), 1), 10))
	}
	res, err := h.forwardClient.Do(req)
	if err != nil {
		if sent.Load() {
			h.forwardClient.CloseIdleConnections() // other connections to the host may have gone silent, too
			return nil, unknown("peer_silent", "entry host "+host+" gave no answer: "+err.Error())
		}
		return nil, unavailable("peer_unreachable", "entry host "+host+" was not reached: "+err.Error())
	}
	return h.forwardedResponse(r, res, host, streams)
}

func (h *Host) forwardedResponse(
	r caller.Request, res *http.Response, host string, streams bool,
) (*caller.Response, *laburnumridge.Problem) {
	if got := res.Header.Get(caller.HeaderRequestID); got != r.ID {
		_ = res.Body.Close()
		h.recordRequestDecision(r, "drop_answer", "entry host "+host+" answered request "+got, "")
		return nil, unknown("foreign_answer", "entry host "+host+" answered another request")
	}
	if o := laburnumridge.Outcome(res.Header.Get(caller.HeaderOutcome)); o != laburnumridge.OutcomeDone {
		defer func() { _ = res.Body.Close() }()
		p := &laburnumridge.Problem{}
		if err := json.NewDecoder(io.LimitReader(res.Body, 64<<10)).Decode(p); err != nil || p.Outcome == "" {
			return nil, unknown("peer_answer_malformed", "entry host "+host+" gave no outcome")
		}
		return nil, p
	}
	return &caller.Response{Body: res.Body, Header: res.Header, Status: res.StatusCode, Streams: streams}, nil
}

func (h *Host) forwardURL(address string, r caller.Request) string {
	url := h.peerScheme + address + "/forward/" + r.Service + r.Path
	if r.Query != "" {
		url += "?" + r.Query
	}
	return url
}

// forwardToOtherZone forwards a request that this zone can't serve to the other zones in turn. The next zone is tried
// only if the request did not run.
func (h *Host) forwardToOtherZone(
	ctx context.Context, r caller.Request, streams bool, last *laburnumridge.Problem,
) (*caller.Response, *laburnumridge.Problem) {
	if r.ForwardedBy != "" {
		return nil, last
	}
	for _, p := range h.peersOfOtherZones() {
		h.recordRequestDecision(r, "forward", "zone "+h.zone+" can't serve it: "+last.Reason+"; to "+p.Host+" in "+p.Zone, "")
		res, problem := h.forward(ctx, r.WithForwardedBy(h.id), p.Host, streams)
		if problem == nil || problem.Outcome != laburnumridge.OutcomeNotRun {
			return res, problem
		}
		last = problem
		if ctx.Err() != nil {
			break
		}
	}
	return nil, last
}

// peersOfOtherZones returns one connected entry host of each other zone, in random order.
func (h *Host) peersOfOtherZones() []peer.Status {
	seen := map[string]bool{h.zone: true}
	var out []peer.Status
	connected := h.mesh.Connected()
	rand.Shuffle(len(connected), func(i, j int) { connected[i], connected[j] = connected[j], connected[i] })
	for _, p := range connected {
		if !seen[p.Zone] && !h.isPeerDraining(p.Host) {
			seen[p.Zone] = true
			out = append(out, p)
		}
	}
	return out
}

var errNoAnswer = errors.New("no answer")
