package caller_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"github.com/laburnumridge/laburnumridge/internal/caller"
	"github.com/laburnumridge/laburnumridge/pkg/laburnumridge"
)

const maxBody = 64

// recorder records the requests that reach the service and returns a fixed response.
type recorder struct {
	requests []caller.Request
	response caller.Response
	body     io.Reader
}

func (r *recorder) handle(_ context.Context, in caller.Request) (*caller.Response, *laburnumridge.Problem) {
	r.requests = append(r.requests, in)
	res := r.response
	if res.Status == 0 {
		res.Status = http.StatusOK
	}
	if r.body == nil {
		r.body = strings.NewReader("ok")
	}
	res.Body = io.NopCloser(r.body)
	return &res, nil
}

func (r *recorder) handler(limits caller.Limits, forward bool) http.Handler {
	e := echo.New()
	log := logrus.New()
	log.SetOutput(io.Discard)
	svc := caller.Service{Handle: r.handle, IsFeed: func(s string) bool { return s == "feed" }, Zone: "z"}
	if forward {
		caller.RegisterForward(e, svc, limits, logrus.NewEntry(log))
	} else {
		caller.Register(e, svc, limits, logrus.NewEntry(log))
	}
	return e
}

func limits() caller.Limits {
	return caller.Limits{MaxBodyBytes: maxBody, ReadTimeout: time.Minute, RequestTimeout: time.Minute}
}

func problemOf(t *testing.T, body io.Reader) laburnumridge.Problem {
	t.Helper()
	var p laburnumridge.Problem
	assert.NilError(t, json.NewDecoder(body).Decode(&p))
	return p
}

// TestRefusedRequestsDidNotRun guards against a malformed request that runs, or whose reported outcome is not not_run.
func TestRefusedRequestsDidNotRun(t *testing.T) {
	for name, tc := range map[string]struct {
		body    string
		reason  string
		status  int
		timeout string
	}{
		"timeout is text":       {reason: "bad_timeout", status: 400, timeout: "soon"},
		"timeout is 0":          {reason: "bad_timeout", status: 400, timeout: "0"},
		"timeout is negative":   {reason: "bad_timeout", status: 400, timeout: "-5"},
		"timeout is a fraction": {reason: "bad_timeout", status: 400, timeout: "1.5"},
		"timeout overflows":     {reason: "bad_timeout", status: 400, timeout: strings.Repeat("9", 30)},
		"body is too large":     {body: strings.Repeat("x", maxBody+1), reason: "body_too_large", status: 413},
	} {
		t.Run(name, func(t *testing.T) {
			var svc recorder
			in := httptest.NewRequest(http.MethodPost, "/svc/a", strings.NewReader(tc.body))
			in.Header.Set(caller.HeaderTimeout, tc.timeout)
			w := httptest.NewRecorder()
			svc.handler(limits(), false).ServeHTTP(w, in)
			assert.Equal(t, w.Code, tc.status)
			assert.Equal(t, w.Header().Get(caller.HeaderOutcome), string(laburnumridge.OutcomeNotRun))
			assert.Assert(t, w.Header().Get(caller.HeaderRequestID) != "")
			p := problemOf(t, w.Body)
			assert.Equal(t, p.Reason, tc.reason)
			assert.Equal(t, p.Outcome, laburnumridge.OutcomeNotRun)
			assert.Equal(t, len(svc.requests), 0)
		})
	}
}

// TestIncompleteBodyDidNotRun guards against a request that runs with a truncated body.
func TestIncompleteBodyDidNotRun(t *testing.T) {
	for name, tc := range map[string]struct {
		end         func(net.Conn)
		readTimeout time.Duration
	}{
		"slow":       {end: func(net.Conn) {}, readTimeout: 100 * time.Millisecond},
		"broken off": {end: func(c net.Conn) { _ = c.(*net.TCPConn).CloseWrite() }, readTimeout: time.Minute},
	} {
		t.Run(name, func(t *testing.T) {
			var svc recorder
			l := limits()
			l.ReadTimeout = tc.readTimeout
			server := httptest.NewServer(svc.handler(l, false))
			t.Cleanup(server.Close)
			conn, err := net.Dial("tcp", server.Listener.Addr().String())
			assert.NilError(t, err)
			defer conn.Close()
			_, err = io.WriteString(conn, "POST /svc/a HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\nhalf")
			assert.NilError(t, err)
			tc.end(conn)
			res, err := http.ReadResponse(bufio.NewReader(conn), nil)
			assert.NilError(t, err)
			defer res.Body.Close()
			assert.Equal(t, res.StatusCode, http.StatusRequestTimeout)
			assert.Equal(t, problemOf(t, res.Body).Outcome, laburnumridge.OutcomeNotRun)
			assert.Equal(t, len(svc.requests), 0)
		})
	}
}

// TestHopByHopHeadersAreRemoved guards against hop-by-hop headers that are forwarded in requests or responses.
func TestHopByHopHeadersAreRemoved(t *testing.T) {
	add := func(h http.Header) {
		h["Connection"] = []string{"close, X-Listed", "x-second"}
		for _, name := range []string{
			"Keep-Alive", "Proxy-Authorization", "Proxy-Connection", "Te", "Trailer", "Upgrade", "X-Listed", "X-Second",
		} {
			h.Set(name, "1")
		}
		h["X-Kept"] = []string{"1", "2"}
	}
	check := func(h http.Header) {
		t.Helper()
		for name, values := range h {
			switch name {
			case "X-Kept":
				assert.DeepEqual(t, values, []string{"1", "2"})
			case caller.HeaderRequestID, caller.HeaderZone, caller.HeaderOutcome:
			default:
				t.Errorf("%s: %v was forwarded", name, values)
			}
		}
	}
	svc := recorder{response: caller.Response{Header: http.Header{}}}
	add(svc.response.Header)
	in := httptest.NewRequest(http.MethodGet, "/svc/a", nil)
	add(in.Header)
	w := httptest.NewRecorder()
	svc.handler(limits(), false).ServeHTTP(w, in)
	check(svc.requests[0].Header)
	check(w.Result().Header)
}

