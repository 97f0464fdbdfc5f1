package host

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"

	"github.com/laburnumridge/laburnumridge/internal/caller"
	"github.com/laburnumridge/laburnumridge/pkg/laburnumridge"
)

// headerRefusal is the whole answer of net/http to a header beyond MaxHeaderBytes. It is sent before any handler
// runs, has no hook, and differs from a handler's answers, which have a Date header.
var headerRefusal = []byte("HTTP/1.1 431 Request Header Fields Too Large\r\n" +
	"Content-Type: text/plain; charset=utf-8\r\nConnection: close\r\n\r\n431 Request Header Fields Too Large")

// headerLimitListener gives callers problem details where net/http refuses a header with plain text, which
// doesn't say that nothing ran.
type headerLimitListener struct {
	net.Listener
	answer []byte
}

// headerLimitConn is a connection of a headerLimitListener.
type headerLimitConn struct {
	net.Conn
	answer []byte
}

func newHeaderLimitListener(l net.Listener, limit int, zone string) (net.Listener, error) {
	p := problem(http.StatusRequestHeaderFieldsTooLarge, laburnumridge.OutcomeNotRun, "header_too_large",
		fmt.Sprintf("the header exceeds %d bytes", limit))
	body, err := json.Marshal(p)
	if err != nil {
		return nil, err
	}
	answer := fmt.Sprintf("HTTP/1.1 %d %s\r\nConnection: close\r\nContent-Length: %d\r\nContent-Type: %s\r\n%s: %s\r\n%s: %s\r\n\r\n%s",
		p.Status, p.Title, len(body), laburnumridge.ProblemType, caller.HeaderOutcome, p.Outcome, caller.HeaderZone, zone, body)
	return &headerLimitListener{Listener: l, answer: []byte(answer)}, nil
}

// Accept returns the next connection.
func (l *headerLimitListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &headerLimitConn{Conn: c, answer: l.answer}, nil
}

// Write replaces the refusal of net/http.
func (c *headerLimitConn) Write(p []byte) (int, error) {
	if !bytes.Equal(p, headerRefusal) {
		return c.Conn.Write(p)
	}
	if _, err := c.Conn.Write(c.answer); err != nil {
		return 0, err
	}
	return len(p), nil
}
