package laburnumridge_test

import (
	"context"
	"crypto/tls"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/laburnumridge/laburnumridge/pkg/laburnumridge"
)

// fakeTransport is an HTTP transport that runs one step per request, in order; the last step repeats.
type fakeTransport struct {
	requests []*http.Request
	steps    []func() (*http.Response, error)
}

func (n *fakeTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	step := n.steps[min(len(n.requests), len(n.steps)-1)]
	n.requests = append(n.requests, r)
	return step()
}

func (n *fakeTransport) client(t *testing.T, opts ...laburnumridge.Option) *laburnumridge.Client {
	t.Helper()
	opts = append([]laburnumridge.Option{laburnumridge.WithHTTPClient(&http.Client{Transport: n})}, opts...)
	c, err := laburnumridge.New(opts...)
	assert.NilError(t, err)
	return c
}

func respond(status int, body string, header ...string) func() (*http.Response, error) {
	return func() (*http.Response, error) {
		h := http.Header{laburnumridge.HeaderZone: {"kelaniya"}}
		for i := 0; i+1 < len(header); i += 2 {
			h.Set(header[i], header[i+1])
		}
		return &http.Response{StatusCode: status, Header: h, Body: io.NopCloser(strings.NewReader(body))}, nil
	}
}

func problem(status int, outcome string, header ...string) func() (*http.Response, error) {
	header = append(header, "Content-Type", laburnumridge.ProblemType)
	return respond(status, `{"title":"t","outcome":"`+outcome+`"}`, header...)
}

func fails(err error) func() (*http.Response, error) {
	return func() (*http.Response, error) { return nil, err }
}

var (
	errRefused = &net.OpError{Op: "dial", Err: errors.New("connection refused")}
	errTrust   = &tls.CertificateVerificationError{Err: errors.New("unknown authority")}
	errReset   = &net.OpError{Op: "read", Err: errors.New("connection reset")}
)

// TestRetryOnlyWhenSafe guards against a retry that may run a request twice, a safe retry that is not made, and the
// outcome not_run for a request of which an earlier attempt may have run.
func TestRetryOnlyWhenSafe(t *testing.T) {
	type steps = []func() (*http.Response, error)
	withoutKey := laburnumridge.WithoutKey()
	for name, tc := range map[string]struct {
		steps  steps
		method string
		opts   []laburnumridge.CallOption
		sent   int
		err    error
	}{
		"answer":                    {steps{respond(200, "ok")}, "POST", nil, 1, nil},
		"not run":                   {steps{problem(503, "not_run"), respond(200, "ok")}, "POST", nil, 2, nil},
		"not run, no key":           {steps{problem(503, "not_run"), respond(200, "ok")}, "POST", []laburnumridge.CallOption{withoutKey}, 2, nil},
		"unknown with key":          {steps{fails(errReset), respond(200, "ok")}, "POST", nil, 2, nil},
		"unknown, no key":           {steps{fails(errReset), respond(200, "ok")}, "POST", []laburnumridge.CallOption{withoutKey}, 1, laburnumridge.ErrUnknown},
		"unknown, no key, GET":      {steps{fails(errReset), respond(200, "ok")}, "GET", []laburnumridge.CallOption{withoutKey}, 2, nil},
		"unknown, idempotent":       {steps{problem(504, "unknown"), respond(200, "ok")}, "PUT", []laburnumridge.CallOption{withoutKey, laburnumridge.WithIdempotent()}, 2, nil},
		"duplicate runs":            {steps{problem(409, "unknown"), respond(200, "ok")}, "POST", nil, 2, nil},
		"invalid":                   {steps{problem(400, "not_run")}, "POST", nil, 1, laburnumridge.ErrInvalid},
		"service's own 503":         {steps{respond(503, "busy")}, "POST", nil, 1, nil},
		"service's own problem":     {steps{respond(409, `{"title":"taken"}`, "Content-Type", laburnumridge.ProblemType)}, "POST", nil, 1, nil},
		"load balancer's 502":       {steps{respond(502, "", laburnumridge.HeaderZone, "")}, "POST", []laburnumridge.CallOption{withoutKey}, 1, laburnumridge.ErrUnknown},
		"unknown, then not run":     {steps{fails(errReset), problem(400, "not_run")}, "POST", nil, 2, laburnumridge.ErrUnknown},
		"unknown, then not reached": {steps{fails(errReset), fails(errRefused)}, "POST", nil, 6, laburnumridge.ErrUnknown},
		"never reached":             {steps{fails(errRefused)}, "POST", nil, 6, laburnumridge.ErrNotRun},
		"not trusted":               {steps{fails(errTrust)}, "GET", nil, 1, laburnumridge.ErrNotRun},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := &fakeTransport{steps: tc.steps}
				answer, err := n.client(t).Do(t.Context(), "dose-orders", tc.method, "/rooms/4", []byte("{}"), tc.opts...)
				assert.Equal(t, len(n.requests), tc.sent)
				if tc.err != nil {
					assert.ErrorIs(t, err, tc.err)
					assert.Assert(t, tc.err != laburnumridge.ErrUnknown || !errors.Is(err, laburnumridge.ErrNotRun))
					return
				}
				assert.NilError(t, err)
				assert.Equal(t, answer.Attempts, tc.sent)
				for _, r := range n.requests {
					assert.Equal(t, r.Header.Get(laburnumridge.HeaderKey), answer.Key)
					assert.Equal(t, r.URL.Path, "/dose-orders/rooms/4")
				}
			})
		})
	}
}

