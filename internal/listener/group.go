package listener

import (
	"context"
	"crypto/tls"
	"errors"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"github.com/laburnumridge/laburnumridge/internal/clientmemory"
)

// maxServers is the capacity of Group.failed. Up to this many servers can report an error without blocking when nobody
// receives from the channel.
const maxServers = 8

// Limits restricts the request headers of each server of a Group.
type Limits struct {
	HeaderBytes   int
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Server is what a Group opens.
type Server struct {
	Address string
	// Connections limits the open connections. When they are in use, a new one takes the place of the one that was silent longest.
	Connections int
	Handler     http.Handler
	// HeaderBytes is the budget for received headers; nil means no limit.
	HeaderBytes *clientmemory.Budget
	// LongMessages is true if single messages are long, so that the kernel may choose the size of its buffers.
	LongMessages bool
	Report       *clientmemory.Reporter
	// TLS is nil for plain text.
	TLS *tls.Config
}

// Group manages the HTTP servers of a process.
type Group struct {
	failed  chan error
	limits  Limits
	servers []*http.Server
}

// NewGroup returns a Group without servers.
func NewGroup(l Limits) *Group { return &Group{failed: make(chan error, maxServers), limits: l} }

// Open listens on an address and serves requests in the background. If it can't listen on the address, it closes all servers of the group.
func (g *Group) Open(s Server) error {
	plain, err := listen(s.Address, s.LongMessages)
	if err != nil {
		g.Close()
		return eris.Wrap(err, "listening")
	}
	ln := newBoundedListener(plain, s)
	server := &http.Server{
		ConnContext: withConn, ConnState: noteState, Handler: trackRequests(s.Handler), IdleTimeout: g.limits.IdleTimeout,
		MaxHeaderBytes: g.limits.HeaderBytes, ReadHeaderTimeout: g.limits.HeaderTimeout,
	}
	g.servers = append(g.servers, server)
	serve := func() error { return server.Serve(ln) }
	if s.TLS != nil {
		serve = func() error { return server.Serve(tls.NewListener(ln, s.TLS)) }
	}
	go func() {
		if err := serve(); !errors.Is(err, http.ErrServerClosed) {
			g.failed <- eris.Wrapf(err, "serving %s", s.Address)
		}
	}()
	return nil
}

// Failed returns a channel that receives the errors of servers that stopped without being shut down or closed.
func (g *Group) Failed() <-chan error { return g.failed }

// ShutdownLast stops the server that was opened last and waits for its requests to end. It returns the error of ctx if
// that ends first.
func (g *Group) ShutdownLast(ctx context.Context) error {
	return g.servers[len(g.servers)-1].Shutdown(ctx)
}

// Shutdown stops all servers, one after the other, and waits for their requests to end, at most until ctx ends.
func (g *Group) Shutdown(ctx context.Context) {
	for _, server := range g.servers {
		_ = server.Shutdown(ctx) // ctx already allows all the time that is available
	}
}

// Close closes all servers and their connections immediately.
func (g *Group) Close() {
	for _, server := range g.servers {
		_ = server.Close() // the process continues or exits regardless of errors
	}
}
