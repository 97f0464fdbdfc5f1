package worker_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/laburnumridge/laburnumridge/internal/worker"
)

func startServer(t *testing.T, h http.HandlerFunc) string {
	t.Helper()
	s := httptest.NewServer(h)
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://")
}

// TestRefusalsAreTyped guards against a refusal that an owner treats as a lost response, or as a refusal for another
// reason.
func TestRefusalsAreTyped(t *testing.T) {
	for reason, want := range map[worker.Reason]error{
		worker.ReasonStaleEpoch:   worker.ErrStaleEpoch,
		worker.ReasonTokenExpired: worker.ErrTokenExpired,
		worker.ReasonLeaving:      worker.ErrRefused,
	} {
		address := startServer(t, func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(http.StatusConflict)
			_, _ = io.WriteString(w, `{"epoch":7,"reason":"`+string(reason)+`"}`)
		})
		_, err := worker.NewClient().Heartbeat(t.Context(), address, worker.HeartbeatRequest{})
		assert.ErrorIs(t, err, want)
		assert.ErrorIs(t, err, worker.ErrRefused)
		var refusal worker.Refusal
		assert.Assert(t, errors.As(err, &refusal))
		assert.Equal(t, refusal.Epoch, int64(7))
	}
}

// TestSentWithoutAnswerIsUnknown guards against a task that is started on a second worker because the response of the
// first one was lost or malformed.
func TestSentWithoutAnswerIsUnknown(t *testing.T) {
	for name, answer := range map[string]http.HandlerFunc{
		"closed":    func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) },
		"garbled":   func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "{") },
		"status":    func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusBadGateway) },
		"no reason": func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusConflict) },
	} {
		_, err := worker.NewClient().Start(t.Context(), startServer(t, answer), worker.StartRequest{})
		assert.ErrorIs(t, err, worker.ErrUnknownOutcome, name)
	}
}

// TestUnsentIsUnreachable guards against calls that were never sent but are reported with an unknown outcome, which
// can't be retried.
func TestUnsentIsUnreachable(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	address := l.Addr().String()
	assert.NilError(t, l.Close())
	_, err = worker.NewClient().Fence(t.Context(), address, worker.FenceRequest{})
	assert.ErrorIs(t, err, worker.ErrUnreachable)

	// A request that times out while it waits for a free connection of the pool was not sent either.
	release := make(chan struct{})
	address = startServer(t, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(worker.HeaderRequestID, r.Header.Get(worker.HeaderRequestID))
		w.(http.Flusher).Flush()
		<-release
	})
	defer close(release)
	c := worker.NewClient(worker.WithRequestConns(1))
	res, err := c.SendRequest(t.Context(), address, worker.Request{ID: "a", Method: "GET", Service: "dose"})
	assert.NilError(t, err)
	defer res.Body.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	_, err = c.SendRequest(ctx, address, worker.Request{ID: "b", Method: "GET", Service: "dose"})
	assert.ErrorIs(t, err, worker.ErrUnreachable)
}

// TestBrokenKeepAliveConnectionIsNotRetried guards against net/http's automatic retry of a GET whose reused connection
// broke after the request was sent.
func TestBrokenKeepAliveConnectionIsNotRetried(t *testing.T) {
	var calls atomic.Int64
	address := startServer(t, func(w http.ResponseWriter, r *http.Request) {
		if calls.Add(1) > 1 {
			panic(http.ErrAbortHandler)
		}
		w.Header().Set(worker.HeaderRequestID, r.Header.Get(worker.HeaderRequestID))
	})
	c := worker.NewClient()
	for i, want := range []error{nil, worker.ErrUnknownOutcome} {
		res, err := c.SendRequest(t.Context(), address, worker.Request{ID: "a", Method: "GET", Service: "dose"})
		assert.ErrorIs(t, err, want)
		if err == nil {
			_, _ = io.Copy(io.Discard, res.Body)
			assert.NilError(t, res.Body.Close())
		}
		assert.Equal(t, calls.Load(), int64(i+1))
	}
}

// TestAnswerToAnotherRequestIsUnknown guards against a response or refusal of another request that is passed to the
// caller.
func TestAnswerToAnotherRequestIsUnknown(t *testing.T) {
	address := startServer(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(worker.HeaderRequestID, "other")
		w.Header().Set(worker.HeaderOutcome, worker.OutcomeNotRun)
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	_, err := worker.NewClient().SendRequest(t.Context(), address, worker.Request{ID: "a", Method: "POST", Service: "dose"})
	assert.ErrorIs(t, err, worker.ErrUnknownOutcome)
}

// TestParseDeadline guards against deadlines that are dropped, and against a remaining time that is parsed as a point
// in time.
func TestParseDeadline(t *testing.T) {
	now := time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)
	for value, want := range map[string]time.Time{
		"":                           {},
		"1500":                       now.Add(1500 * time.Millisecond),
		"2026-03-01T12:00:00.25Z":    now.Add(250 * time.Millisecond),
		"2026-03-01T13:00:00+01:00":  now,
		"2026-03-01T12:00:01.00001Z": now.Add(time.Second + 10*time.Microsecond),
	} {
		got, err := worker.ParseDeadline(value, now)
		assert.NilError(t, err)
		assert.Assert(t, got.Equal(want), "%q: %s", value, got)
	}
	_, err := worker.ParseDeadline("soon", now)
	assert.ErrorContains(t, err, "soon")
}
