package worker_test

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/laburnumridge/laburnumridge/internal/fake"
	"github.com/laburnumridge/laburnumridge/internal/fleet"
	"github.com/laburnumridge/laburnumridge/internal/note"
	"github.com/laburnumridge/laburnumridge/internal/worker"
)

type meteredConn struct {
	net.Conn
	read, written *atomic.Int64
}

func (c meteredConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.read.Add(int64(n))
	return n, err
}

func (c meteredConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.written.Add(int64(n))
	return n, err
}

// TestSteadyStateHeartbeatSize guards against heartbeats that grow with the number of tasks: the control traffic of a
// host is limited to 3 KB/s.
func TestSteadyStateHeartbeatSize(t *testing.T) {
	for _, tasks := range []int{0, 4, 8} {
		var clock atomic.Int64
		clock.Store(time.Date(2026, 3, 1, 0, 0, 0, 0, time.UTC).UnixNano())
		w := fake.NewWorker(fake.WithID("kelaniya-worker-017"), fake.WithClock(func() time.Time {
			return time.Unix(0, clock.Load())
		}))
		assert.NilError(t, w.Start())
		defer w.Kill()
		var read, written atomic.Int64
		c := worker.NewClient(worker.WithDial(func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
			return meteredConn{conn, &read, &written}, err
		}))
		report, err := c.Fence(t.Context(), w.Address(), worker.FenceRequest{Epoch: 1234, Owner: "kelaniya-entry-3"})
		assert.NilError(t, err)
		for i := range tasks {
			_, err := c.Start(t.Context(), w.Address(), worker.StartRequest{
				AttemptRef: worker.AttemptRef{Attempt: 1, Task: fmt.Sprintf("release-plan@2026-03-01T04:00:0%dZ", i)},
				Epoch:      1234, Kind: note.KindBatch, Resources: fleet.Resources{CPUMilli: 2000, MemoryMiB: 4096},
				RunTime: note.Duration{Duration: time.Hour}, Token: report.Token, Work: fmt.Sprintf("release-plan-%d", i),
			})
			assert.NilError(t, err)
		}
		heartbeat := func(name string, after time.Duration, full bool) (int64, worker.Report) {
			clock.Add(int64(after))
			read.Store(0)
			written.Store(0)
			report, err = c.Heartbeat(t.Context(), w.Address(), worker.HeartbeatRequest{
				Epoch: 1234, Full: full, Token: report.Token,
			})
			assert.NilError(t, err)
			t.Logf("%d tasks, %s: sent %d bytes, received %d", tasks, name, written.Load(), read.Load())
			return written.Load() + read.Load(), report
		}
		heartbeat("after starts", 2*time.Second, false)
		steady, got := heartbeat("steady", 2*time.Second, false)
		assert.Equal(t, len(got.Tasks)+len(got.Usage), 0)
		assert.Assert(t, steady < 300, "%d bytes", steady)
		for range 2 {
			heartbeat("no sample due", 2*time.Second, false)
		}
		_, got = heartbeat("with usage", 2*time.Second, false)
		assert.Equal(t, len(got.Usage), tasks)
		_, got = heartbeat("full", 2*time.Second, true)
		assert.Equal(t, len(got.Tasks), tasks)
	}
}
