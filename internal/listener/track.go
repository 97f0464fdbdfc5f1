package listener

import (
	"context"
	"crypto/tls"
	"errors"
	"io"
	"net"
	"net/http"
)

type connKey struct{}

// underlying returns the connection that the listener has accepted.
func underlying(c net.Conn) *conn {
	if t, ok := c.(*tls.Conn); ok {
		c = t.NetConn()
	}
	tracked, _ := c.(*conn)
	return tracked
}

// withConn adds the connection to the context of its requests.
func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, underlying(c))
}

// noteState records that a connection waits for a request, or that it is one of messages, which may be closed when it is silent.
func noteState(c net.Conn, state http.ConnState) {
	tracked := underlying(c)
	switch {
	case tracked == nil:
	case state == http.StateIdle:
		tracked.awaitRequest()
	case state == http.StateHijacked:
		tracked.isBusy.Store(false)
	}
}

// trackRequests returns a handler that records on each request's connection when the request is complete and when it has been answered.
func trackRequests(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, _ := r.Context().Value(connKey{}).(*conn)
		if c == nil {
			next.ServeHTTP(w, r)
			return
		}
		c.beginRequest()
		defer c.endRequest()
		if r.ContentLength == 0 {
			c.isBusy.Store(true)
			next.ServeHTTP(w, r)
			return
		}
		// The server keeps the original request, whose body it inspects after the response.
		tracked := r.WithContext(r.Context())
		tracked.Body = body{r.Body, c}
		next.ServeHTTP(w, tracked)
	})
}

// body records on the connection when it has been read to its end.
type body struct {
	io.ReadCloser
	conn *conn
}

// Read reads from the embedded body.
func (b body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		b.conn.isBusy.Store(true)
	}
	return n, err
}
