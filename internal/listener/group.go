package listener

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/net/netutil"
)

// maxServers is the capacity of Group.failed. Up to this many servers can report an error without blocking when nobody
// receives from the channel.
const maxServers = 8

// Limits restricts the connections and request headers of each server of a Group.
type Limits struct {
	Connections   int
	HeaderBytes   int
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Group manages the HTTP servers of a process.
type Group struct {
	failed  chan error
	limits  Limits
	servers []*http.Server
}

// NewGroup returns a Group without servers.
func NewGroup(l Limits) *Group { return &Group{failed: make(chan error, maxServers), limits: l} }

// Open listens on an address and serves requests in the background, with TLS if tlsConfig is not nil. If it can't
// listen on the address, it closes all servers of the group.
func (g *Group) Open(address string, handler http.Handler, tlsConfig *tls.Config) error {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		g.Close()
		return eris.Wrap(err, "listening")
	}
	ln = netutil.LimitListener(ln, g.limits.Connections)
	if tlsConfig != nil {
		ln = tls.NewListener(ln, tlsConfig)
	}
	server := &http.Server{
		Handler: handler, IdleTimeout: g.limits.IdleTimeout, MaxHeaderBytes: g.limits.HeaderBytes,
		ReadHeaderTimeout: g.limits.HeaderTimeout,
	}
	g.servers = append(g.servers, server)
	go func() {
		if err := server.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
			g.failed <- eris.Wrapf(err, "serving %s", address)
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
