package laburnumridge

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/url"
	"strings"

	"github.com/oklog/ulid/v2"
	"github.com/rotisserie/eris"
)

// maxAnswerBytes bounds an answer that Do holds in memory; WithStream has no bound.
const maxAnswerBytes = 64 << 20

// Answer is the complete answer of a service.
type Answer struct {
	// Attempts counts the times that the request was sent.
	Attempts int
	// Body must be closed; with WithStream it is still being received.
	Body   io.ReadCloser
	Header http.Header
	// Key is the idempotency key that the request carried, if any.
	Key    string
	Status int
}

// CallOption sets a property of one request.
type CallOption func(*call)

type call struct {
	header     http.Header
	idempotent bool
	key        string
	stream     bool
	withoutKey bool
}

// WithHeader adds a header to the request.
func WithHeader(name, value string) CallOption {
	return func(c *call) { c.header.Add(name, value) }
}

// WithIdempotent says that running the request twice does no harm; it is implied by GET, HEAD and OPTIONS.
func WithIdempotent() CallOption { return func(c *call) { c.idempotent = true } }

// WithKey sets the idempotency key instead of a new one, to repeat an earlier request.
func WithKey(key string) CallOption { return func(c *call) { c.key = key } }

// WithStream returns the answer as soon as its header is received, for feeds; no default timeout applies.
func WithStream() CallOption { return func(c *call) { c.stream = true } }

// WithoutKey sends no idempotency key, so that an unknown outcome is retried only if idempotent.
func WithoutKey() CallOption { return func(c *call) { c.withoutKey = true } }

// Do sends a request to a service and retries it where that is safe. An answer of the service is
// returned whatever its status; errors are a *Problem, or match ErrInvalid if nothing could be sent.
// All attempts carry the same idempotency key, so the work of the request runs at most once.
func (c *Client) Do(
	ctx context.Context, service, method, path string, body []byte, opts ...CallOption,
) (*Answer, error) {
	if service == "" || strings.ContainsAny(service, "/?#") {
		return nil, eris.Wrapf(ErrInvalid, "service %q", service)
	}
	if path != "" && !strings.HasPrefix(path, "/") {
		return nil, eris.Wrapf(ErrInvalid, "path %q must start with /", path)
	}
	k := call{header: http.Header{}}
	for _, o := range opts {
		o(&k)
	}
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions:
		k.idempotent = true
	}
	if k.withoutKey {
		k.key = ""
	} else if k.key == "" {
		k.key = c.mintKey()
	}
	if k.key != "" {
		k.header.Set(HeaderKey, k.key)
	}
	if !k.stream {
		var cancel context.CancelFunc
		ctx, cancel = c.withDeadline(ctx)
		defer cancel()
	}
	answer := &Answer{Key: k.key}
	err := c.repeat(ctx, k.idempotent || k.key != "", func(base string) error {
		answer.Attempts++
		res, err := c.send(ctx, method, base+"/"+url.PathEscape(service)+path, k.header, body)
		if err != nil {
			return err
		}
		answer.Body, answer.Header, answer.Status = res.Body, res.Header, res.StatusCode
		if k.stream {
			return nil
		}
		return answer.receive()
	})
	if err != nil {
		return nil, err
	}
	return answer, nil
}

// mintKey returns a key that the zone of the last answer is home to; a key without a zone is given one by hash.
func (c *Client) mintKey() string {
	id := ulid.Make().String()
	if zone := c.Zone(); zone != "" {
		return zone + ":" + id
	}
	return id
}

func (c *Client) withDeadline(ctx context.Context) (context.Context, context.CancelFunc) {
	if _, ok := ctx.Deadline(); ok {
		return ctx, func() {}
	}
	return context.WithTimeout(ctx, c.timeout)
}

// receive reads the whole body, so that an answer that is cut off counts as lost.
func (a *Answer) receive() error {
	defer a.Body.Close()
	text, err := io.ReadAll(io.LimitReader(a.Body, maxAnswerBytes+1))
	if err != nil {
		return lost(err, OutcomeUnknown)
	}
	if len(text) > maxAnswerBytes {
		return eris.Wrapf(ErrInvalid, "answer is longer than %d bytes; receive it as a stream", maxAnswerBytes)
	}
	a.Body = io.NopCloser(bytes.NewReader(text))
	return nil
}
