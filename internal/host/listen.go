package host

import (
	"context"
	"expvar"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/laburnumridge/laburnumridge/internal/caller"
	"github.com/laburnumridge/laburnumridge/internal/invariant"
	"github.com/laburnumridge/laburnumridge/internal/listener"
	"github.com/laburnumridge/laburnumridge/internal/note"
	"github.com/laburnumridge/laburnumridge/internal/operator"
	"github.com/laburnumridge/laburnumridge/internal/retry"
)

const (
	idleTimeout = 2 * time.Minute
	// readinessGrace is how long the load balancer has to notice the failed readiness check before the listener
	// closes.
	readinessGrace = 500 * time.Millisecond
	drainTimeout   = 30 * time.Second
)

func (h *Host) listen() (*listener.Group, error) {
	limits := caller.Limits{
		Bodies:         h.clients.CallerBytes,
		MaxBodyBytes:   h.settings.Limits.MaxBodyBytes,
		ReadTimeout:    h.settings.Limits.ReadTimeout.Duration,
		RequestTimeout: h.settings.Limits.RequestTimeout.Duration,
	}
	svc := caller.Service{Handle: h.handle, IsFeed: h.isFeed, Zone: h.zone}

	callers := newEcho()
	callers.Use(caller.LimitHeaders(h.settings.Limits.MaxHeaderBytes))
	callers.GET("/healthz", func(c echo.Context) error { return c.String(http.StatusOK, "ok\n") })
	callers.GET("/readyz", h.ready)
	operator.Register(callers, h.operatorService(), operator.WithBodies(h.clients.OperatorBytes),
		operator.WithToken(h.settings.Security.OperatorToken))
	caller.Register(callers, svc, limits, h.log)

	peers := newEcho()
	peers.GET("/peer", echo.WrapHandler(h.mesh))
	limits.Bodies = h.clients.PeerBytes
	caller.RegisterForward(peers, svc, limits, h.log)

	debug := http.NewServeMux()
	debug.Handle("/debug/vars", expvar.Handler())

	g := listener.NewGroup(listener.Limits{
		HeaderBytes: h.settings.Limits.MaxHeaderBytes + caller.HeaderSlack, HeaderTimeout: h.settings.Limits.ReadTimeout.Duration,
		IdleTimeout: idleTimeout,
	})
	c := h.clients
	for _, l := range []listener.Server{
		{
			Address: h.settings.Listen.Peer, Connections: c.Peers.Connections, Handler: peers, HeaderBytes: c.PeerBytes, LongMessages: true,
			TLS: h.tls.peerServer,
		},
		{Address: h.settings.Listen.Debug, Connections: c.Operators.Connections, Handler: debug, HeaderBytes: c.OperatorBytes},
		{
			Address: h.settings.Listen.Caller, Connections: c.Callers.Connections, Handler: callers, HeaderBytes: c.CallerBytes,
			TLS: h.tls.caller,
		},
	} {
		l.Connections, l.Report = min(l.Connections, h.settings.Limits.MaxConnections), c.Report
		if err := g.Open(l); err != nil {
			return nil, err
		}
	}
	return g, nil
}

// drain stops the host gracefully: it finishes the requests in flight, hands shards and keys over and ends the
// platform lease.
func (h *Host) drain(g *listener.Group) {
	h.draining.Store(true)
	close(h.drainStarted)
	h.log.Info("entry host is draining")
	ctx, cancel := context.WithTimeout(context.Background(), drainTimeout)
	defer cancel()
	retry.Sleep(ctx, readinessGrace)
	// The caller listener closes first, since its requests may need the peers and the shards.
	if err := g.ShutdownLast(ctx); err != nil {
		h.log.WithError(err).Warn("requests were cut off by the drain timeout")
	}
	for h.inFlight.Load() > 0 && ctx.Err() == nil {
		retry.Sleep(ctx, pollInterval)
	}
	h.invariants.Check(invariant.GracefulStop, h.inFlight.Load() == 0, "requests are in flight after the drain timeout")
	h.shards.handOverAll(ctx)
	g.Shutdown(ctx)
	h.session.revoke(ctx)
	h.log.Info("entry host has drained")
}

func (h *Host) ready(c echo.Context) error {
	switch {
	case h.isDraining():
		return c.String(http.StatusServiceUnavailable, "draining\n")
	case !h.notes.loaded.Load():
		return c.String(http.StatusServiceUnavailable, "release notes are not loaded yet\n")
	case !h.backends.isReady(time.Now()):
		return c.String(http.StatusServiceUnavailable, "no grant of the zone's shards has come yet\n")
	}
	return c.String(http.StatusOK, "ready\n")
}

func (h *Host) isFeed(service string) bool {
	c, _ := h.notes.current()
	item, ok := c.Item(service)
	return ok && item.Work.Kind == note.KindFeed
}

func (h *Host) warnAboutMissingSecurity() {
	if h.settings.Security.OperatorToken == "" {
		h.log.Warn("no operator token is set: anyone who reaches the caller address may publish notes")
	}
	if h.tls.peerServer == nil {
		h.log.Warn("no certificate is set for peers: anyone who reaches the peer address may act as one")
	}
	if h.tls.worker == nil {
		h.log.Warn("no certificate is set for workers: connections to them are plain text")
	}
}

func newEcho() *echo.Echo {
	e := echo.New()
	e.HideBanner, e.HidePort = true, true
	return e
}
