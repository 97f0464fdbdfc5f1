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

// Headers of requests at /serve/ and of their responses.
const (
	// HeaderDeadline is the time left in milliseconds, or a time as in RFC 3339.
	HeaderDeadline = "Laburnumridge-Deadline"
	HeaderEpoch    = "Laburnumridge-Epoch"
	// HeaderKey is the idempotency key; only non-idempotent requests have one.
	HeaderKey = "Laburnumridge-Key"
	// HeaderOutcome is OutcomeNotRun if the worker refused before running.
	HeaderOutcome = "Laburnumridge-Outcome"
	// HeaderRequestID is echoed by every response.
	HeaderRequestID = "Laburnumridge-Request-Id"
	HeaderShard     = "Laburnumridge-Shard"
	// HeaderWorker names the worker in responses.
	HeaderWorker = "Laburnumridge-Worker"
)

// OutcomeNotRun is the outcome of a request that the worker refused before running.
const OutcomeNotRun = "not_run"

// maxRefusalBytes bounds the body of a refusal.
const maxRefusalBytes = 4 << 10

// Request is a caller's request to a backend server.
type Request struct {
	// Body may be nil.
	Body io.Reader
	// ContentLength is the length of Body, or -1 if it isn't known.
	ContentLength int64
	Epoch         int64
	// Fresh makes the request use a new connection, for hedges and after a silent connection.
	Fresh  bool
	Header http.Header
	ID     string
	// Key is the idempotency key of a non-idempotent request.
	Key    string
	Method string
	// Path is what follows the service, escaped as the caller sent it.
	Path    string
	Query   string
	Service string
	Shard   fleet.ShardID
}

// ParseDeadline reads a HeaderDeadline that arrived at now; an empty value gives the zero time.
func ParseDeadline(value string, now time.Time) (time.Time, error) {
	if value == "" {
		return time.Time{}, nil
	}
	if left, err := strconv.ParseInt(value, 10, 64); err == nil {
		return now.Add(time.Duration(left) * time.Millisecond), nil
	}
	at, err := time.Parse(time.RFC3339Nano, value)
	return at, eris.Wrapf(err, "deadline %q", value)
}

// Serve sends a request; the caller closes the body of the response.
//
// The deadline of ctx travels as the time left, because the clocks of hosts differ. Errors match
// ErrRefused and ErrUnreachable if the request did not run, or ErrUnknownOutcome.
func (c *Client) Serve(ctx context.Context, address string, in Request) (*http.Response, error) {
	req, err := in.build(ctx, c.scheme, address)
	if err != nil {
		return nil, eris.Wrapf(ErrUnreachable, "request %s for worker %s: %v", in.ID, address, err)
	}
	h := c.requests
	if in.Fresh {
		h = c.fresh
	}
	res, err := do(h, req, address)
	if err != nil {
		return nil, eris.Wrapf(err, "request %s", in.ID)
	}
	// The id comes first: a refusal that belongs to another request says nothing about this one.
	if got := res.Header.Get(HeaderRequestID); got != in.ID {
		_ = res.Body.Close()
		return nil, eris.Wrapf(ErrUnknownOutcome, "request %s: worker %s answered request %q", in.ID, address, got)
	}
	if res.StatusCode == http.StatusServiceUnavailable && res.Header.Get(HeaderOutcome) == OutcomeNotRun {
		defer res.Body.Close()
		// The header alone says that the request did not run, whatever becomes of the body.
		data, _ := io.ReadAll(io.LimitReader(res.Body, maxRefusalBytes))
		if err := refusal(data, address); !eris.Is(err, ErrUnknownOutcome) {
			return nil, eris.Wrapf(err, "request %s", in.ID)
		}
		return nil, eris.Wrapf(ErrRefused, "request %s: worker %s gave no reason", in.ID, address)
	}
	return res, nil
}

func (r Request) build(ctx context.Context, scheme, address string) (*http.Request, error) {
	target := scheme + "://" + address + PathServe + url.PathEscape(r.Service) + "/" + strings.TrimPrefix(r.Path, "/")
	if r.Query != "" {
		target += "?" + r.Query
	}
	// The transport repeats a GET without body, or a request with an Idempotency-Key header, when a connection
	// breaks after it was sent; a body that can't be rewound prevents that.
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
		left := max(time.Until(deadline).Milliseconds(), 0)
		req.Header.Set(HeaderDeadline, strconv.FormatInt(left, 10))
	}
	return req, nil
}
