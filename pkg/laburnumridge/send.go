package laburnumridge

import (
	"bytes"
	"context"
	"crypto/tls"
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

// Headers of the callers' interface.
const (
	HeaderKey     = "Idempotency-Key"
	HeaderTimeout = "Laburnumridge-Timeout-Ms"
	HeaderZone    = "Laburnumridge-Zone"
)

// maxProblemBytes limits how much of a problem details body is read.
const maxProblemBytes = 64 << 10

// send makes one attempt. Errors are a *Problem, or match ErrInvalid.
func (c *Client) send(ctx context.Context, method, url string, header http.Header, body []byte) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return nil, eris.Wrapf(ErrInvalid, "%s %s: %s", method, url, err)
	}
	req.Header = header.Clone()
	if deadline, ok := ctx.Deadline(); ok {
		remaining := time.Until(deadline).Milliseconds()
		if remaining <= 0 {
			return nil, noAnswerProblem(context.DeadlineExceeded, OutcomeNotRun)
		}
		req.Header.Set(HeaderTimeout, strconv.FormatInt(remaining, 10))
	}
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	res, err := c.http.Do(req.WithContext(httptrace.WithClientTrace(ctx, trace)))
	if err != nil {
		return nil, transportProblem(err, connected.Load())
	}
	zone := res.Header.Get(HeaderZone)
	if zone != "" {
		c.zone.Store(&zone)
	}
	if p := problemFromResponse(res); p != nil {
		return nil, p
	}
	return res, nil
}

// transportProblem returns a problem with the outcome not_run if no connection was opened, or else unknown. When a
// reused connection breaks, net/http sends a request with an idempotency key again on a new connection, so a dial error or a
// rejected certificate proves that nothing was sent only if the request had no connection before.
func transportProblem(err error, connected bool) *Problem {
	var op *net.OpError
	var certificate *tls.CertificateVerificationError
	switch {
	case connected:
		return noAnswerProblem(err, OutcomeUnknown)
	case errors.As(err, &certificate):
		p := noAnswerProblem(err, OutcomeNotRun)
		p.Title, p.Reason, p.unreached, p.untrusted = "entry host not trusted", "certificate_rejected", true, true
		return p
	case errors.As(err, &op) && op.Op == "dial":
		p := noAnswerProblem(err, OutcomeNotRun)
		p.Title, p.Reason, p.unreached = "entry host not reached", "not_reached", true
		return p
	}
	return noAnswerProblem(err, OutcomeUnknown)
}

func noAnswerProblem(err error, outcome Outcome) *Problem {
	return &Problem{cause: err, Detail: err.Error(), Outcome: outcome, Reason: "no_answer", Title: "no complete answer"}
}

// problemFromResponse returns the problem that an entry host or a load balancer responded with, or nil if the response
// is the service's own.
func problemFromResponse(res *http.Response) *Problem {
	p := &Problem{}
	media, _, _ := mime.ParseMediaType(res.Header.Get("Content-Type"))
	switch {
	case media == ProblemType:
		text, err := io.ReadAll(io.LimitReader(res.Body, maxProblemBytes))
		if err != nil || json.Unmarshal(text, p) != nil || p.Outcome == "" || p.Outcome == OutcomeDone {
			// The problem details are the service's own and are returned to the caller.
			res.Body = restoreBody(text, err, res.Body)
			return nil
		}
	case res.Header.Get(HeaderZone) == "" && isGatewayStatus(res.StatusCode):
		// Entry hosts always set HeaderZone. Without it a load balancer answered, which may have forwarded the request.
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

// restoreBody returns a body that starts with the bytes already read and continues with rest, or with err if reading
// failed.
func restoreBody(text []byte, err error, rest io.ReadCloser) io.ReadCloser {
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