// TestOtherHostIsTriedAfterRejectedCertificate guards against a client that gives up, or never retries, because one of its entry
// hosts has a certificate that is not trusted.
func TestOtherHostIsTriedAfterRejectedCertificate(t *testing.T) {
	for name, steps := range map[string][]func() (*http.Response, error){
		"other host answers":  {fails(errTrust), respond(200, "ok")},
		"other host restarts": {fails(errRefused), fails(errTrust), respond(200, "ok")},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := &fakeTransport{steps: steps}
				c := n.client(t, laburnumridge.WithURLs("https://a", "https://b"))
				_, err := c.Do(t.Context(), "dose-orders", http.MethodGet, "/rooms/4", nil)
				assert.NilError(t, err)
				assert.Equal(t, len(n.requests), len(steps))
				assert.Assert(t, n.requests[0].URL.Host != n.requests[1].URL.Host)
			})
		})
	}
}

// TestKeyHasZonePrefix guards against keys without a zone although the zone is known, and against two requests with the
// same key.
func TestKeyHasZonePrefix(t *testing.T) {
	n := &fakeTransport{steps: []func() (*http.Response, error){respond(200, "ok")}}
	c := n.client(t, laburnumridge.WithToken("secret"))
	first, err := c.Do(t.Context(), "dose-orders", "POST", "", nil)
	assert.NilError(t, err)
	assert.Equal(t, len(first.Key), 26) // a ULID without a zone prefix
	second, err := c.Do(t.Context(), "dose-orders", "POST", "", nil)
	assert.NilError(t, err)
	assert.Assert(t, strings.HasPrefix(second.Key, "kelaniya:"))
	assert.Assert(t, !strings.HasSuffix(second.Key, first.Key))
	assert.Equal(t, n.requests[0].Header.Get("Authorization"), "", "a service must not see the operators' token")
}

// TestDeadlineIsSent guards against retries after the deadline, and against a timeout header that exceeds the remaining
// time.
func TestDeadlineIsSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), 3500*time.Millisecond)
		defer cancel()
		n := &fakeTransport{steps: []func() (*http.Response, error){problem(503, "not_run", "Retry-After", "2")}}
		start := time.Now()
		_, err := n.client(t).Do(ctx, "dose-orders", "POST", "", nil)
		assert.ErrorIs(t, err, laburnumridge.ErrUnavailable)
		assert.Equal(t, len(n.requests), 2)
		assert.Equal(t, time.Since(start), 2*time.Second, "Retry-After is kept, and no wait ends after the deadline")
		for i, want := range []int{3500, 1500} {
			remaining, err := strconv.Atoi(n.requests[i].Header.Get(laburnumridge.HeaderTimeout))
			assert.NilError(t, err)
			assert.Equal(t, remaining, want)
		}
	})
}

// TestRetryBudget guards against a retry storm while all entry hosts refuse requests.
func TestRetryBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := &fakeTransport{steps: []func() (*http.Response, error){problem(503, "not_run")}}
		c := n.client(t, laburnumridge.WithRetryBudget(0.1, 5))
		for range 200 {
			_, err := c.Do(t.Context(), "dosing-checks", "GET", "", nil)
			assert.ErrorIs(t, err, laburnumridge.ErrNotRun)
		}
		assert.Assert(t, len(n.requests) <= 200+5+20, "%d attempts of 200 requests", len(n.requests))
		assert.Assert(t, len(n.requests) > 200)
	})
}

// TestTruncatedResponseIsRetried guards against a truncated response that is returned as a complete one.
func TestTruncatedResponseIsRetried(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		truncated := func() (*http.Response, error) {
			res, err := respond(200, "")()
			res.Body = io.NopCloser(io.MultiReader(strings.NewReader("half"), failingReader{}))
			return res, err
		}
		n := &fakeTransport{steps: []func() (*http.Response, error){truncated, respond(200, "half and half")}}
		answer, err := n.client(t).Do(t.Context(), "release-plans", "GET", "", nil)
		assert.NilError(t, err)
		text, err := io.ReadAll(answer.Body)
		assert.NilError(t, err)
		assert.Equal(t, string(text), "half and half")
	})
}

type failingReader struct{}

func (failingReader) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }
