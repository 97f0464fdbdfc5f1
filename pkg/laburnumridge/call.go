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

// maxAnswerBytes limits the body that Do reads into memory; it does not apply with WithStream.
const maxAnswerBytes = 64 << 20

// Answer is the response of a service; it is complete unless WithStream is set.
type Answer struct {
	// Attempts is the number of times that the request was attempted.
	Attempts int
	// Body must be closed by the caller. With WithStream it is read from the connection.
	Body   io.ReadCloser
	Header http.Header
	// Key is the idempotency key that was sent with the request, if any.
	Key    string
	Status int
}

// CallOption configures a single request.
type CallOption func(*callOptions)

type callOptions struct {
	header     http.Header
	idempotent bool
	key        string
	stream     bool
	withoutKey bool
}

// WithHeader adds a header to the request.
func WithHeader(name, value string) CallOption {
	return func(o *callOptions) { o.header.Add(name, value) }
}

// WithIdempotent marks the request as idempotent, so that it is retried after an unknown outcome even without a key.
// GET, HEAD and OPTIONS requests are always idempotent.
func WithIdempotent() CallOption { return func(o *callOptions) { o.idempotent = true } }

// WithKey sends the given idempotency key instead of a generated one, to repeat an earlier request.
func WithKey(key string) CallOption { return func(o *callOptions) { o.key = key } }

// WithStream makes Do return as soon as the response header is received, for feeds. The client's default timeout does
// not apply.
func WithStream() CallOption { return func(o *callOptions) { o.stream = true } }

// WithoutKey sends no idempotency key. After an unknown outcome the request is then retried only if it is idempotent.
func WithoutKey() CallOption { return func(o *callOptions) { o.withoutKey = true } }

// Do sends a request to a service and retries it if that is safe. A response of the service is returned whatever its
// status. Errors are a *Problem, or match ErrInvalid if the request is malformed or the response too large. All attempts
// carry the same idempotency key, so a request with a key runs at most once.
func (c *Client) Do(
	ctx context.Context, service, method, path string, body []byte, opts ...CallOption,
) (*Answer, error) {
	if service == "" || strings.ContainsAny(service, "/?#") {
		return nil, eris.Wrapf(ErrInvalid, "service %q", service)
	}
	if path != "" && !strings.HasPrefix(path, "/") {
		return nil, eris.Wrapf(ErrInvalid, "path %q must start with /", path)
	}
	call := callOptions{header: http.Header{}}
	for _, o := range opts {
		o(&call)
	}
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions:
		call.idempotent = true
	}
	if call.withoutKey {
		call.key = ""
	} else if call.key == "" {
		call.key = c.newKey()
	}
	if call.key != "" {
		call.header.Set(HeaderKey, call.key)
	}
	if !call.stream {
		var cancel context.CancelFunc
		ctx, cancel = c.withDeadline(ctx)
		defer cancel()
	}
	answer := &Answer{Key: call.key}
	err := c.withRetries(ctx, call.idempotent || call.key != "", func(base string) error {
		answer.Attempts++
		res, err := c.send(ctx, method, base+"/"+url.PathEscape(service)+path, call.header, body)
		if err != nil {
			return err
		}
		answer.Body, answer.Header, answer.Status = res.Body, res.Header, res.StatusCode
		if call.stream {
			return nil
		}
		return answer.readBody()
	})
	if err != nil {
		return nil, err
	}
	return answer, nil
}

// newKey returns a new idempotency key. Its prefix names its home zone, in which the key is recorded: the zone that answered
// last. While no zone is known, the key has no prefix, and entry hosts choose its home zone by hash.
func (c *Client) newKey() string {
	id := ulid.Make().String()
	if zone := c.Zone(); zone != "" {
		return zone + ":" + id
	}
	return id
}

// withDeadline applies the client's default timeout unless ctx has a deadline.
func (c *Client) withDeadline(ctx context.Context) (context.Context, context.CancelFunc) {
	if _, ok := ctx.Deadline(); ok {
		return ctx, func() {}
	}
	return context.WithTimeout(ctx, c.timeout)
}

// readBody reads the complete body into memory, so that a truncated response is handled as an unknown outcome.
func (a *Answer) readBody() error {
	defer a.Body.Close()
	text, err := io.ReadAll(io.LimitReader(a.Body, maxAnswerBytes+1))
	if err != nil {
		return noAnswerProblem(err, OutcomeUnknown)
	}
	if len(text) > maxAnswerBytes {
		return eris.Wrapf(ErrInvalid, "answer is longer than %d bytes; receive it as a stream", maxAnswerBytes)
	}
	a.Body = io.NopCloser(bytes.NewReader(text))
	return nil
}
