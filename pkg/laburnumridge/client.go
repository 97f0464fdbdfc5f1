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

// DefaultURL is the base URL that New uses without WithURLs.
const DefaultURL = "http://127.0.0.1:8400"

// defaultTimeout bounds a call whose context has no deadline.
const defaultTimeout = 30 * time.Second

// Client sends requests to one of several entry hosts; it may be used by several goroutines.
type Client struct {
	backoff backoff
	budget  *budget
	http    *http.Client
	// next is the index of the URL that last answered.
	next    atomic.Int64
	timeout time.Duration
	token   string
	urls    []string
	zone    atomic.Pointer[string]
}

// Option sets a property of a Client.
type Option func(*Client)

// New returns a client; errors match ErrInvalid.
func New(opts ...Option) (*Client, error) {
	c := &Client{
		backoff: backoff{low: 50 * time.Millisecond, high: 2 * time.Second},
		budget:  newBudget(0.1, 10),
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
	// A redirect could carry the token or a repeated request to another host.
	own := *c.http
	own.CheckRedirect = func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	c.http = &own
	return c, nil
}

// WithHTTPClient replaces the HTTP client; redirects are not followed in any case.
func WithHTTPClient(h *http.Client) Option { return func(c *Client) { c.http = h } }

// WithRetryBudget allows ratio retries per first attempt, and up to burst saved retries.
func WithRetryBudget(ratio, burst float64) Option {
	return func(c *Client) { c.budget = newBudget(ratio, burst) }
}

// WithTLS sets the TLS configuration of the default HTTP client.
func WithTLS(config *tls.Config) Option {
	return func(c *Client) {
		t := http.DefaultTransport.(*http.Transport).Clone()
		t.TLSClientConfig = config
		c.http = &http.Client{Transport: t}
	}
}

// WithTimeout bounds calls whose context has no deadline.
func WithTimeout(d time.Duration) Option { return func(c *Client) { c.timeout = d } }

// WithToken sets the bearer token of operator calls; Do does not send it.
func WithToken(token string) Option { return func(c *Client) { c.token = token } }

// WithURLs sets the base URLs of the entry hosts, which are tried in turn.
func WithURLs(urls ...string) Option {
	return func(c *Client) { c.urls = append([]string(nil), urls...) }
}

// Zone returns the zone that the last answer named, or "".
func (c *Client) Zone() string {
	if z := c.zone.Load(); z != nil {
		return *z
	}
	return ""
}

func (c *Client) baseURL() string {
	return c.urls[int(c.next.Load())%len(c.urls)]
}

// skip moves on to the next URL, unless another call has done so already.
func (c *Client) skip(base string) {
	i := c.next.Load()
	if c.urls[int(i)%len(c.urls)] == base {
		c.next.CompareAndSwap(i, i+1)
	}
}
