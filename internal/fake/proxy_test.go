package fake_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/laburnumridge/laburnumridge/internal/fake"
	"github.com/laburnumridge/laburnumridge/internal/fleet"
	"github.com/laburnumridge/laburnumridge/internal/note"
	"github.com/laburnumridge/laburnumridge/internal/worker"
)

// startProxiedWorker returns a worker that runs a service or feed under epoch 1, a proxy in front of it and a client.
func startProxiedWorker(t *testing.T, kind note.Kind, opts ...fake.WorkerOption) (*fake.Worker, *fake.Proxy, *worker.Client) {
	t.Helper()
	w := fake.NewWorker(append([]fake.WorkerOption{fake.WithLease(time.Hour)}, opts...)...)
	assert.NilError(t, w.Start())
	t.Cleanup(w.Kill)
	p, err := fake.NewProxy(w.Address(), 1)
	assert.NilError(t, err)
	t.Cleanup(p.Stop)
	c := worker.NewClient(worker.WithTimeout(time.Second))
	t.Cleanup(c.Close)
	in := startRequest("dose", 1, fence(t, w, 1).Token)
	in.Kind, in.Work, in.Resources.Slots, in.Resources.Connections = kind, "dose", 1, 1
	assert.Equal(t, start(t, w, in), worker.Reason(""))
	return w, p, c
}

// Guards against a worker client that returns the wrong error for a network fault. ErrUnreachable is right only if
// nothing was sent; all other faults leave the outcome unknown.
func TestClientErrorsUnderProxyFaults(t *testing.T) {
	w, p, c := startProxiedWorker(t, note.KindService)
	fenceWorker := func() error {
		_, err := c.Fence(t.Context(), p.Address(), worker.FenceRequest{Epoch: 1, Owner: "a"})
		return err
	}
	assert.NilError(t, fenceWorker())

	p.Blackhole()
	assert.ErrorIs(t, fenceWorker(), worker.ErrUnknownOutcome)
	assert.NilError(t, fenceWorker(), "a new connection works")

	assert.NilError(t, p.SetPartitioned(true))
	// An idle connection whose end the client hasn't noticed would give ErrUnknownOutcome, and rightly so.
	c.Close()
	assert.ErrorIs(t, fenceWorker(), worker.ErrUnreachable)
	assert.NilError(t, p.SetPartitioned(false))
	assert.NilError(t, fenceWorker())

	p.DiscardResponses(true)
	stop := worker.StopRequest{AttemptRef: worker.AttemptRef{Attempt: 1, Task: "dose"}, Epoch: 1}
	_, err := c.Stop(t.Context(), p.Address(), stop)
	assert.ErrorIs(t, err, worker.ErrUnknownOutcome)
	assert.Equal(t, w.Tasks()[0].Phase, worker.PhaseCancelled, "the request was forwarded")
	p.DiscardResponses(false)

	p.CloseAfter(fake.FromTarget, 40)
	assert.ErrorIs(t, fenceWorker(), worker.ErrUnknownOutcome)
	p.CloseAfter(fake.FromTarget, 0)
	assert.NilError(t, fenceWorker())
}

// Guards against a proxy that reorders or loses data when it delays it.
func TestProxyDelayKeepsOrder(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	go func() {
		conn, err := l.Accept()
		if err == nil {
			_, _ = io.Copy(conn, conn)
			_ = conn.Close()
		}
	}()
	p, err := fake.NewProxy(l.Addr().String(), 7)
	assert.NilError(t, err)
	defer p.Stop()
	p.SetDelay(fake.ToTarget, time.Millisecond, 5*time.Millisecond)
	p.SetDelay(fake.FromTarget, time.Millisecond, 5*time.Millisecond)
	conn, err := net.Dial("tcp", p.Address())
	assert.NilError(t, err)
	defer conn.Close()
	var want strings.Builder
	for range 50 {
		want.WriteString(strings.Repeat("x", want.Len()%7) + "line\n")
	}
	for line := range strings.Lines(want.String()) {
		_, err = io.WriteString(conn, line)
		assert.NilError(t, err)
	}
	assert.NilError(t, conn.(*net.TCPConn).CloseWrite())
	got, err := io.ReadAll(conn)
	assert.NilError(t, err)
	assert.Equal(t, string(got), want.String())
}

// Guards against a graceful stop that aborts a request in flight, and against a feed that ends without ReconnectLine.
func TestStopFinishesRequestsAndFeeds(t *testing.T) {
	admitted := make(chan struct{})
	stopped := make(chan struct{})
	w, p, c := startProxiedWorker(t, note.KindService, fake.WithInterference(func(string, []fake.RunningTask) float64 {
		close(admitted)
		return 1
	}), fake.WithServiceTime(func(string, *rand.Rand) time.Duration { return 20 * time.Millisecond }))
	go func() {
		defer close(stopped)
		<-admitted
		assert.Check(t, w.Stop(context.Background()))
	}()
	res, err := c.SendRequest(t.Context(), p.Address(), worker.Request{
		Body: strings.NewReader("3 ml"), Epoch: 1, ID: "1", Method: "POST", Path: "/room/4", Service: "dose",
	})
	assert.NilError(t, err)
	body, err := io.ReadAll(res.Body)
	assert.NilError(t, err)
	_ = res.Body.Close()
	assert.Equal(t, string(body), "POST /room/4\n3 ml")
	<-stopped

	w, p, c = startProxiedWorker(t, note.KindFeed, fake.WithFeedInterval(time.Millisecond),
		fake.WithCapacity(fleet.Resources{Connections: 1, CPUMilli: 32_000, MemoryMiB: 125_000, Slots: 8}))
	res, err = c.SendRequest(t.Context(), p.Address(), worker.Request{Epoch: 1, ID: "2", Method: "GET", Service: "dose"})
	assert.NilError(t, err)
	defer res.Body.Close()
	lines := bufio.NewScanner(res.Body)
	assert.Assert(t, lines.Scan())
	assert.Equal(t, lines.Text(), "event 1")
	_, err = c.SendRequest(t.Context(), p.Address(), worker.Request{Epoch: 1, ID: "3", Method: "GET", Service: "dose"})
	var refusal worker.Refusal
	assert.Assert(t, errors.As(err, &refusal))
	assert.Equal(t, refusal.Reason, worker.ReasonNoFreeConnection)
	w.SetLeaving(true)
	last := ""
	for lines.Scan() {
		last = lines.Text()
	}
	assert.NilError(t, lines.Err())
	assert.Equal(t, last, fake.ReconnectLine)
	assert.Equal(t, w.PeakConnections(), int64(1))
}
