package host

import (
	"bytes"
	"context"
	"io"
	"time"

	"github.com/laburnumridge/laburnumridge/internal/caller"
	"github.com/laburnumridge/laburnumridge/internal/routing"
	"github.com/laburnumridge/laburnumridge/internal/worker"
	"github.com/laburnumridge/laburnumridge/pkg/laburnumridge"
)

// reconnectLine is the last line of a feed that ends because the entry host drains. A draining worker sends the same
// line.
const reconnectLine = "reconnect\n"

// feed streams from a backend server until the caller disconnects, the stream ends or the host drains. Feeds use
// connections, not slots.
func (h *Host) feed(ctx context.Context, r caller.Request) (*caller.Response, *laburnumridge.Problem) {
	router := h.policies.router(r.Service)
	var excluded []string
	last := unavailable("no_backend", "zone "+h.zone+" has no backend server of "+r.Service+" with a free connection")
	h.openFeeds.Add(1)
	release := func() { h.openFeeds.Add(-1) }
	for range 3 {
		now := time.Now()
		d, err := router.Route(now, h.backends.candidates(r.Service, h.backends.connections, now), excluded...)
		if err != nil {
			break
		}
		id := d.Backend.Worker
		excluded = append(excluded, id)
		if !h.backends.connections.Take(id, now) {
			continue
		}
		h.recordRequestDecision(r, "route_feed", string(d.Reason)+", weighed "+describeRoutingOptions(d.Options), id)
		router.Started(id)
		res, p := h.openFeed(ctx, r, d.Backend, router, release)
		if p == nil {
			return res, nil
		}
		last = p
		if p.Outcome != laburnumridge.OutcomeNotRun {
			break
		}
	}
	release()
	if last.Outcome != laburnumridge.OutcomeNotRun {
		return nil, last
	}
	res, p := h.forwardToOtherZone(ctx, r, true, last)
	if p != nil {
		return nil, p
	}
	// A feed that another zone serves also ends when this host drains.
	lines, body := newDrainReader(res.Body, h.drainStarted), res.Body
	res.Body = &closeFuncReader{Reader: lines, onClose: func() {
		close(lines.closed)
		_ = body.Close()
	}}
	return res, nil
}

func (h *Host) openFeed(
	ctx context.Context, r caller.Request, b routing.Backend, router *routing.Router, release func(),
) (*caller.Response, *laburnumridge.Problem) {
	ctx, cancel := context.WithCancel(ctx)
	started := time.Now()
	res, err := h.workers.SendRequest(ctx, b.Address, worker.Request{
		Body: bytes.NewReader(r.Body), ContentLength: int64(len(r.Body)), Epoch: b.Epoch, Header: r.Header, ID: r.ID,
		Method: r.Method, Path: r.Path, Query: r.Query, Service: r.Service, Shard: h.backends.shardOf(b.Worker),
	})
	took := time.Since(started)
	if err != nil {
		cancel()
		result, _ := classifyError(err, started)
		router.Finished(time.Now(), b.Worker, took, result)
		h.backends.connections.Release(b.Worker)
		return nil, attemptResult{err: err, worker: b.Worker}.problem()
	}
	router.Finished(time.Now(), b.Worker, took, routing.ResultOK)
	lines := newDrainReader(res.Body, h.drainStarted)
	body := &closeFuncReader{Reader: lines, onClose: func() {
		close(lines.closed)
		cancel()
		_ = res.Body.Close()
		h.backends.connections.Release(b.Worker)
		release()
	}}
	return &caller.Response{Body: body, Header: res.Header, Status: res.StatusCode, Streams: true}, nil
}

// drainReader passes a feed on line by line. When the host drains, it ends the feed after a complete line.
type drainReader struct {
	closed       chan struct{}
	drainStarted <-chan struct{}
	err          error
	lines        <-chan feedLine
	rest         []byte
}

func newDrainReader(body io.Reader, drained <-chan struct{}) *drainReader {
	lines := make(chan feedLine)
	d := &drainReader{closed: make(chan struct{}), drainStarted: drained, lines: lines}
	go readLines(body, lines, d.closed)
	return d
}

// Read returns the rest of the current line, or the next line.
func (d *drainReader) Read(p []byte) (int, error) {
	if len(d.rest) == 0 {
		if d.err != nil {
			return 0, d.err
		}
		select {
		case line := <-d.lines:
			d.rest, d.err = line.data, line.err
		case <-d.drainStarted:
			d.rest, d.err = []byte(reconnectLine), io.EOF
		}
	}
	n := copy(p, d.rest)
	d.rest = d.rest[n:]
	return n, nil
}
