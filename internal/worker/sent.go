package worker

import (
	"context"
	"net"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
)

// countingConn counts writes to know whether a failed call has sent anything.
type countingConn struct {
	net.Conn
	writes atomic.Int64
}

// Write counts before it writes: a call that is cancelled meanwhile must not take it for unsent.
func (c *countingConn) Write(p []byte) (int, error) {
	c.writes.Add(1)
	n, err := c.Conn.Write(p)
	if n == 0 {
		c.writes.Add(-1)
	}
	return n, err
}

// sentTrace tells whether a call has written to any connection that it was given.
//
// WroteHeaders is not exact enough: it fires when headers reach the transport's buffer, so a request on a
// connection that the worker closed while idle would count as sent.
type sentTrace struct {
	mu     sync.Mutex
	before int64
	conn   *countingConn
	sent   bool
}

func (s *sentTrace) context(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: s.gotConn})
}

func (s *sentTrace) gotConn(info httptrace.GotConnInfo) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.settle()
	conn := info.Conn
	if secure, ok := conn.(interface{ NetConn() net.Conn }); ok {
		conn = secure.NetConn()
	}
	counting, ok := conn.(*countingConn)
	if !ok {
		s.sent = true
		return
	}
	s.conn, s.before = counting, counting.writes.Load()
}

// settle adds what the present connection has written; callers hold mu.
func (s *sentTrace) settle() {
	if s.conn != nil && s.conn.writes.Load() != s.before {
		s.sent = true
	}
}

func (s *sentTrace) wasSent() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.settle()
	return s.sent
}
