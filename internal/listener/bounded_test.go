package listener_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/laburnumridge/laburnumridge/internal/clientmemory"
	"github.com/laburnumridge/laburnumridge/internal/fake"
	"github.com/laburnumridge/laburnumridge/internal/listener"
)

// waitTimeout is the limit of each wait. It is long, so that tests on a busy machine are slow but don't fail.
const waitTimeout = 60 * time.Second

// serve opens a server with the given limits and returns its address.
func serve(t *testing.T, connections int, headerBytes *clientmemory.Budget, handler http.HandlerFunc) string {
	t.Helper()
	address, err := fake.FreeAddress()
	assert.NilError(t, err)
	g := listener.NewGroup(listener.Limits{HeaderBytes: 16384, HeaderTimeout: waitTimeout, IdleTimeout: waitTimeout})
	assert.NilError(t, g.Open(listener.Server{Address: address, Connections: connections, Handler: handler, HeaderBytes: headerBytes}))
	t.Cleanup(g.Close)
	return address
}

// client is a connection to a server.
type client struct {
	net.Conn
	t *testing.T
	r *bufio.Reader
}

func dial(t *testing.T, address string) *client {
	t.Helper()
	c, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	assert.NilError(t, c.SetDeadline(time.Now().Add(waitTimeout)))
	return &client{Conn: c, r: bufio.NewReader(c), t: t}
}

func (c *client) send(text string) {
	c.t.Helper()
	_, err := io.WriteString(c, text)
	assert.NilError(c.t, err)
}

// receive returns the status of the next response.
func (c *client) receive() int {
	c.t.Helper()
	res, err := http.ReadResponse(c.r, nil)
	assert.NilError(c.t, err)
	_, err = io.Copy(io.Discard, res.Body)
	assert.NilError(c.t, err)
	return res.StatusCode
}

// isClosed reports whether the server closes the connection without a response.
func (c *client) isClosed() bool {
	line, err := c.r.ReadString('\n')
	if err == nil {
		c.t.Log("received", line)
	}
	return err != nil
}

const get = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"

// Guards against a server that makes new clients wait for the end of silent connections, and against closing those whose request is being
// worked on.
func TestNewConnectionReplacesSilentOne(t *testing.T) {
	begun, end := make(chan struct{}), make(chan struct{})
	address := serve(t, 4, nil, func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/busy" {
			begun <- struct{}{}
			<-end
		}
	})
	busy := dial(t, address)
	busy.send("POST /busy HTTP/1.1\r\nHost: h\r\n\r\n")
	<-begun
	idle := dial(t, address)
	idle.send(get)
	assert.Equal(t, idle.receive(), http.StatusOK)
	unfinished := dial(t, address)
	unfinished.send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\nbody")
	for range 8 {
		c := dial(t, address)
		c.send(get)
		assert.Equal(t, c.receive(), http.StatusOK)
	}
	assert.Assert(t, idle.isClosed())
	close(end)
	assert.Equal(t, busy.receive(), http.StatusOK)
}

// Guards against a client that takes all connections with requests that are being worked on.
func TestClientLeavesConnectionsToOthers(t *testing.T) {
	begun, end := make(chan struct{}, 8), make(chan struct{})
	address := serve(t, 8, nil, func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/busy" {
			begun <- struct{}{}
			<-end
		}
	})
	defer close(end)
	for range 6 {
		dial(t, address).send("GET /busy HTTP/1.1\r\nHost: h\r\n\r\n")
		<-begun
	}
	assert.Assert(t, dial(t, address).isClosed())
	other, err := (&net.Dialer{LocalAddr: &net.TCPAddr{IP: net.IPv4(127, 0, 0, 2)}}).Dial("tcp", address)
	assert.NilError(t, err)
	defer func() { _ = other.Close() }()
	c := &client{Conn: other, r: bufio.NewReader(other), t: t}
	c.send(get)
	assert.Equal(t, c.receive(), http.StatusOK)
}

// Guards against headers of many short fields, which cost 16 times their size, and against bodies that count as headers.
func TestHeadersAreCharged(t *testing.T) {
	budget := clientmemory.NewBudget(128<<10, nil, time.Now)
	address := serve(t, 8, budget, func(http.ResponseWriter, *http.Request) {})
	header := "GET / HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("a:\r\n", 3000)
	c := dial(t, address)
	_, _ = io.WriteString(c, header+"\r\n") // may fail when the server has closed the connection
	assert.Assert(t, c.isClosed())

	c = dial(t, address)
	for n := range 5 {
		body := strings.Repeat("x", 100<<10) // the handler does not read it
		c.send(fmt.Sprintf("POST /%d HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", n, len(body), body))
		assert.Equal(t, c.receive(), http.StatusOK)
	}
	assert.NilError(t, c.Close())
	for deadline := time.Now().Add(waitTimeout); budget.Held() > 0 && time.Now().Before(deadline); {
		time.Sleep(10 * time.Millisecond)
	}
	assert.Equal(t, budget.Held(), int64(0))
}
