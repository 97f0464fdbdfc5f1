package laburnumridge

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"mime"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
)

// Header names of the callers' interface.
const (
	HeaderKey     = "Idempotency-Key"
	HeaderTimeout = "Laburnumridge-Timeout-Ms"
	HeaderZone    = "Laburnumridge-Zone"
)

// maxProblemBytes bounds the problem details that are read.
const maxProblemBytes = 64 << 10

// send makes one attempt and returns the answer, or a *Problem.
func (c *Client) send(ctx context.Context, method, url string, header http.Header, body []byte) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return nil, eris.Wrapf(ErrInvalid, "%s %s: %s", method, url, err)
	}
	req.Header = header.Clone()
	if deadline, ok := ctx.Deadline(); ok {
		left := time.Until(deadline).Milliseconds()
		if left <= 0 {
			return nil, lost(context.DeadlineExceeded, OutcomeNotRun)
		}
		req.Header.Set(HeaderTimeout, strconv.FormatInt(left, 10))
	}
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	res, err := c.http.Do(req.WithContext(httptrace.WithClientTrace(ctx, trace)))
	if err != nil {
		return nil, connectionProblem(err, connected.Load())
	}
	zone := res.Header.Get(HeaderZone)
	if zone != "" {
		c.zone.Store(&zone)
	}
	if p := problemOf(res); p != nil {
		return nil, p
	}
	return res, nil
}

// connectionProblem tells a connection that was never made from an answer that was lost. net/http
// sends a request with a key again on a fresh connection when a kept one breaks, so an error of
// dialling proves that nothing was sent only if there was no connection before.
func connectionProblem(err error, connected bool) *Problem {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" && !connected {
		p := lost(err, OutcomeNotRun)
		p.Title, p.Reason, p.unreached = "entry host not reached", "not_reached", true
		return p
	}
	return lost(err, OutcomeUnknown)
}

func lost(err error, outcome Outcome) *Problem {
	return &Problem{cause: err, Detail: err.Error(), Outcome: outcome, Reason: "no_answer", Title: "no complete answer"}
}

// problemOf returns the problem that an answer carries, or nil if the answer is the service's own.
func problemOf(res *http.Response) *Problem {
	p := &Problem{}
	media, _, _ := mime.ParseMediaType(res.Header.Get("Content-Type"))
	switch {
	case media == ProblemType:
		text, err := io.ReadAll(io.LimitReader(res.Body, maxProblemBytes))
		if err != nil || json.Unmarshal(text, p) != nil || p.Outcome == "" || p.Outcome == OutcomeDone {
			// The service's own problem details belong to the caller.
			res.Body = rejoin(text, err, res.Body)
			return nil
		}
	case res.Header.Get(HeaderZone) == "" && isGatewayStatus(res.StatusCode):
		// Entry hosts name their zone; without it a load balancer answered, and may have sent the request on.
		p.Outcome, p.Reason, p.Title = OutcomeUnknown, "load_balancer", http.StatusText(res.StatusCode)
	default:
		return nil
	}
	_ = res.Body.Close()
	p.Status = res.StatusCode
	if s, err := strconv.Atoi(res.Header.Get("Retry-After")); err == nil && s >= 0 {
		p.RetryAfter = s
	}
	if p.Title == "" {
		p.Title = http.StatusText(res.StatusCode)
	}
	return p
}

func isGatewayStatus(status int) bool {
	return status == http.StatusBadGateway || status == http.StatusServiceUnavailable ||
		status == http.StatusGatewayTimeout
}

// rejoin returns a body that starts with the text already read, and ends with the error, if any.
func rejoin(text []byte, err error, rest io.ReadCloser) io.ReadCloser {
	tail := io.Reader(rest)
	if err != nil {
		tail = failingReader{err}
	}
	return struct {
		io.Reader
		io.Closer
	}{io.MultiReader(bytes.NewReader(text), tail), rest}
}

type failingReader struct{ err error }

func (r failingReader) Read([]byte) (int, error) { return 0, r.err }
