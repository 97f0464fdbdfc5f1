package host

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/laburnumridge/laburnumridge/internal/caller"
	"github.com/laburnumridge/laburnumridge/internal/routing"
	"github.com/laburnumridge/laburnumridge/internal/worker"
	"github.com/laburnumridge/laburnumridge/pkg/laburnumridge"
)

const (
	// responseBufferBytes is how much of a response is read before it is passed on. Most responses fit in it and are
	// therefore known to be complete before the caller gets any of them.
	responseBufferBytes = 64 << 10
	// unansweredSlotHold is how long after its deadline a request without a response keeps its slot, since the worker
	// may still be running it.
	unansweredSlotHold = time.Second
)

// attemptResult is the result of one attempt.
type attemptResult struct {
	err      error
	response *caller.Response
	took     time.Duration
	worker   string
}

// problem describes an attempt without a response.
func (t attemptResult) problem() *laburnumridge.Problem {
	var refusal worker.Refusal
	switch {
	case errors.As(t.err, &refusal):
		return unavailable("refused_"+string(refusal.Reason), "worker "+t.worker+" refused: "+string(refusal.Reason))
	case errors.Is(t.err, worker.ErrUnreachable):
		return unavailable("unreachable", "worker "+t.worker+" was not reached")
	case errors.Is(t.err, worker.ErrRefused):
		return unavailable("refused", "worker "+t.worker+" refused before running")
	}
	return unknown("no_answer", "worker "+t.worker+" gave no whole answer: "+t.err.Error())
}

// attempt sends a request to a backend server on a slot that has already been taken. It continues when the caller
// disconnects, since the worker continues too: the slot is released when the worker has answered, or
// unansweredSlotHold after the deadline.
func (h *Host) attempt(
	r caller.Request, key string, b routing.Backend, fresh bool, router *routing.Router, results chan<- attemptResult,
) {
	ctx, cancel := context.WithDeadline(context.Background(), r.Deadline)
	started := time.Now()
	res, err := h.workers.SendRequest(ctx, b.Address, worker.Request{
		Body: bytes.NewReader(r.Body), ContentLength: int64(len(r.Body)), Epoch: b.Epoch, NewConnection: fresh,
		Header: r.Header, ID: r.ID, Key: key, Method: r.Method, Path: r.Path, Query: r.Query, Service: r.Service,
		Shard: h.backends.shardOf(b.Worker),
	})
	var buffered []byte
	more := false
	if err == nil {
		if buffered, more, err = readBuffered(res.Body); err != nil {
			_ = res.Body.Close()
			err = errors.Join(errNoAnswer, err)
		}
	}
	took := time.Since(started)
	finish := func(result routing.Result, hold time.Duration) {
		cancel()
		router.Finished(time.Now(), b.Worker, took, result)
		if hold > 0 {
			time.AfterFunc(hold, func() { h.releaseSlot(b.Worker) })
			return
		}
		h.releaseSlot(b.Worker)
	}
	if err != nil {
		result, hold := classifyError(err, r.Deadline)
		finish(result, hold)
		results <- attemptResult{err: err, took: took, worker: b.Worker}
		return
	}
	result := routing.ResultOK
	if res.StatusCode >= http.StatusInternalServerError {
		result = routing.ResultFailed
	}
	out := &caller.Response{Header: res.Header, Status: res.StatusCode}
	if more {
		out.Body = &closeFuncReader{Reader: io.MultiReader(bytes.NewReader(buffered), res.Body), onClose: func() {
			_ = res.Body.Close()
			finish(result, 0)
		}}
	} else {
		_ = res.Body.Close()
		finish(result, 0)
		out.Body = io.NopCloser(bytes.NewReader(buffered))
	}
	results <- attemptResult{response: out, took: took, worker: b.Worker}
}

// classifyError returns the routing result of a failed attempt and how long its slot stays taken: only an attempt
// that may still run keeps its slot.
func classifyError(err error, deadline time.Time) (routing.Result, time.Duration) {
	switch {
	case errors.Is(err, worker.ErrRefused):
		return routing.ResultRefused, 0
	case errors.Is(err, worker.ErrUnreachable):
		return routing.ResultUnreachable, 0
	}
	return routing.ResultFailed, max(time.Until(deadline), 0) + unansweredSlotHold
}

func (h *Host) releaseSlot(worker string) {
	h.backends.slots.Release(worker)
	h.backends.notifySlotFreed()
}

// readBuffered reads up to responseBufferBytes and reports whether more follows.
func readBuffered(body io.Reader) ([]byte, bool, error) {
	data, err := io.ReadAll(io.LimitReader(body, responseBufferBytes+1))
	return data, len(data) > responseBufferBytes, err
}

// closeFuncReader is a response body that calls onClose once when it is closed.
type closeFuncReader struct {
	io.Reader
	onClose func()
	closed  bool
}

// Close calls onClose on the first call only.
func (c *closeFuncReader) Close() error {
	if !c.closed {
		c.closed = true
		c.onClose()
	}
	return nil
}
