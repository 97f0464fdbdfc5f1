package worker

import (
	"context"
	"net"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
)

// countingConn counts writes, to determine whether a failed call has sent anything.
type countingConn struct {
	net.Conn
	writes atomic.Int64
}

// Write increments the counter before it writes, so that a call that is cancelled during the write does not count as
// unsent.
func (c *countingConn) Write(p []byte) (int, error) {
	c.writes.Add(1)
	n, err := c.Conn.Write(p)
	if n == 0 {
		c.writes.Add(-1)
	}
	return n, err
}

// sentTrace determines whether a call has written to any connection that the transport assigned to it.
//
// httptrace's WroteHeaders is not exact enough: it is called when the headers reach the transport's buffer, so a
// request on an idle connection that the worker has closed would count as sent.
type sentTrace struct {
	mu           sync.Mutex
	writesBefore int64
	conn         *countingConn
	sent         bool
}

func (s *sentTrace) context(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: s.gotConn})
}

func (s *sentTrace) gotConn(info httptrace.GotConnInfo) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.updateSent()
	conn := info.Conn
	if secure, ok := conn.(interface{ NetConn() net.Conn }); ok {
		conn = secure.NetConn()
	}
	counting, ok := conn.(*countingConn)
	if !ok {
		s.sent = true
		return
	}
	s.conn, s.writesBefore = counting, counting.writes.Load()
}

// updateSent sets sent if the current connection has written since it was assigned. Callers hold mu.
func (s *sentTrace) updateSent() {
	if s.conn != nil && s.conn.writes.Load() != s.writesBefore {
		s.sent = true
	}
}

func (s *sentTrace) wasSent() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.updateSent()
	return s.sent
}