// TestPathStaysEscaped guards against a path that is unescaped or normalised on its way to the service.
func TestPathStaysEscaped(t *testing.T) {
	for target, want := range map[string]struct{ service, path, query string }{
		"/svc":                  {"svc", "/", ""},
		"/svc/":                 {"svc", "/", ""},
		"/svc/a%2Fb/c":          {"svc", "/a%2Fb/c", ""},
		"/svc/a//b/../c":        {"svc", "/a//b/../c", ""},
		"/svc/%E2%82%AC?q=%2F+": {"svc", "/%E2%82%AC", "q=%2F+"},
		"/svc/a%20b%3Fc":        {"svc", "/a%20b%3Fc", ""},
		"/svc%2Fx/a%2Fb":        {"svc%2Fx", "/a%2Fb", ""},
	} {
		for _, forward := range []bool{false, true} {
			t.Run(fmt.Sprint(target, " forwarded ", forward), func(t *testing.T) {
				var svc recorder
				prefix := ""
				if forward {
					prefix = "/forward"
				}
				w := httptest.NewRecorder()
				svc.handler(limits(), forward).ServeHTTP(w, httptest.NewRequest(http.MethodGet, prefix+target, nil))
				assert.Equal(t, len(svc.requests), 1, "status %d", w.Code)
				got := svc.requests[0]
				assert.Equal(t, got.Service, want.service)
				assert.Equal(t, got.Path, want.path)
				assert.Equal(t, got.Query, want.query)
			})
		}
	}
}

// TestForwardingHeadersNeedThePeerListener guards against a caller that impersonates an entry host with forwarding
// headers.
func TestForwardingHeadersNeedThePeerListener(t *testing.T) {
	for _, forward := range []bool{false, true} {
		var svc recorder
		path := "/svc/a"
		if forward {
			path = "/forward/svc/a"
		}
		in := httptest.NewRequest(http.MethodPost, path, nil)
		in.Header.Set(caller.HeaderForwardedBy, "other-entry")
		in.Header.Set(caller.HeaderRequestID, "forged")
		w := httptest.NewRecorder()
		svc.handler(limits(), forward).ServeHTTP(w, in)
		got := svc.requests[0]
		assert.Equal(t, got.ForwardedBy == "other-entry", forward)
		assert.Equal(t, got.ID == "forged", forward)
		assert.Equal(t, w.Header().Get(caller.HeaderRequestID), got.ID)
		assert.Equal(t, got.Header.Get(caller.HeaderForwardedBy), "", "forwarding headers are not passed to the service")
	}
	var svc recorder
	w := httptest.NewRecorder()
	svc.handler(limits(), false).ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/forward/svc/a", nil))
	assert.Equal(t, svc.requests[0].Service, "forward", "the callers' listener has no forwarding route")
}

// TestTruncatedResponseIsDetectable guards against a truncated response that the caller can't distinguish from a
// complete one.
func TestTruncatedResponseIsDetectable(t *testing.T) {
	for name, answer := range map[string]caller.Response{
		"with length":    {Header: http.Header{"Content-Length": {"300000"}}},
		"without length": {},
		"streamed":       {Streams: true},
	} {
		t.Run(name, func(t *testing.T) {
			part := bytes.NewReader(make([]byte, 200_000))
			svc := recorder{response: answer, body: io.MultiReader(part, brokenReader{})}
			server := httptest.NewServer(svc.handler(limits(), false))
			t.Cleanup(server.Close)
			res, err := http.Get(server.URL + "/svc/a")
			assert.NilError(t, err)
			defer res.Body.Close()
			_, err = io.ReadAll(res.Body)
			assert.ErrorIs(t, err, io.ErrUnexpectedEOF)
		})
	}
}

type brokenReader struct{}

func (brokenReader) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }

// FuzzHeaders guards against a key or timeout header that makes the handler panic, and against a request without a
// deadline or with a deadline beyond the host's limit.
func FuzzHeaders(f *testing.F) {
	for _, seed := range [][2]string{
		{"", ""}, {`"z:01ARZ3NDEKTSV4RRFFQ69G5FAV"`, "1500"}, {`"`, "-1"}, {`""`, "9223372036854775807"}, {"\"a\"b\"", "1e3"},
	} {
		f.Add(seed[0], seed[1])
	}
	f.Fuzz(func(t *testing.T, key, timeout string) {
		var svc recorder
		in := httptest.NewRequest(http.MethodPost, "/svc/a", nil)
		in.Header[caller.HeaderKey], in.Header[caller.HeaderTimeout] = []string{key}, []string{timeout}
		w := httptest.NewRecorder()
		svc.handler(limits(), false).ServeHTTP(w, in)
		if w.Code == http.StatusBadRequest {
			assert.Equal(t, len(svc.requests), 0)
			return
		}
		assert.Equal(t, w.Code, http.StatusOK)
		r := svc.requests[0]
		assert.Assert(t, r.Deadline.After(r.Arrived))
		assert.Assert(t, r.Deadline.Sub(r.Arrived) <= limits().RequestTimeout)
		assert.Assert(t, r.Key == key || `"`+r.Key+`"` == key)
	})
}
