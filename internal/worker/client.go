package worker

import (
	"bytes"
	"context"
	"crypto/tls"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
)

// Limits of the client's connections and of response bodies.
const (
	defaultTimeout     = time.Second
	defaultDialTimeout = 500 * time.Millisecond
	// defaultRequestConns covers a worker's 8 slots and 64 feed connections, with spare connections for hedged requests.
	defaultRequestConns = 96
	// maxControlConns allows a few task calls in parallel with the heartbeat of a worker.
	maxControlConns = 8
	// maxIdleControlConns is low, because each idle connection that is dead without an error makes one call time out.
	maxIdleControlConns = 2
	idleConnTimeout     = time.Minute
	// maxReportBytes limits the size of a full report, which takes about 150 bytes per task.
	maxReportBytes = 4 << 20
)

// DialFunc opens a connection, like net.Dialer.DialContext.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Client calls workers. It is safe for concurrent use.
type Client struct {
	control *http.Client
	// unpooled opens a new connection for each request.
	unpooled *http.Client
	// requests has its own connection pool, so that feeds can't delay heartbeats.
	requests *http.Client
	scheme   string
	timeout  time.Duration
}

type options struct {
	dial         DialFunc
	requestConns int
	timeout      time.Duration
	tls          *tls.Config
}

// Option configures a new client.
type Option func(*options)

// WithDial replaces the function that opens connections.
func WithDial(dial DialFunc) Option { return func(o *options) { o.dial = dial } }

// WithRequestConns limits the connections for requests to each worker; the default is 96.
func WithRequestConns(n int) Option { return func(o *options) { o.requestConns = n } }

// WithTLS makes the client use HTTPS.
func WithTLS(config *tls.Config) Option { return func(o *options) { o.tls = config } }

// WithTimeout sets the timeout of each control call; the default is 1 s.
func WithTimeout(d time.Duration) Option { return func(o *options) { o.timeout = d } }

// NewClient returns a client; connections are opened when they are needed.
func NewClient(opts ...Option) *Client {
	o := options{
		dial:         (&net.Dialer{Timeout: defaultDialTimeout}).DialContext,
		requestConns: defaultRequestConns,
		timeout:      defaultTimeout,
	}
	for _, opt := range opts {
		opt(&o)
	}
	c := &Client{
		control:  o.newHTTPClient(maxControlConns, maxIdleControlConns, false),
		unpooled: o.newHTTPClient(0, 0, true),
		requests: o.newHTTPClient(o.requestConns, o.requestConns, false),
		scheme:   "http",
		timeout:  o.timeout,
	}
	if o.tls != nil {
		c.scheme = "https"
	}
	return c
}

func (o options) newHTTPClient(maxConns, maxIdleConns int, disableKeepAlives bool) *http.Client {
	return &http.Client{
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		Transport: &http.Transport{
			DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
				conn, err := o.dial(ctx, network, address)
				if err != nil {
					return nil, err
				}
				return &countingConn{Conn: conn}, nil
			},
			DisableCompression:  true,
			DisableKeepAlives:   disableKeepAlives,
			IdleConnTimeout:     idleConnTimeout,
			MaxConnsPerHost:     maxConns,
			MaxIdleConnsPerHost: maxIdleConns,
			TLSClientConfig:     o.tls,
		},
	}
}

// Checkpoint makes an attempt write a checkpoint and returns its state.
func (c *Client) Checkpoint(ctx context.Context, address string, in CheckpointRequest) (Task, error) {
	return call[Task](ctx, c, address, PathCheckpoint, in)
}

// Close closes the idle connections.
func (c *Client) Close() {
	for _, h := range []*http.Client{c.control, c.unpooled, c.requests} {
		h.CloseIdleConnections()
	}
}

// Fence installs an epoch and returns a full report. Heartbeats and starts need the token of the last report.
func (c *Client) Fence(ctx context.Context, address string, in FenceRequest) (Report, error) {
	return call[Report](ctx, c, address, PathFence, in)
}

// Heartbeat renews the leases of all tasks of a worker and returns the changes since the last report.
func (c *Client) Heartbeat(ctx context.Context, address string, in HeartbeatRequest) (Report, error) {
	return call[Report](ctx, c, address, PathHeartbeat, in)
}

// Start starts an attempt and returns its state.
func (c *Client) Start(ctx context.Context, address string, in StartRequest) (Task, error) {
	return call[Task](ctx, c, address, PathStart, in)
}

// Stop ends an attempt and returns its last state.
func (c *Client) Stop(ctx context.Context, address string, in StopRequest) (Task, error) {
	return call[Task](ctx, c, address, PathStop, in)
}

// Throttle limits the speed of an attempt and returns its state.
func (c *Client) Throttle(ctx context.Context, address string, in ThrottleRequest) (Task, error) {
	return call[Task](ctx, c, address, PathThrottle, in)
}

func call[Out, In any](ctx context.Context, c *Client, address, path string, in In) (Out, error) {
	var out Out
	body, err := json.Marshal(in)
	if err != nil {
		return out, eris.Wrapf(ErrUnreachable, "encode %s for worker %s: %v", path, address, err)
	}
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.scheme+"://"+address+path, bytes.NewReader(body))
	if err != nil {
		return out, eris.Wrapf(ErrUnreachable, "%s at worker %s: %v", path, address, err)
	}
	// With an empty value the transport sends no User-Agent header.
	req.Header["User-Agent"] = []string{""}
	res, err := do(c.control, req, address)
	if err != nil {
		return out, err
	}
	defer res.Body.Close()
	data, err := io.ReadAll(io.LimitReader(res.Body, maxReportBytes))
	if err != nil {
		return out, eris.Wrapf(ErrUnknownOutcome, "read answer to %s of worker %s: %v", path, address, err)
	}
	switch res.StatusCode {
	case http.StatusOK:
		if err := json.Unmarshal(data, &out); err != nil {
			return out, eris.Wrapf(ErrUnknownOutcome, "decode answer to %s of worker %s: %v", path, address, err)
		}
		return out, nil
	case http.StatusConflict:
		return out, decodeRefusal(data, address)
	}
	return out, eris.Wrapf(ErrUnknownOutcome, "%s at worker %s: status %d", path, address, res.StatusCode)
}

// do sends a request. Errors match ErrUnreachable if nothing was sent, or else ErrUnknownOutcome.
func do(h *http.Client, req *http.Request, address string) (*http.Response, error) {
	var trace sentTrace
	res, err := h.Do(req.WithContext(trace.context(req.Context())))
	if err == nil {
		return res, nil
	}
	if trace.wasSent() {
		return nil, eris.Wrapf(ErrUnknownOutcome, "worker %s: %v", address, err)
	}
	return nil, eris.Wrapf(ErrUnreachable, "worker %s: %v", address, err)
}

func decodeRefusal(data []byte, address string) error {
	var r Refusal
	if err := json.Unmarshal(data, &r); err != nil || r.Reason == "" {
		return eris.Wrapf(ErrUnknownOutcome, "worker %s refused without a reason", address)
	}
	return eris.Wrapf(r, "worker %s", address)
}
