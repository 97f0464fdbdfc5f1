package overload_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/coder/websocket"
)

const (
	// crowdSize times maxBody is more than the memory of the machine, and crowdSize more than its connections.
	crowdSize = 480
	maxBody   = 262_144
	// writeTimeout is how long a client of the crowd tries to send on, if the process neither reads nor closes the connection.
	writeTimeout = 8 * time.Second
	// finisher is the share of clients that send their body to the end: each eighth.
	finisher = 8
	// reconnects is how often a client of joinAgain connects.
	reconnects = 3
)

// crowd is a set of clients that keep their connections open until the end of the test.
type crowd struct {
	clients sync.WaitGroup
	closed  chan struct{}
	conns   []io.Closer
	mu      sync.Mutex
}

func newCrowd(t *testing.T) *crowd {
	c := &crowd{closed: make(chan struct{})}
	t.Cleanup(func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		close(c.closed)
		for _, conn := range c.conns {
			_ = conn.Close()
		}
	})
	return c
}

func (c *crowd) keep(conn io.Closer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.conns = append(c.conns, conn)
}

// join starts size clients, each of which sends what write writes. Errors don't matter: a process may refuse clients and close
// their connections.
func (c *crowd) join(address string, size int, write func(n int, conn net.Conn)) {
	for n := range size {
		c.clients.Go(func() { c.connect(address, n, net.IPv4(127, 0, 0, 1), write) })
	}
}

// joinFromManyAddresses starts clients like join, each with an address of its own.
func (c *crowd) joinFromManyAddresses(address string, size int, write func(n int, conn net.Conn)) {
	for n := range size {
		c.clients.Go(func() { c.connect(address, n, net.IPv4(127, 1, byte(n>>8), byte(n)), write) })
	}
}

// joinAgain starts clients like join, each of which connects again several times, whether its connection was closed or not.
func (c *crowd) joinAgain(address string, size int, write func(n int, conn net.Conn)) {
	for n := range size {
		c.clients.Go(func() {
			for range reconnects {
				c.connect(address, n, net.IPv4(127, 0, 0, 1), write)
				time.Sleep(100 * time.Millisecond)
			}
		})
	}
}

func (c *crowd) connect(address string, n int, from net.IP, write func(n int, conn net.Conn)) {
	dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: from}, Timeout: writeTimeout}
	conn, err := dialer.Dial("tcp", address)
	if err != nil {
		return
	}
	c.keep(conn)
	_ = conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	write(n, conn)
}

// joinPeers starts clients that open a WebSocket connection and send a message without its end.
func (c *crowd) joinPeers(address string, size, messageBytes int) {
	for range size {
		c.clients.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), writeTimeout)
			defer cancel()
			ws, _, err := websocket.Dial(ctx, "ws://"+address+"/peer", nil)
			if err != nil {
				return
			}
			c.keep(closeFunc(ws.CloseNow))
			w, err := ws.Writer(ctx, websocket.MessageBinary)
			if err != nil {
				return
			}
			part := make([]byte, 64<<10)
			for sent := 0; sent+len(part) < messageBytes && err == nil; sent += len(part) {
				_, err = w.Write(part)
			}
		})
	}
}

type closeFunc func() error

// Close calls f.
func (f closeFunc) Close() error { return f() }

// variant is a way to send a body. Those that stop short leave the connection open.
type variant struct {
	name string
	send func(conn net.Conn, head, body string, stopShort bool)
}

var variants = []variant{
	{"whole", func(conn net.Conn, head, body string, stopShort bool) {
		_, _ = io.WriteString(conn, withLength(head, body)+body[:len(body)-shortBy(stopShort)])
	}},
	{"in pieces", func(conn net.Conn, head, body string, stopShort bool) {
		_, err := io.WriteString(conn, withLength(head, body))
		rest := body[:len(body)-shortBy(stopShort)]
		for err == nil && rest != "" {
			n := min(len(rest), 16<<10)
			_, err = io.WriteString(conn, rest[:n])
			rest = rest[n:]
			time.Sleep(20 * time.Millisecond)
		}
	}},
	{"large chunks", func(conn net.Conn, head, body string, stopShort bool) {
		sendChunks(conn, head, body, stopShort, func(int) int { return 32 << 10 })
	}},
	// A chunk of one byte each for the first 4,096 bytes, and of 16 bytes after that: the processor time of the test stays small.
	{"small chunks", func(conn net.Conn, head, body string, stopShort bool) {
		sendChunks(conn, head, body, stopShort, func(sent int) int {
			if sent < 4096 {
				return 1
			}
			return 16
		})
	}},
}

func withLength(head, body string) string {
	return fmt.Sprintf("%sContent-Length: %d\r\n\r\n", head, len(body))
}

func shortBy(stopShort bool) int {
	if stopShort {
		return 1
	}
	return 0
}

// sendChunks sends a chunked body, without the final chunk if stopShort is true.
func sendChunks(conn net.Conn, head, body string, stopShort bool, size func(sent int) int) {
	var out strings.Builder
	out.WriteString(head + "Transfer-Encoding: chunked\r\n\r\n")
	for sent := 0; sent < len(body); {
		n := min(size(sent), len(body)-sent)
		fmt.Fprintf(&out, "%x\r\n%s\r\n", n, body[sent:sent+n])
		sent += n
		if out.Len() < 32<<10 && sent < len(body) {
			continue
		}
		if _, err := io.WriteString(conn, out.String()); err != nil {
			return
		}
		out.Reset()
	}
	if !stopShort {
		_, _ = io.WriteString(conn, "0\r\n\r\n")
	}
}
