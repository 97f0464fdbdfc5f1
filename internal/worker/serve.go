package worker

import (
	"context"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/laburnumridge/laburnumridge/internal/fleet"
	"github.com/rotisserie/eris"
)

// Headers of requests below PathServe and of their responses.
const (
	// HeaderDeadline is the remaining time in milliseconds, or a time in RFC 3339 format.
	HeaderDeadline = "Laburnumridge-Deadline"
	HeaderEpoch    = "Laburnumridge-Epoch"
	// HeaderKey is the idempotency key; it is set for non-idempotent requests only.
	HeaderKey = "Laburnumridge-Key"
	// HeaderOutcome is OutcomeNotRun if the worker refused the request without running it.
	HeaderOutcome = "Laburnumridge-Outcome"
	// HeaderRequestID is copied from the request to every response.
	HeaderRequestID = "Laburnumridge-Request-Id"
	HeaderShard     = "Laburnumridge-Shard"
	// HeaderWorker is the worker's id; set in responses.
	HeaderWorker = "Laburnumridge-Worker"
)

// OutcomeNotRun is the outcome of a request that the worker refused without running it.
const OutcomeNotRun = "not_run"

// maxRefusalBytes limits how much of a refusal's body is read.
const maxRefusalBytes = 4 << 10

// Request is a caller's request to a backend server.
type Request struct {
	// Body may be nil.
	Body io.Reader
	// ContentLength is the length of Body, or -1 if it is unknown.
	ContentLength int64
	Epoch         int64
	// NewConnection makes the request use a new connection, for hedged requests and after a connection stopped
	// responding.
	NewConnection bool
	Header        http.Header
	ID            string
	// Key is the idempotency key of a non-idempotent request.
	Key    string
	Method string
	// Path is the URL path after the service name, escaped as the caller sent it.
	Path    string
	Query   string
	Service string
	Shard   fleet.ShardID
}

// ParseDeadline parses a HeaderDeadline received at now; for an empty value it returns the zero time.
func ParseDeadline(value string, now time.Time) (time.Time, error) {
	if value == "" {
		return time.Time{}, nil
	}
	if remaining, err := strconv.ParseInt(value, 10, 64); err == nil {
		return now.Add(time.Duration(remaining) * time.Millisecond), nil
	}
	at, err := time.Parse(time.RFC3339Nano, value)
	return at, eris.Wrapf(err, "deadline %q", value)
}

// SendRequest sends a request to a backend server; the caller must close the response body.
//
// The deadline of ctx is sent as the remaining time, because the clocks of hosts differ. Errors match ErrRefused or
// ErrUnreachable if the request did not run, or else ErrUnknownOutcome.
func (c *Client) SendRequest(ctx context.Context, address string, in Request) (*http.Response, error) {
	req, err := in.newHTTPRequest(ctx, c.scheme, address)
	if err != nil {
		return nil, eris.Wrapf(ErrUnreachable, "request %s for worker %s: %v", in.ID, address, err)
	}
	h := c.requests
	if in.NewConnection {
		h = c.unpooled
	}
	res, err := do(h, req, address)
	if err != nil {
		return nil, eris.Wrapf(err, "request %s", in.ID)
	}
	// The id is checked first, because a refusal of another request says nothing about the outcome of this one.
	if got := res.Header.Get(HeaderRequestID); got != in.ID {
		_ = res.Body.Close()
		return nil, eris.Wrapf(ErrUnknownOutcome, "request %s: worker %s answered request %q", in.ID, address, got)
	}
	if res.StatusCode == http.StatusServiceUnavailable && res.Header.Get(HeaderOutcome) == OutcomeNotRun {
		defer res.Body.Close()
		// The header alone proves that the request did not run, even if the body can't be read.
		data, _ := io.ReadAll(io.LimitReader(res.Body, maxRefusalBytes))
		if err := decodeRefusal(data, address); !eris.Is(err, ErrUnknownOutcome) {
			return nil, eris.Wrapf(err, "request %s", in.ID)
		}
		return nil, eris.Wrapf(ErrRefused, "request %s: worker %s gave no reason", in.ID, address)
	}
	return res, nil
}

// newHTTPRequest builds the HTTP request to a worker. HeaderKey and HeaderDeadline in r.Header are not passed on.
func (r Request) newHTTPRequest(ctx context.Context, scheme, address string) (*http.Request, error) {
	target := scheme + "://" + address + PathServe + url.PathEscape(r.Service) + "/" + strings.TrimPrefix(r.Path, "/")
	if r.Query != "" {
		target += "?" + r.Query
	}
	// When a reused connection breaks, net/http's transport sends a GET without a body, or a request with an
	// Idempotency-Key header, again, although it may have run. A body that can't be rewound prevents this.
	body := r.Body
	if body == nil {
		body = strings.NewReader("")
	}
	req, err := http.NewRequestWithContext(ctx, r.Method, target, io.NopCloser(body))
	if err != nil {
		return nil, err
	}
	if r.Body != nil {
		req.ContentLength = r.ContentLength
	}
	if r.Header != nil {
		req.Header = r.Header.Clone()
	}
	if req.Header.Get("User-Agent") == "" {
		req.Header["User-Agent"] = []string{""}
	}
	req.Header.Set(HeaderRequestID, r.ID)
	req.Header.Set(HeaderEpoch, strconv.FormatInt(r.Epoch, 10))
	req.Header.Set(HeaderShard, r.Shard.String())
	req.Header.Del(HeaderKey)
	if r.Key != "" {
		req.Header.Set(HeaderKey, r.Key)
	}
	req.Header.Del(HeaderDeadline)
	if deadline, ok := ctx.Deadline(); ok {
		remaining := max(time.Until(deadline).Milliseconds(), 0)
		req.Header.Set(HeaderDeadline, strconv.FormatInt(remaining, 10))
	}
	return req, nil
}
