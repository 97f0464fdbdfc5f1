package entry

import (
	"context"
	"expvar"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/laburnumridge/laburnumridge/internal/listener"
	"github.com/laburnumridge/laburnumridge/internal/retry"
)

const (
	idleTimeout = 60 * time.Second
	// drainLinger is how long a draining host goes on serving: the balancer takes two missed checks, a second apart,
	// to send new connections elsewhere.
	drainLinger = 2500 * time.Millisecond
	// drainTimeout leaves time to exit before the platform kills the process.
	drainTimeout = 5 * time.Second
)

func (h *Host) listen() (*listener.Group, error) {
	ready := echo.New()
	ready.HideBanner, ready.HidePort = true, true
	ready.GET(h.settings.Listen.ReadyPath, h.ready)
	peers := http.NewServeMux()
	peers.Handle("/peer", h.pool)
	debug := http.NewServeMux()
	debug.Handle("/debug/vars", expvar.Handler())
	g := listener.NewGroup(listener.Limits{
		Connections: h.settings.Limits.MaxConnections, HeaderBytes: h.settings.Limits.MaxHeaderBytes,
		HeaderTimeout: h.settings.Limits.ReadTimeout.Duration, IdleTimeout: idleTimeout,
	})
	for _, l := range []struct {
		address string
		handler http.Handler
	}{
		{h.settings.Listen.Peer, peers},
		{h.settings.Listen.Debug, debug},
		{h.settings.Listen.Ready, ready},
		{h.settings.Listen.Caller, h.platform.Handler(h.service())},
	} {
		if err := g.Open(l.address, l.handler, nil); err != nil {
			return nil, err
		}
	}
	return g, nil
}

func (h *Host) ready(c echo.Context) error {
	switch {
	case h.draining.Load():
		return c.String(http.StatusServiceUnavailable, "draining\n")
	case h.config.current.Load() == nil:
		return c.String(http.StatusServiceUnavailable, "no config is in force yet\n")
	}
	return c.String(http.StatusOK, "ready\n")
}

// drain hands the shards over, lets the balancer see that the host leaves, and ends what is in flight.
func (h *Host) drain(work context.Context, g *listener.Group) {
	h.log.WithField("decision", "drain").Info("entry host drains")
	h.draining.Store(true)
	ctx, cancel := context.WithTimeout(work, drainTimeout)
	defer cancel()
	h.session.drain(ctx)
	h.owners.handOver(ctx)
	retry.Sleep(ctx, drainLinger)
	if err := g.ShutdownLast(ctx); err != nil {
		h.log.WithError(err).Warn("requests were cut off by the drain timeout")
	}
	h.session.end(ctx)
	g.Close()
	h.pool.Close()
}
