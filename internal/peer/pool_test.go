package peer_test

import (
	"context"
	"errors"
	"io"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"github.com/laburnumridge/laburnumridge/internal/fake"
	"github.com/laburnumridge/laburnumridge/internal/peer"
)

// newPool returns a pool that handles requests with onRequest, and the address of its server.
func newPool(t *testing.T, onRequest func(context.Context, peer.Message) (peer.Message, error), opts ...peer.PoolOption) (*peer.Pool, string) {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	p := peer.NewPool(logrus.NewEntry(log), onRequest, opts...)
	server := httptest.NewServer(p)
	t.Cleanup(func() {
		p.Close()
		server.Close()
	})
	return p, strings.TrimPrefix(server.URL, "http://")
}

func refuseAll(context.Context, peer.Message) (peer.Message, error) {
	return peer.Message{}, errors.New("no request is expected")
}

// Guards against a request with a short timeout, such as a load query, that closes the connection to a slow peer while other
// requests wait for their replies on it: a submission that the peer records then has an unknown outcome.
func TestShortTimeoutLeavesOtherRequests(t *testing.T) {
	received, reply := make(chan struct{}), make(chan struct{})
	_, address := newPool(t, func(_ context.Context, m peer.Message) (peer.Message, error) {
		if m.JobSubmit != nil {
			close(received)
		}
		<-reply
		return peer.Message{JobReply: &peer.JobReply{Outcome: "accepted"}}, nil
	})
	client, _ := newPool(t, refuseAll, peer.WithSilenceLimit(time.Hour))
	submitted := make(chan error, 1)
	go func() {
		m, err := client.Request(t.Context(), address, peer.Message{JobSubmit: &peer.JobSubmit{}})
		if err == nil && (m.JobReply == nil || m.JobReply.Outcome != "accepted") {
			err = errors.New("wrong reply")
		}
		submitted <- err
	}()
	<-received
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Millisecond)
	defer cancel()
	_, err := client.Request(ctx, address, peer.Message{LoadQuery: &peer.LoadQuery{}})
	assert.ErrorIs(t, err, context.DeadlineExceeded)
	close(reply)
	assert.NilError(t, <-submitted)
}

// timeoutWithoutDeadline returns a context that times out and reports no deadline.
func timeoutWithoutDeadline(ctx context.Context, timeout time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	timer := time.AfterFunc(timeout, func() { cancel(context.DeadlineExceeded) })
	return ctx, func() {
		timer.Stop()
		cancel(nil)
	}
}

// Guards against a connection that is dead without an error and stays in use: neither a request with a long timeout nor one
// that ends after the silence limit may be followed by requests on the same connection, also while another request waits on it.
func TestDeadConnectionIsReplaced(t *testing.T) {
	for name, tc := range map[string]struct {
		limit, timeout time.Duration
		withTimeout    func(context.Context, time.Duration) (context.Context, context.CancelFunc)
		hasWaiting     bool
	}{
		"long timeout":                     {time.Hour, 400 * time.Millisecond, context.WithTimeout, false},
		"long timeout without deadline":    {time.Hour, 400 * time.Millisecond, timeoutWithoutDeadline, false},
		"long timeout, another waits":      {time.Hour, 400 * time.Millisecond, context.WithTimeout, true},
		"short timeout after long silence": {0, 30 * time.Millisecond, context.WithTimeout, false},
		"short timeout, another waits":     {0, 30 * time.Millisecond, context.WithTimeout, true},
	} {
		t.Run(name, func(t *testing.T) {
			received := make(chan struct{})
			_, address := newPool(t, func(ctx context.Context, m peer.Message) (peer.Message, error) {
				if m.JobSubmit != nil {
					close(received)
					<-ctx.Done()
				}
				return peer.Message{LoadReply: &peer.LoadReply{}}, nil
			})
			proxy, err := fake.NewProxy(address, 1)
			assert.NilError(t, err)
			defer proxy.Stop()
			client, _ := newPool(t, refuseAll, peer.WithSilenceLimit(tc.limit))
			query := peer.Message{LoadQuery: &peer.LoadQuery{}}
			_, err = client.Request(t.Context(), proxy.Address(), query)
			assert.NilError(t, err)
			if tc.hasWaiting {
				go func() {
					_, _ = client.Request(t.Context(), proxy.Address(), peer.Message{JobSubmit: &peer.JobSubmit{}})
				}()
				<-received
			}
			proxy.Blackhole() // the open connection goes silent; new ones work
			ctx, cancel := tc.withTimeout(t.Context(), tc.timeout)
			defer cancel()
			_, err = client.Request(ctx, proxy.Address(), query)
			assert.ErrorIs(t, err, context.DeadlineExceeded)
			_, err = client.Request(t.Context(), proxy.Address(), query)
			assert.NilError(t, err)
		})
	}
}

// Guards against a request whose handling panics and ends the process, or the connection on which others wait.
func TestPanicRefusesOneRequest(t *testing.T) {
	_, address := newPool(t, func(_ context.Context, m peer.Message) (peer.Message, error) {
		if m.JobSubmit != nil {
			panic("unexpected state")
		}
		return peer.Message{LoadReply: &peer.LoadReply{}}, nil
	})
	client, _ := newPool(t, refuseAll)
	for range 2 {
		_, err := client.Request(t.Context(), address, peer.Message{JobSubmit: &peer.JobSubmit{}})
		assert.ErrorIs(t, err, peer.ErrRefused)
		_, err = client.Request(t.Context(), address, peer.Message{LoadQuery: &peer.LoadQuery{}})
		assert.NilError(t, err)
	}
}
