package listener

import (
	"errors"
	"net"
	"sync/atomic"
	"time"

	"github.com/laburnumridge/laburnumridge/internal/clientmemory"
)

const (
	// freeHeaderBytes is the part of a header that is not charged, since the machine's memory per connection covers it.
	freeHeaderBytes = 1 << 10
	// headerFactor is what a header costs as a multiple of its size: a header of 16,384 bytes in 3,272 fields takes 261 kB in net/http.
	headerFactor = 16
)

// conn is a connection that records when its client was active and charges the headers that it receives.
type conn struct {
	net.Conn
	// activeAt is when bytes were last read or written, in Unix nanoseconds.
	activeAt atomic.Int64
	client   string
	// hold is what the header of the present request costs. It is used while a header is read and when a request ends, which don't overlap.
	hold        *clientmemory.Hold
	headerBytes int
	// isBusy is true while a complete request is being worked on.
	isBusy atomic.Bool
	// isHeader is true until the header of a request has been read.
	isHeader atomic.Bool
	// refused is the error of all reads after a header was refused: bufio.Reader.ReadLine forgets an error that comes with a part of a line.
	refused  error
	listener *boundedListener
}

func newConn(accepted net.Conn, l *boundedListener) *conn {
	c := &conn{Conn: accepted, client: clientOf(accepted.RemoteAddr()), listener: l}
	c.activeAt.Store(time.Now().UnixNano())
	c.isHeader.Store(true)
	// A read that fails makes net/http close the connection.
	c.hold = l.budget.Open(c.client, func() { _ = accepted.SetReadDeadline(time.Unix(1, 0)) })
	return c
}

// clientOf returns the client that an address belongs to.
func clientOf(address net.Addr) string {
	if tcp, ok := address.(*net.TCPAddr); ok {
		return tcp.IP.String()
	}
	return address.String()
}

// Read reads from the embedded connection.
func (c *conn) Read(p []byte) (int, error) {
	if c.refused != nil {
		return 0, c.refused
	}
	n, err := c.Conn.Read(p)
	if n <= 0 {
		return n, err
	}
	c.activeAt.Store(time.Now().UnixNano())
	if err == nil && c.isHeader.Load() {
		c.refused = c.charge(n)
		err = c.refused
	}
	return n, err
}

// charge reserves memory for further bytes of a header.
func (c *conn) charge(n int) error {
	charged := max(c.headerBytes, freeHeaderBytes)
	c.headerBytes += n
	c.hold.Deliver(n)
	err := c.hold.Grow(int64(max(c.headerBytes, freeHeaderBytes)-charged) * headerFactor)
	if err == nil {
		return nil
	}
	if errors.Is(err, clientmemory.ErrShort) {
		c.hold.Refuse(clientmemory.ReasonHeader)
	}
	// After another error, net/http would respond that the request is malformed.
	return &net.OpError{Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: err}
}

// Write writes to the embedded connection.
func (c *conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	if n > 0 {
		c.activeAt.Store(time.Now().UnixNano())
	}
	return n, err
}

// Close closes the connection and releases what it holds.
func (c *conn) Close() error {
	err := c.Conn.Close()
	c.listener.remove(c)
	c.hold.Close()
	return err
}

// beginRequest records that the header of a request is complete.
func (c *conn) beginRequest() {
	c.isHeader.Store(false)
	_ = c.hold.Receive() // a header that was complete in time is served
}

// endRequest records that a request has been answered.
func (c *conn) endRequest() {
	c.hold.Release()
	c.isBusy.Store(false)
}

// awaitRequest records that what is read next is the header of a request. What remained of the last one's body has been read before.
func (c *conn) awaitRequest() {
	c.headerBytes = 0
	c.isHeader.Store(true)
}
