package laburnumridge

import (
	"crypto/tls"
	"net/http"
	"net/url"
	"strings"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
)

// DefaultURL is the base URL of clients created without WithURLs.
const DefaultURL = "http://127.0.0.1:8400"

// defaultTimeout applies to calls whose context has no deadline.
const defaultTimeout = 30 * time.Second

// Client sends requests to one of several entry hosts and fails over between them. It is safe for concurrent use.
type Client struct {
	backoff backoff
	budget  *retryBudget
	http    *http.Client
	// urlIndex modulo len(urls) is the index of the URL in use; it advances when an entry host fails.
	urlIndex atomic.Int64
	timeout  time.Duration
	token    string
	urls     []string
	zone     atomic.Pointer[string]
}

// Option configures a Client.
type Option func(*Client)

// New returns a client; errors match ErrInvalid.
func New(opts ...Option) (*Client, error) {
	c := &Client{
		backoff: backoff{minDelay: 50 * time.Millisecond, maxDelay: 2 * time.Second},
		budget:  newRetryBudget(0.1, 10),
		http:    &http.Client{},
		timeout: defaultTimeout,
		urls:    []string{DefaultURL},
	}
	for _, o := range opts {
		o(c)
	}
	if len(c.urls) == 0 {
		return nil, eris.Wrap(ErrInvalid, "no base URL")
	}
	for i, base := range c.urls {
		u, err := url.Parse(base)
		if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" {
			return nil, eris.Wrapf(ErrInvalid, "base URL %q is not such as %s", base, DefaultURL)
		}
		c.urls[i] = strings.TrimRight(base, "/")
	}
	// Redirects are not followed: they could send the token, or a request for the second time, to another host.
	client := *c.http
	client.CheckRedirect = func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	c.http = &client
	return c, nil
}

// WithHTTPClient replaces the HTTP client. Its CheckRedirect is ignored: redirects are never followed. If WithTLS is given as
// well, the last of the two options applies.
func WithHTTPClient(h *http.Client) Option { return func(c *Client) { c.http = h } }

// WithRetryBudget limits retries with a token bucket: each call adds ratio tokens, up to burst, and each retry takes one. The
// bucket is full at first. The default is a ratio of 0.1 and a burst of 10.
func WithRetryBudget(ratio, burst float64) Option {
	return func(c *Client) { c.budget = newRetryBudget(ratio, burst) }
}

// WithTLS replaces the HTTP client by one with the given TLS configuration. If WithHTTPClient is given as well, the last of
// the two options applies.
func WithTLS(config *tls.Config) Option {
	return func(c *Client) {
		t := http.DefaultTransport.(*http.Transport).Clone()
		t.TLSClientConfig = config
		c.http = &http.Client{Transport: t}
	}
}

// WithTimeout sets the timeout of calls whose context has no deadline.
func WithTimeout(d time.Duration) Option { return func(c *Client) { c.timeout = d } }

// WithToken sets the bearer token of operator calls. The Do method does not send it.
func WithToken(token string) Option { return func(c *Client) { c.token = token } }

// WithURLs sets the base URLs of the entry hosts. The client keeps to one of them, at first the first one, and goes on to the
// next, cyclically, when a host fails or is overloaded.
func WithURLs(urls ...string) Option {
	return func(c *Client) { c.urls = append([]string(nil), urls...) }
}

// Zone returns the zone of the entry host that answered last, or "" before the first response.
func (c *Client) Zone() string {
	if z := c.zone.Load(); z != nil {
		return *z
	}
	return ""
}

func (c *Client) baseURL() string {
	return c.urls[int(c.urlIndex.Load())%len(c.urls)]
}

// advanceURL switches to the next URL, unless a concurrent call has already switched away from base.
func (c *Client) advanceURL(base string) {
	i := c.urlIndex.Load()
	if c.urls[int(i)%len(c.urls)] == base {
		c.urlIndex.CompareAndSwap(i, i+1)
	}
}
