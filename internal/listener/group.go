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

// maxServers bounds the servers of a group, so that each can report its end without a reader.
const maxServers = 8

// Limits bounds what clients of a server may use.
type Limits struct {
	Connections   int
	HeaderBytes   int
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Group is the servers of a process.
type Group struct {
	failed  chan error
	limits  Limits
	servers []*http.Server
}

// NewGroup returns a group without servers.
func NewGroup(l Limits) *Group { return &Group{failed: make(chan error, maxServers), limits: l} }

// Open listens at an address and serves it in the background, with TLS if c is not nil; if it fails, all servers of the
// group are closed.
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

// Failed returns the channel on which servers report that they ended by themselves.
func (g *Group) Failed() <-chan error { return g.failed }

// ShutdownLast stops the server that was opened last after its requests have ended; errors match ctx's.
func (g *Group) ShutdownLast(ctx context.Context) error {
	return g.servers[len(g.servers)-1].Shutdown(ctx)
}

// Shutdown stops all servers after their requests have ended, or when ctx ends.
func (g *Group) Shutdown(ctx context.Context) {
	for _, server := range g.servers {
		_ = server.Shutdown(ctx) // the caller gave it all the time that there is
	}
}

// Close closes all servers and their connections.
func (g *Group) Close() {
	for _, server := range g.servers {
		_ = server.Close() // the process goes on or ends without it
	}
}
